//! Read-your-writes consistency: reads after writes of the same session.

use crate::common::*;
use reelrill_routing::*;
use std::sync::Arc;

/// Guards against a stale read after a write of the same session, at a replica that has not applied
/// it.
#[test]
fn session_read_is_sent_only_to_endpoints_that_have_its_write() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    assert_eq!(router.serve(WRITE, router.now + 5 * MS), "a");
    let (id, actions) = router.request(SESSION);
    assert_eq!(
        sent_to(&actions),
        Some("a"),
        "no replica is known to have the write"
    );
    router.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::Served,
        primary_status(router.now),
    );
}

/// Guards against a stale read after a write whose client disconnected before the response: the
/// session may continue on another connection.
#[test]
fn write_served_after_its_client_disconnected_applies_to_its_session() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let (id, actions) = router.request(WRITE);
    assert_eq!(sent_to(&actions), Some("a"));
    router.handle(Event::ClientDisconnected { request: id });
    router.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::Served,
        primary_status(router.now + 5 * MS),
    );
    let (_, actions) = router.request(SESSION);
    assert_eq!(
        sent_to(&actions),
        Some("a"),
        "no replica is known to have the write"
    );
}

/// Guards against a stale read after a write whose response was lost or carried no position: reads
/// of the session need it like a served write. A write that was never executed has no such effect.
#[test]
fn possibly_executed_write_applies_to_its_session() {
    let cases = [
        (AttemptOutcome::ConnectionReset, true),
        (AttemptOutcome::MalformedResponse, true),
        (AttemptOutcome::TimedOut, true),
        (AttemptOutcome::Cancelled, true),
        (AttemptOutcome::Served, true),
        (AttemptOutcome::Overloaded, false),
        (AttemptOutcome::Abandoned, false),
    ];
    for (outcome, is_required) in cases {
        let mut router = TestRouter::new(settings());
        router.warm_up();
        let before = router.now;
        router.advance(50 * MS);
        let (id, actions) = router.request(WRITE);
        assert_eq!(sent_to(&actions), Some("a"));
        router.advance(50 * MS);
        router.end_attempt(id, "a", 0, outcome, ReplicationStatus::default());
        router.handle(Event::ClientDisconnected { request: id });
        let endpoints: Vec<String> = (0..6).map(|_| router.serve(SESSION, before)).collect();
        assert_eq!(
            endpoints.iter().all(|endpoint| endpoint == "a"),
            is_required,
            "{outcome:?}: {endpoints:?}"
        );
    }
}

/// Guards against a stale read after a write whose response is lost while its connection stays
/// open: from 100 ms on, the client may know the response, and a read of its session must not be
/// sent to a replica. An earlier read, or one of another session, may be.
#[test]
fn write_in_flight_for_long_applies_to_its_session() {
    for (waited, is_required) in [(10, false), (101, true)] {
        let mut router = TestRouter::new(settings());
        router.warm_up();
        // Samples show that the primary is not overloaded, so that reads there are not shed.
        (0..12).for_each(|_| drop(router.serve(WRITE, router.now)));
        let before = router.now;
        let (_, actions) = router.request(WRITE);
        assert_eq!(sent_to(&actions), Some("a"));
        router.advance(waited * MS);
        assert_eq!(
            router.serve(SESSION, before) == "a",
            is_required,
            "after {waited} ms"
        );
    }
}

/// Returns the write limit of the first send to a replica or the primary, if there is a send.
fn write_limit(actions: &[Action]) -> Option<Option<Timestamp>> {
    actions.iter().find_map(|action| match action {
        Action::Send { write_by, .. } => Some(*write_by),
        _ => None,
    })
}

/// Guards against a bounded read that waits for a connection and is then answered from data older
/// than its bound: the send states until when the replica's last known position is fresh enough.
/// The primary has no such limit, nor has a replica that rejects outdated reads itself.
#[test]
fn bounded_read_states_until_when_its_replica_is_fresh_enough() {
    for (stale_reads, has_limit) in [
        (StaleReadPolicy::Serve, true),
        (StaleReadPolicy::Reject, false),
    ] {
        let mut router_settings = settings();
        router_settings.stale_reads = stale_reads;
        let mut router = TestRouter::new(router_settings);
        router.warm_up();
        let known_position = router.now;
        router.advance(100 * MS);
        let (_, actions) = router.request(BOUNDED);
        assert_ne!(sent_to(&actions), Some("a"));
        let limit = has_limit.then_some(known_position + 300 * MS);
        assert_eq!(write_limit(&actions), Some(limit), "{stale_reads:?}");
    }
    let mut router = TestRouter::new(settings());
    router.warm_up();
    router.advance(301 * MS);
    let (_, actions) = router.request(BOUNDED);
    assert_eq!(sent_to(&actions), Some("a"), "no replica is fresh enough");
    assert_eq!(write_limit(&actions), Some(None));
}

/// Returns the requests whose attempts are withdrawn.
fn withdrawn(actions: &[Action]) -> Vec<RequestId> {
    let request = |action: &Action| match action {
        Action::Withdraw { request, .. } => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}

/// Guards against a strong read that waits for a connection to the primary and is written after the
/// router has learned that this endpoint is a replica, from its own response or since another one
/// is the primary. A replica that rejects outdated reads needs no such care.
#[test]
fn reads_waiting_at_a_former_primary_are_withdrawn() {
    let cases = [
        (StaleReadPolicy::Serve, "a", true),
        (StaleReadPolicy::Serve, "b", true),
        (StaleReadPolicy::Reject, "a", false),
    ];
    for (stale_reads, observed, is_withdrawn) in cases {
        let mut router_settings = settings();
        router_settings.stale_reads = stale_reads;
        let mut router = TestRouter::new(router_settings);
        router.warm_up();
        let (strong, actions) = router.request(STRONG);
        assert_eq!(sent_to(&actions), Some("a"));
        let (write, actions) = router.request(WRITE);
        assert_eq!(sent_to(&actions), Some("a"));
        let (status, request) = if observed == "a" {
            (replica_status(router.now), write)
        } else {
            let reads = (0..4).map(|_| router.request(SESSION));
            let mut reads: Vec<_> = reads.collect();
            reads.retain(|(_, actions)| sent_to(actions) == Some("b"));
            (primary_status(router.now), reads[0].0)
        };
        let outcome = AttemptOutcome::Misrouted;
        let actions = router.end_attempt(request, observed, 0, outcome, status);
        let expected = if is_withdrawn { vec![strong] } else { vec![] };
        assert_eq!(withdrawn(&actions), expected, "{stale_reads:?}, {observed}");
        // It is then sent to another endpoint or queued, but not rejected.
        let not_sent = AttemptOutcome::NotSent;
        let actions = router.end_attempt(strong, "a", 0, not_sent, ReplicationStatus::default());
        assert!(!is_rejected(&actions) && !is_failed(&actions));
    }
}

/// Guards against memory that grows with the names that clients give their sessions (issue 43): of 200,000 sessions, each
/// name of up to 64 KiB was kept.
#[test]
fn name_of_a_session_is_not_kept_after_its_write() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let name: Arc<str> = "s".repeat(64 * 1024).into();
    let request = Request {
        id: 900,
        class: WRITE,
        replica_set: 1,
        session: Some(name.clone()),
        since_write: None,
        tenant: None,
        expected_execution_time: None,
        is_retry: false,
        time_left: 1000 * MS,
    };
    let actions = router.handle(Event::Request(request));
    assert_eq!(sent_to(&actions), Some("a"));
    let commit = primary_status(router.now);
    router.end_attempt(900, "a", 0, AttemptOutcome::Served, commit);
    router.handle(Event::ClientDisconnected { request: 900 });
    assert_eq!(Arc::strong_count(&name), 1);
}
