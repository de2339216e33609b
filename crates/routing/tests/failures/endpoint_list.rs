//! Draining, removed and forgotten endpoints, the subscription to the list, and contradicting settings.

use crate::common::*;
use reelrill_routing::*;

#[test]
fn draining_endpoint_gets_no_new_work_after_its_grace() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let mut e = entry("b", false);
    e.state = EndpointState::Draining;
    h.handle(Event::List {
        kind: ListKind::Changes,
        entries: vec![e],
    });
    let mut p = entry("a", true);
    p.state = EndpointState::Draining;
    h.handle(Event::List {
        kind: ListKind::Changes,
        entries: vec![p],
    });
    h.advance(1000 * MS);
    for class in [BOUNDED, SESSION, WRITE, STRONG, KEYED] {
        let (_, out) = h.request(class);
        assert!(!matches!(sent_to(&out), Some("a" | "b")), "{out:?}");
    }
}

/// A process may be delayed for 0.15 s between its clock and its write: the grace has to cover that, too.
#[test]
fn writes_to_a_draining_primary_stop_before_a_delayed_write_could_pass_the_grace() {
    for (grace, stop) in [(1000, 500), (250, 100), (200, 50), (150, 0), (20, 0)] {
        let mut set = settings();
        set.rules.drain_grace = grace * MS;
        // Where responses carry positions, writes go to the primary at once.
        set.reports = ReportSource::Responses;
        let mut h = TestRouter::new(set);
        h.warm_up();
        let mut primary = entry("a", true);
        primary.state = EndpointState::Draining;
        h.handle(Event::List {
            kind: ListKind::Changes,
            entries: vec![primary],
        });
        if stop > 0 {
            h.advance((stop - 1) * MS);
            assert_eq!(sent_to(&h.request(WRITE).1), Some("a"), "grace {grace} ms");
            h.advance(MS);
        }
        assert_ne!(sent_to(&h.request(WRITE).1), Some("a"), "grace {grace} ms");
    }
}

#[test]
fn broken_subscription_is_renewed_soon_at_times_that_differ_between_routers() {
    let mut set = settings();
    set.is_subscription_required = true;
    let mut at = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let mut h = TestRouter::with_seed(set.clone(), seed);
        h.advance(1000 * MS);
        h.handle(Event::List {
            kind: ListKind::Full,
            entries: vec![entry("a", true)],
        });
        h.handle(Event::List {
            kind: ListKind::Failed,
            entries: Vec::new(),
        });
        let soon = (0..100).find(|_| h.advance(MS).contains(&Action::Subscribe));
        at.insert(soon.expect("within three ticks"));
    }
    assert!(at.len() > 1, "all in step: {at:?}");
}

#[test]
fn contradicting_settings_are_named() {
    let mut set = settings();
    set.classes[1].latency_objective = set.classes[1].deadline + 1;
    assert!(
        Balancer::new(1, set)
            .err()
            .unwrap()
            .to_string()
            .contains("classes[1]")
    );
    let mut set = settings();
    set.classes.clear();
    assert!(Balancer::new(1, set).is_err());
}

/// Guards the long day: endpoints that are replaced one after the other are forgotten, but not while an attempt on
/// one is out; its request then goes on elsewhere.
#[test]
fn removed_endpoints_are_forgotten() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let (id, out) = h.request(BOUNDED);
    let to = sent_to(&out).unwrap().to_string();
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
    h.handle(change(&to, EndpointState::Removed));
    assert_eq!(h.balancer.endpoint_count(), 3);
    let out = h.end_attempt(
        id,
        &to,
        0,
        AttemptOutcome::ConnectionReset,
        ReplicationStatus::default(),
    );
    let other = sent_to(&out).expect("goes on").to_string();
    h.end_attempt(id, &other, 1, AttemptOutcome::Served, replica_status(h.now));
    for n in 0..200 {
        h.advance(100 * MS);
        h.handle(change(&format!("n{n}"), EndpointState::Serving));
        h.serve(SESSION, h.now);
        h.handle(change(&format!("n{n}"), EndpointState::Removed));
    }
    h.advance(10_001 * MS);
    h.handle(Event::List {
        kind: ListKind::Changes,
        entries: Vec::new(),
    });
    assert_eq!(h.balancer.endpoint_count(), 2);
    assert!((0..4).all(|_| ["a", &other].contains(&&*h.serve(SESSION, h.now))));
}
