//! Retries, idempotency and deduplication windows.

use crate::common::*;
use reelrill_routing::*;

/// Guards against a second execution of a write that is not idempotent, by a retry or by a client
/// that repeats it after a rejection.
#[test]
fn possibly_executed_non_idempotent_write_fails_without_retry() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let (id, actions) = router.request(WRITE);
    assert_eq!(sent_to(&actions), Some("a"));
    let actions = router.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::ConnectionReset,
        ReplicationStatus::default(),
    );
    assert!(is_failed(&actions) && sent_to(&actions).is_none());
}

/// Guards against failing a write that endpoints with the same key record would deduplicate.
#[test]
fn write_with_idempotency_key_is_retried_within_its_replica_set_and_window() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let (id, actions) = router.request(KEYED);
    assert_eq!(sent_to(&actions), Some("a"));
    let actions = router.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::Error,
        primary_status(router.now),
    );
    assert_eq!(
        sent_to(&actions),
        Some("a"),
        "only the primary accepts the write"
    );
}

/// Guards a write without a known primary: a replica that rejects it is not the last endpoint
/// tried.
#[test]
fn misrouted_write_is_sent_to_another_endpoint() {
    let mut router_settings = settings();
    router_settings.list_role = ListRole::None;
    router_settings.reports = ReportSource::Responses;
    let mut router = TestRouter::new(router_settings);
    let (id, actions) = router.request(WRITE);
    let first = sent_to(&actions).unwrap().to_string();
    let actions = router.end_attempt(
        id,
        &first,
        0,
        AttemptOutcome::Misrouted,
        replica_status(router.now),
    );
    assert!(sent_to(&actions).is_some_and(|endpoint| endpoint != first));
}

/// Guards against a second execution after the endpoints have forgotten the key.
#[test]
fn write_with_idempotency_key_is_not_retried_after_its_deduplication_window() {
    let mut router_settings = settings();
    router_settings.classes[KEYED as usize].deduplication_window = 100 * MS;
    let mut router = TestRouter::new(router_settings);
    router.warm_up();
    let (id, actions) = router.request(KEYED);
    assert_eq!(sent_to(&actions), Some("a"));
    router.advance(150 * MS);
    let mut actions = router.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::Error,
        primary_status(router.now),
    );
    actions.extend(router.advance(2000 * MS));
    assert!(
        is_failed(&actions) && sent_to(&actions).is_none(),
        "{actions:?}"
    );
}

/// Guards the deduplication window for an attempt that waits in the router: a retry of a keyed
/// write states the end of the window of the first attempt. First attempts and idempotent classes
/// have no such limit.
#[test]
fn retry_states_the_time_by_which_it_must_be_written() {
    let write_limit = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { write_by, .. } => Some(*write_by),
            _ => None,
        })
    };
    for (class, has_limit, retries) in [(KEYED, true, 2), (SESSION, false, 1)] {
        let mut router = TestRouter::new(settings());
        // Enough requests for a retry budget of several retries.
        (0..4).for_each(|_| router.warm_up());
        let first_sent = router.now;
        let (id, mut actions) = router.request(class);
        assert_eq!(write_limit(&actions), Some(None));
        for attempt in 0..retries {
            let endpoint = sent_to(&actions).unwrap().to_string();
            router.advance(100 * MS);
            let replication = if endpoint == "a" {
                primary_status(router.now)
            } else {
                replica_status(router.now)
            };
            actions = router.end_attempt(
                id,
                &endpoint,
                attempt,
                AttemptOutcome::ConnectionReset,
                replication,
            );
            actions.extend(router.advance(300 * MS));
            assert_eq!(
                write_limit(&actions),
                Some(has_limit.then_some(first_sent + 3000 * MS)),
                "class {class}, after attempt {attempt}"
            );
        }
    }
}

/// Guards against a second execution by a client that repeats a rejected write: a key that all
/// endpoints share makes the repetition safe only while its deduplication window is open.
#[test]
fn possibly_executed_write_fails_after_the_window_of_a_key_that_all_endpoints_share() {
    for (window, should_reject) in [(100 * MS, false), (10_000 * MS, true)] {
        let mut router_settings = settings();
        let class = &mut router_settings.classes[KEYED as usize];
        class.idempotency = Idempotency::IdempotencyKey(KeyScope::All);
        class.deduplication_window = window;
        let mut router = TestRouter::new(router_settings);
        router.warm_up();
        let (id, actions) = router.request(KEYED);
        assert_eq!(sent_to(&actions), Some("a"));
        router.advance(150 * MS);
        let status = ReplicationStatus::default();
        let actions = router.end_attempt(id, "a", 0, AttemptOutcome::TimedOut, status);
        assert_eq!(
            is_failed(&actions),
            !should_reject,
            "window of {window} ns: {actions:?}"
        );
    }
}
