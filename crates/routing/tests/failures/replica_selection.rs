//! Selection of the endpoint for a read.

use crate::common::*;
use reelrill_routing::*;
use std::sync::Arc;

/// Guards the primary against reads that replicas can serve, and one replica against all of them.
#[test]
fn reads_rotate_over_both_replicas_but_not_the_primary() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let mut endpoints = Vec::new();
    for _ in 0..10 {
        endpoints.push(router.serve(BOUNDED, router.now));
    }
    assert_eq!(
        endpoints.iter().filter(|endpoint| *endpoint == "b").count(),
        5
    );
    assert_eq!(
        endpoints.iter().filter(|endpoint| *endpoint == "c").count(),
        5
    );
}

/// Guards against stale reads: both replicas are 400 ms behind, and the bound is 300 ms.
#[test]
fn bounded_read_is_never_sent_to_a_replica_behind_its_bound() {
    let mut router = TestRouter::new(settings());
    for _ in 0..12 {
        router.serve(SESSION, START_TIME - 400 * MS);
    }
    for _ in 0..6 {
        let (_, actions) = router.request(BOUNDED);
        assert_ne!(sent_to(&actions), Some("b"));
        assert_ne!(sent_to(&actions), Some("c"));
    }
}

/// Guards against taking a busy endpoint for a failed one: one attempt that times out does not
/// prove a failure.
#[test]
fn single_timeout_does_not_exclude_a_busy_endpoint() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let (id, actions) = router.request(BOUNDED);
    let endpoint = sent_to(&actions).unwrap().to_string();
    router.advance(60 * MS);
    router.end_attempt(
        id,
        &endpoint,
        0,
        AttemptOutcome::TimedOut,
        ReplicationStatus::default(),
    );
    let mut endpoints = Vec::new();
    for _ in 0..4 {
        endpoints.push(router.serve(SESSION, router.now));
    }
    assert!(
        endpoints.contains(&endpoint),
        "still in the rotation: {endpoints:?}"
    );
}

/// Guards reads against a replica that never responds: its attempts in flight raise its cost before
/// they time out. It must also get another request later, or it would never be used again.
#[test]
fn unresponsive_replica_is_excluded_and_tried_again_later() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let mut without_response = Vec::new();
    for _ in 0..6 {
        let (id, actions) = router.request(SESSION);
        let endpoint = sent_to(&actions).unwrap().to_string();
        if endpoint == "b" {
            without_response.push(id);
        } else {
            let replication = if endpoint == "a" {
                primary_status(router.now)
            } else {
                replica_status(router.now)
            };
            router.end_attempt(id, &endpoint, 0, AttemptOutcome::Served, replication);
        }
    }
    assert!(!without_response.is_empty());
    router.advance(380 * MS);
    for _ in 0..4 {
        assert_ne!(
            router.serve(SESSION, router.now),
            "b",
            "excluded by its attempts in flight"
        );
    }
    // Its attempts time out; the weight of these samples decays, and it is tried again.
    router.advance(1600 * MS);
    for request in without_response {
        let (replication, report) = (ReplicationStatus::default(), ReplicationStatus::default());
        let (endpoint, outcome, latency) = (Arc::from("b"), AttemptOutcome::TimedOut, 2000 * MS);
        let ended = AttemptEnded {
            request,
            endpoint,
            attempt: 0,
            outcome,
            replication,
            report,
            latency,
            is_request_complete: false,
        };
        router.handle(Event::AttemptEnded(ended));
    }
    assert_ne!(
        router.serve(SESSION, router.now),
        "b",
        "a timeout does not show that it has recovered"
    );
    let tried_after = (0..300).find(|_| {
        router.advance(100 * MS);
        router.serve(SESSION, router.now) == "b"
    });
    assert!(
        tried_after.is_some_and(|steps| steps > 2),
        "expected another read after more than 300 ms: {tried_after:?} steps of 100 ms"
    );
}
