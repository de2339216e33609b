//! Reads after writes of the same session.

use crate::common::*;
use reelrill_routing::*;

#[test]
fn session_read_goes_only_to_endpoints_that_have_its_write() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    assert_eq!(h.serve(WRITE, h.now + 5 * MS), "a");
    let (id, out) = h.request(SESSION);
    assert_eq!(
        sent_to(&out),
        Some("a"),
        "no replica is known to have the write"
    );
    h.end_attempt(id, "a", 0, AttemptOutcome::Served, primary_status(h.now));
}

#[test]
fn write_served_after_its_client_left_still_binds_its_session() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let (id, out) = h.request(WRITE);
    assert_eq!(sent_to(&out), Some("a"));
    h.handle(Event::ClientDisconnected { request: id });
    h.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::Served,
        primary_status(h.now + 5 * MS),
    );
    let (_, out) = h.request(SESSION);
    assert_eq!(
        sent_to(&out),
        Some("a"),
        "no replica is known to have the write"
    );
}

/// Guards a session's own writes against answers that are lost: one that may have run binds the session's reads like one
/// that was served, as does one whose answer said nothing of its place; one that never ran does not.
#[test]
fn possibly_executed_write_binds_its_session() {
    let cases = [
        (AttemptOutcome::ConnectionReset, true),
        (AttemptOutcome::MalformedResponse, true),
        (AttemptOutcome::TimedOut, true),
        (AttemptOutcome::Cancelled, true),
        (AttemptOutcome::Served, true),
        (AttemptOutcome::Overloaded, false),
        (AttemptOutcome::Abandoned, false),
    ];
    for (outcome, binds) in cases {
        let mut h = TestRouter::new(settings());
        h.warm_up();
        let before = h.now;
        h.advance(50 * MS);
        let (id, out) = h.request(WRITE);
        assert_eq!(sent_to(&out), Some("a"));
        h.advance(50 * MS);
        h.end_attempt(id, "a", 0, outcome, ReplicationStatus::default());
        h.handle(Event::ClientDisconnected { request: id });
        let to: Vec<String> = (0..6).map(|_| h.serve(SESSION, before)).collect();
        assert_eq!(to.iter().all(|to| to == "a"), binds, "{outcome:?}: {to:?}");
    }
}

/// Guards a session's own write whose answer is lost while its connection stays open: a read that comes later than the
/// answer counts as known does not go to a replica; one that comes at once, or of another session, may.
#[test]
fn write_in_flight_for_long_binds_its_session() {
    for (waited, binds) in [(10, false), (101, true)] {
        let mut h = TestRouter::new(settings());
        h.warm_up();
        // The primary is known not to be overloaded.
        (0..12).for_each(|_| drop(h.serve(WRITE, h.now)));
        let before = h.now;
        let (_, out) = h.request(WRITE);
        assert_eq!(sent_to(&out), Some("a"));
        h.advance(waited * MS);
        assert_eq!(h.serve(SESSION, before) == "a", binds, "{waited} ms");
    }
}
