//! Read-your-writes consistency: reads after writes of the same session.

use crate::common::*;
use reelrill_routing::*;

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
