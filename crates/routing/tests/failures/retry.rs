//! Retries, idempotency and deduplication windows.

use crate::common::*;
use reelrill_routing::*;

#[test]
fn possibly_executed_non_idempotent_write_fails_without_retry() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let (id, out) = h.request(WRITE);
    assert_eq!(sent_to(&out), Some("a"));
    let out = h.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::ConnectionReset,
        ReplicationStatus::default(),
    );
    assert!(is_failed(&out) && sent_to(&out).is_none());
}

#[test]
fn write_with_idempotency_key_is_retried_within_its_replica_set_and_window() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let (id, out) = h.request(KEYED);
    assert_eq!(sent_to(&out), Some("a"));
    let out = h.end_attempt(id, "a", 0, AttemptOutcome::Error, primary_status(h.now));
    assert_eq!(
        sent_to(&out),
        Some("a"),
        "the primary is the only one to take it"
    );
}

#[test]
fn misrouted_write_is_sent_to_another_endpoint() {
    let mut set = settings();
    set.list_role = ListRole::None;
    set.reports = ReportSource::Responses;
    let mut h = TestRouter::new(set);
    let (id, out) = h.request(WRITE);
    let first = sent_to(&out).unwrap().to_string();
    let out = h.end_attempt(
        id,
        &first,
        0,
        AttemptOutcome::Misrouted,
        replica_status(h.now),
    );
    assert!(sent_to(&out).is_some_and(|m| m != first));
}

#[test]
fn write_with_idempotency_key_is_not_retried_after_its_deduplication_window() {
    let mut set = settings();
    set.classes[KEYED as usize].deduplication_window = 100 * MS;
    let mut h = TestRouter::new(set);
    h.warm_up();
    let (id, out) = h.request(KEYED);
    assert_eq!(sent_to(&out), Some("a"));
    h.advance(150 * MS);
    let mut out = h.end_attempt(id, "a", 0, AttemptOutcome::Error, primary_status(h.now));
    out.extend(h.advance(2000 * MS));
    assert!(is_failed(&out) && sent_to(&out).is_none(), "{out:?}");
}

/// Guards the window for what waits at the host: a further copy says by when it has to be written, counted from when the
/// first may have run, whatever was sent between; the first copy, and classes that are safe, have no such end.
#[test]
fn retry_states_the_time_by_which_it_must_be_written() {
    let by = |out: &[Action]| {
        out.iter().find_map(|a| match a {
            Action::Send { write_by, .. } => Some(*write_by),
            _ => None,
        })
    };
    for (class, is_bound, copies) in [(KEYED, true, 2), (SESSION, false, 1)] {
        let mut h = TestRouter::new(settings());
        // Requests enough for a reserve of further attempts.
        (0..4).for_each(|_| h.warm_up());
        let first = h.now;
        let (id, mut out) = h.request(class);
        assert_eq!(by(&out), Some(None));
        for n in 0..copies {
            let to = sent_to(&out).unwrap().to_string();
            h.advance(100 * MS);
            let replication = if to == "a" {
                primary_status(h.now)
            } else {
                replica_status(h.now)
            };
            out = h.end_attempt(id, &to, n, AttemptOutcome::ConnectionReset, replication);
            out.extend(h.advance(300 * MS));
            assert_eq!(
                by(&out),
                Some(is_bound.then_some(first + 3000 * MS)),
                "{class} {n}"
            );
        }
    }
}

/// A key that all endpoints share makes a client's repetition harmless only while its window is
/// open: a rejection after it would invite a second execution.
#[test]
fn possibly_executed_write_fails_after_the_window_of_a_key_that_all_endpoints_share() {
    for (window, is_rejected) in [(100 * MS, false), (10_000 * MS, true)] {
        let mut set = settings();
        let class = &mut set.classes[KEYED as usize];
        class.idempotency = Idempotency::IdempotencyKey(KeyScope::All);
        class.deduplication_window = window;
        let mut h = TestRouter::new(set);
        h.warm_up();
        let (id, out) = h.request(KEYED);
        assert_eq!(sent_to(&out), Some("a"));
        h.advance(150 * MS);
        let status = ReplicationStatus::default();
        let out = h.end_attempt(id, "a", 0, AttemptOutcome::TimedOut, status);
        assert_eq!(
            is_failed(&out),
            !is_rejected,
            "window of {window} ns: {out:?}"
        );
    }
}
