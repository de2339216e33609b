//! Draining, removed and forgotten endpoints, the subscription to the endpoint list, and invalid
//! settings.

use crate::common::*;
use reelrill_routing::*;

/// Guards against any class of request being sent to an endpoint, primary or replica, after the end
/// of its drain grace: the endpoint may have stopped by then.
#[test]
fn draining_endpoint_gets_no_requests_after_its_grace() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let mut replica = entry("b", false);
    replica.state = EndpointState::Draining;
    router.handle(Event::List {
        kind: ListKind::Changes,
        entries: vec![replica],
    });
    let mut primary = entry("a", true);
    primary.state = EndpointState::Draining;
    router.handle(Event::List {
        kind: ListKind::Changes,
        entries: vec![primary],
    });
    router.advance(1000 * MS);
    for class in [BOUNDED, SESSION, WRITE, STRONG, KEYED] {
        let (_, actions) = router.request(class);
        assert!(!matches!(sent_to(&actions), Some("a" | "b")), "{actions:?}");
    }
}

/// Guards the drain grace against scheduling delays: the process may be delayed for 0.15 s between
/// reading its clock and writing, and the write must still be within the grace. Times in ms.
#[test]
fn writes_to_a_draining_primary_stop_before_a_delayed_write_could_pass_the_grace() {
    for (grace, stop) in [(1000, 500), (250, 100), (200, 50), (150, 0), (20, 0)] {
        let mut router_settings = settings();
        router_settings.rules.drain_grace = grace * MS;
        // With load reports there are no position refreshes, so writes are sent to the primary
        // first.
        router_settings.reports = ReportSource::Responses;
        let mut router = TestRouter::new(router_settings);
        router.warm_up();
        let mut primary = entry("a", true);
        primary.state = EndpointState::Draining;
        router.handle(Event::List {
            kind: ListKind::Changes,
            entries: vec![primary],
        });
        if stop > 0 {
            router.advance((stop - 1) * MS);
            assert_eq!(
                sent_to(&router.request(WRITE).1),
                Some("a"),
                "grace {grace} ms"
            );
            router.advance(MS);
        }
        assert_ne!(
            sent_to(&router.request(WRITE).1),
            Some("a"),
            "grace {grace} ms"
        );
    }
}

/// Guards the discovery service against a burst of calls: a broken subscription breaks for all
/// routers at once, so each renews it at a random time, within 100 ms for two routers.
#[test]
fn broken_subscription_is_renewed_soon_at_times_that_differ_between_routers() {
    let mut router_settings = settings();
    router_settings.is_subscription_required = true;
    let mut delays = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let mut router = TestRouter::with_seed(router_settings.clone(), seed);
        router.advance(1000 * MS);
        router.handle(Event::List {
            kind: ListKind::Full,
            entries: vec![entry("a", true)],
        });
        router.handle(Event::List {
            kind: ListKind::Failed,
            entries: Vec::new(),
        });
        let delay = (0..100).find(|_| router.advance(MS).contains(&Action::Subscribe));
        delays.insert(delay.expect("a call within 100 ms"));
    }
    assert!(delays.len() > 1, "all routers at once: {delays:?}");
}

/// Guards against a balancer with settings that contradict each other: the error names the class.
#[test]
fn invalid_settings_are_rejected_with_their_field() {
    let mut router_settings = settings();
    router_settings.classes[1].latency_objective = router_settings.classes[1].deadline + 1;
    assert!(
        Balancer::new(1, router_settings)
            .err()
            .unwrap()
            .to_string()
            .contains("classes[1]")
    );
    let mut router_settings = settings();
    router_settings.classes.clear();
    assert!(Balancer::new(1, router_settings).is_err());
}

/// Guards memory against many replacements of endpoints: removed endpoints are forgotten, but not
/// while an attempt is in flight there, whose request is then retried on another endpoint.
#[test]
fn removed_endpoints_are_forgotten() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let (id, actions) = router.request(BOUNDED);
    let removed = sent_to(&actions).unwrap().to_string();
    let change = |name: &str, state| {
        let entries = vec![EndpointEntry {
            state,
            ..entry(name, false)
        }];
        Event::List {
            kind: ListKind::Changes,
            entries,
        }
    };
    router.handle(change(&removed, EndpointState::Removed));
    assert_eq!(router.balancer.endpoint_count(), 3);
    let actions = router.end_attempt(
        id,
        &removed,
        0,
        AttemptOutcome::ConnectionReset,
        ReplicationStatus::default(),
    );
    let other = sent_to(&actions).expect("a retry").to_string();
    router.end_attempt(
        id,
        &other,
        1,
        AttemptOutcome::Served,
        replica_status(router.now),
    );
    for number in 0..200 {
        router.advance(100 * MS);
        router.handle(change(&format!("n{number}"), EndpointState::Serving));
        router.serve(SESSION, router.now);
        router.handle(change(&format!("n{number}"), EndpointState::Removed));
    }
    router.advance(10_001 * MS);
    router.handle(Event::List {
        kind: ListKind::Changes,
        entries: Vec::new(),
    });
    assert_eq!(router.balancer.endpoint_count(), 2);
    assert!((0..4).all(|_| ["a", &other].contains(&&*router.serve(SESSION, router.now))));
}
