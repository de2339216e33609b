//! The primary, its failover, and position refreshes.

use crate::common::*;
use reelrill_routing::*;

#[test]
fn writes_are_queued_while_the_primary_is_unreachable_and_go_to_its_successor() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let (id, out) = h.request(WRITE);
    assert_eq!(sent_to(&out), Some("a"));
    let out = h.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::ConnectFailed,
        ReplicationStatus::default(),
    );
    assert!(
        !is_rejected(&out) && !is_failed(&out),
        "it never ran and has time left"
    );
    // A read shows which endpoint is the primary now.
    let (read, out) = h.request(SESSION);
    let to = sent_to(&out).unwrap().to_string();
    let mut moved = h.end_attempt(read, &to, 0, AttemptOutcome::Served, primary_status(h.now));
    moved.extend(h.advance(60 * MS));
    let to_new = |a: &Action| matches!(a, Action::Send { request, endpoint, .. } if *request == id && **endpoint == *to);
    assert!(
        moved.iter().any(to_new) || sent_to(&out) == Some(&*to),
        "{moved:?}"
    );
}

#[test]
fn position_refresh_makes_a_stale_replica_eligible_again() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    h.advance(400 * MS);
    let (id, out) = h.request(WRITE);
    let shown = sent_to(&out).unwrap().to_string();
    assert_ne!(shown, "a");
    let out = h.end_attempt(
        id,
        &shown,
        0,
        AttemptOutcome::Misrouted,
        replica_status(h.now - 10 * MS),
    );
    let mut all = out;
    let to = sent_to(&all).unwrap().to_string();
    assert_eq!(to, "a", "the write goes on at once");
    h.end_attempt(id, "a", 1, AttemptOutcome::Served, primary_status(h.now));
    all = h.request(BOUNDED).1;
    assert_eq!(sent_to(&all), Some(&*shown));
}

#[test]
fn endpoint_that_reports_itself_as_replica_does_not_become_primary_by_the_list() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    h.end_attempt(77, "a", 0, AttemptOutcome::Served, replica_status(h.now));
    let (id, out) = h.request(WRITE);
    assert_eq!(sent_to(&out), Some("a"));
    h.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::Misrouted,
        replica_status(h.now - 900 * MS),
    );
    h.advance(6000 * MS);
    h.handle(Event::List {
        kind: ListKind::Changes,
        entries: vec![entry("a", false)],
    });
    h.handle(Event::List {
        kind: ListKind::Changes,
        entries: vec![entry("a", true)],
    });
    let (_, out) = h.request(BOUNDED);
    assert_ne!(sent_to(&out), Some("a"), "it may be stale");
}
