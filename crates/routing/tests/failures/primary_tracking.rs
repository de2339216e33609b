//! Discovery of the primary after a failover, and position refreshes.

use crate::common::*;
use reelrill_routing::*;

/// Guards against failing a write whose primary is unreachable: it was never executed, so it waits
/// until another endpoint reports itself as the primary.
#[test]
fn writes_are_queued_while_the_primary_is_unreachable_and_sent_to_the_new_primary() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let (id, actions) = router.request(WRITE);
    assert_eq!(sent_to(&actions), Some("a"));
    let actions = router.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::ConnectFailed,
        ReplicationStatus::default(),
    );
    assert!(
        !is_rejected(&actions) && !is_failed(&actions),
        "it was never executed and has time left"
    );
    // The response to a read states that its endpoint is the primary now.
    let (read, actions) = router.request(SESSION);
    let new_primary = sent_to(&actions).unwrap().to_string();
    let mut later_actions = router.end_attempt(
        read,
        &new_primary,
        0,
        AttemptOutcome::Served,
        primary_status(router.now),
    );
    later_actions.extend(router.advance(60 * MS));
    let is_sent_to_new_primary = |action: &Action| matches!(action, Action::Send { request, endpoint, .. } if *request == id && **endpoint == *new_primary);
    assert!(
        later_actions.iter().any(is_sent_to_new_primary)
            || sent_to(&actions) == Some(&*new_primary),
        "{later_actions:?}"
    );
}

/// Guards the primary against reads of idle replicas: where only responses carry positions, the
/// known position of a replica without reads becomes too old for reads. A write that is first sent
/// there brings a new position.
#[test]
fn position_refresh_makes_a_stale_replica_eligible_again() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    router.advance(400 * MS);
    let (id, actions) = router.request(WRITE);
    let refreshed = sent_to(&actions).unwrap().to_string();
    assert_ne!(refreshed, "a");
    let actions = router.end_attempt(
        id,
        &refreshed,
        0,
        AttemptOutcome::Misrouted,
        replica_status(router.now - 10 * MS),
    );
    let mut next_actions = actions;
    let endpoint = sent_to(&next_actions).unwrap().to_string();
    assert_eq!(endpoint, "a", "the write is sent to the primary at once");
    router.end_attempt(
        id,
        "a",
        1,
        AttemptOutcome::Served,
        primary_status(router.now),
    );
    next_actions = router.request(BOUNDED).1;
    assert_eq!(sent_to(&next_actions), Some(&*refreshed));
}

/// Guards against stale reads at a former primary: the list still names `a` as the primary after
/// `a` has reported itself as a replica.
#[test]
fn endpoint_that_reports_itself_as_replica_does_not_become_primary_by_the_list() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    // The end of an unknown attempt is ignored, so `a` remains the primary.
    router.end_attempt(
        77,
        "a",
        0,
        AttemptOutcome::Served,
        replica_status(router.now),
    );
    let (id, actions) = router.request(WRITE);
    assert_eq!(sent_to(&actions), Some("a"));
    router.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::Misrouted,
        replica_status(router.now - 900 * MS),
    );
    router.advance(6000 * MS);
    router.handle(Event::List {
        kind: ListKind::Changes,
        entries: vec![entry("a", false)],
    });
    router.handle(Event::List {
        kind: ListKind::Changes,
        entries: vec![entry("a", true)],
    });
    let (_, actions) = router.request(BOUNDED);
    assert_ne!(sent_to(&actions), Some("a"), "its data may be stale");
}
