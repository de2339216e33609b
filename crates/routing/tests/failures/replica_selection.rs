//! Which endpoint answers a read.

use crate::common::*;
use reelrill_routing::*;
use std::sync::Arc;

#[test]
fn reads_rotate_over_both_replicas_and_spare_the_primary() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let mut got = Vec::new();
    for _ in 0..10 {
        got.push(h.serve(BOUNDED, h.now));
    }
    assert_eq!(got.iter().filter(|m| *m == "b").count(), 5);
    assert_eq!(got.iter().filter(|m| *m == "c").count(), 5);
}

#[test]
fn bounded_read_never_goes_to_a_replica_behind_its_bound() {
    let mut h = TestRouter::new(settings());
    for _ in 0..12 {
        h.serve(SESSION, START_TIME - 400 * MS);
    }
    for _ in 0..6 {
        let (_, out) = h.request(BOUNDED);
        assert_ne!(sent_to(&out), Some("b"));
        assert_ne!(sent_to(&out), Some("c"));
    }
}

#[test]
fn single_timeout_does_not_exclude_a_busy_endpoint() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let (id, out) = h.request(BOUNDED);
    let to = sent_to(&out).unwrap().to_string();
    h.advance(60 * MS);
    h.end_attempt(
        id,
        &to,
        0,
        AttemptOutcome::TimedOut,
        ReplicationStatus::default(),
    );
    let mut got = Vec::new();
    for _ in 0..4 {
        got.push(h.serve(SESSION, h.now));
    }
    assert!(got.contains(&to), "still in the rotation: {got:?}");
}

#[test]
fn unresponsive_replica_is_excluded_and_probed_later() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let mut waiting = Vec::new();
    for _ in 0..6 {
        let (id, out) = h.request(SESSION);
        let to = sent_to(&out).unwrap().to_string();
        if to == "b" {
            waiting.push(id);
        } else {
            let s = if to == "a" {
                primary_status(h.now)
            } else {
                replica_status(h.now)
            };
            h.end_attempt(id, &to, 0, AttemptOutcome::Served, s);
        }
    }
    assert!(!waiting.is_empty());
    h.advance(380 * MS);
    for _ in 0..4 {
        assert_ne!(h.serve(SESSION, h.now), "b", "left out");
    }
    // Its requests time out; the evidence against it decays, and it is tried again.
    h.advance(1600 * MS);
    for request in waiting {
        let (replication, report) = (ReplicationStatus::default(), ReplicationStatus::default());
        let (endpoint, outcome, latency) = (Arc::from("b"), AttemptOutcome::TimedOut, 2000 * MS);
        let o = AttemptEnded {
            request,
            endpoint,
            attempt: 0,
            outcome,
            replication,
            report,
            latency,
            is_request_complete: false,
        };
        h.handle(Event::AttemptEnded(o));
    }
    assert_ne!(
        h.serve(SESSION, h.now),
        "b",
        "a timeout is no sign of recovery"
    );
    let back = (0..300).find(|_| {
        h.advance(100 * MS);
        h.serve(SESSION, h.now) == "b"
    });
    assert!(
        back.is_some_and(|n| n > 2),
        "tried again after a while: {back:?}"
    );
}
