//! Ejection of endpoints after failures, and their recovery.

use crate::common::*;
use reelrill_routing::*;
use std::sync::Arc;

/// Guards against an unreachable endpoint that costs many requests an attempt, and against one that
/// never gets requests again. Its process passes health checks, since only its connection table is
/// full.
#[test]
fn unreachable_endpoint_is_ejected_for_longer_each_time_and_health_checks_do_not_end_it() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let mut attempt_times = Vec::new();
    for _ in 0..1500 {
        let (id, mut actions) = router.request(SESSION);
        for attempt in 0.. {
            let Some(endpoint) = sent_to(&actions).map(str::to_string) else {
                break;
            };
            if endpoint == "b" {
                attempt_times.push(router.now);
                actions = router.end_attempt(
                    id,
                    "b",
                    attempt,
                    AttemptOutcome::ConnectFailed,
                    ReplicationStatus::default(),
                );
                // The process responds to health checks although its connection table is full.
                let (endpoint, report) = (Arc::from("b"), ReplicationStatus::default());
                actions.extend(router.handle(Event::HealthCheckEnded {
                    endpoint,
                    outcome: AttemptOutcome::Served,
                    report,
                }));
                continue;
            }
            let replication = if endpoint == "a" {
                primary_status(router.now)
            } else {
                replica_status(router.now)
            };
            router.end_attempt(id, &endpoint, attempt, AttemptOutcome::Served, replication);
            break;
        }
        router.advance(10 * MS);
    }
    assert!(
        attempt_times.len() < 12,
        "{} attempts in 15 s",
        attempt_times.len()
    );
    assert!(
        attempt_times.last().unwrap() > &(router.now - 9000 * MS),
        "no attempt in the last 9 s"
    );
    for _ in 0..1000 {
        router.serve(SESSION, router.now);
        router.advance(10 * MS);
    }
    let mut endpoints = Vec::new();
    for _ in 0..4 {
        endpoints.push(router.serve(SESSION, router.now));
    }
    assert!(endpoints.contains(&"b".to_string()), "{endpoints:?}");
}

/// Guards against an endpoint that attracts reads by returning errors fast: with the latency of its
/// errors as its cost, it would be the cheapest of all.
#[test]
fn quick_errors_do_not_lower_the_cost_of_an_endpoint() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let mut failing_reads = 0;
    for read in 0..40 {
        let (id, actions) = router.request(SESSION);
        let endpoint = sent_to(&actions).unwrap().to_string();
        if endpoint == "b" {
            failing_reads += 1;
            let actions = router.end_attempt(
                id,
                "b",
                0,
                AttemptOutcome::Error,
                replica_status(router.now),
            );
            if let Some(other) = sent_to(&actions).map(str::to_string) {
                let replication = if other == "a" {
                    primary_status(router.now)
                } else {
                    replica_status(router.now)
                };
                router.end_attempt(id, &other, 1, AttemptOutcome::Served, replication);
            }
            let endpoint: EndpointId = Arc::from("b");
            router.handle(Event::HealthCheckEnded {
                endpoint,
                outcome: AttemptOutcome::Served,
                report: ReplicationStatus::default(),
            });
        } else {
            let replication = if endpoint == "a" {
                primary_status(router.now)
            } else {
                replica_status(router.now)
            };
            router.end_attempt(id, &endpoint, 0, AttemptOutcome::Served, replication);
        }
        if read % 4 == 0 {
            router.advance(5 * MS);
        }
    }
    assert!(
        failing_reads < 6,
        "{failing_reads} of 40 reads were sent to the endpoint with errors"
    );
}

/// Guards against ejecting a healthy endpoint for a response that was damaged in transit: only
/// three malformed responses in a row count as an error. An idempotent request is retried
/// elsewhere.
#[test]
fn malformed_responses_eject_an_endpoint_only_after_three_in_a_row() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let respond_malformed = |router: &mut TestRouter, faulty: &str| loop {
        let (id, actions) = router.request(BOUNDED);
        let endpoint = sent_to(&actions).unwrap().to_string();
        let (attempt, endpoint) = if endpoint == faulty {
            let actions = router.end_attempt(
                id,
                &endpoint,
                0,
                AttemptOutcome::MalformedResponse,
                ReplicationStatus::default(),
            );
            (1, sent_to(&actions).expect("a retry").to_string())
        } else {
            (0, endpoint)
        };
        router.end_attempt(
            id,
            &endpoint,
            attempt,
            AttemptOutcome::Served,
            replica_status(router.now),
        );
        if attempt == 1 {
            return;
        }
    };
    let reads_at_b = |router: &mut TestRouter| {
        (0..12)
            .filter(|_| router.serve(SESSION, router.now) == "b")
            .count()
    };
    respond_malformed(&mut router, "b");
    assert_eq!(reads_at_b(&mut router), 6);
    for _ in 0..3 {
        respond_malformed(&mut router, "b");
    }
    assert_eq!(reads_at_b(&mut router), 0);
}

/// Guards against a slow start of an endpoint that has not restarted, which would cost it most of
/// its reads for many seconds: one broken connection and the usual replication lag are no evidence
/// of a restart.
#[test]
fn connection_reset_does_not_put_an_endpoint_in_slow_start() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let (id, actions) = router.request(BOUNDED);
    let endpoint = sent_to(&actions).unwrap().to_string();
    let actions = router.end_attempt(
        id,
        &endpoint,
        0,
        AttemptOutcome::ConnectionReset,
        ReplicationStatus::default(),
    );
    let other = sent_to(&actions).unwrap().to_string();
    router.end_attempt(
        id,
        &other,
        1,
        AttemptOutcome::Served,
        replica_status(router.now),
    );
    router.advance(350 * MS);
    let endpoints: Vec<String> = (0..24)
        .map(|_| router.serve(SESSION, router.now - 200 * MS))
        .collect();
    assert_eq!(
        endpoints.iter().filter(|other| **other == endpoint).count(),
        12,
        "{endpoints:?}"
    );
}

/// Guards against ejecting an endpoint for one connection reset: its requests would be queued or
/// rejected although its other connections work. Three in a row, as when a process dies, eject it.
#[test]
fn single_connection_reset_does_not_eject_its_endpoint() {
    let mut router = TestRouter::new(settings());
    (0..4).for_each(|_| router.warm_up());
    let reset = |router: &mut TestRouter| {
        let (id, actions) = router.request(STRONG);
        assert_eq!(sent_to(&actions), Some("a"));
        let actions = router.end_attempt(
            id,
            "a",
            0,
            AttemptOutcome::ConnectionReset,
            ReplicationStatus::default(),
        );
        sent_to(&actions).map(|endpoint| (id, endpoint.to_string()))
    };
    let (id, retried_at) = reset(&mut router).expect("a retry at once");
    router.end_attempt(
        id,
        &retried_at,
        1,
        AttemptOutcome::Served,
        primary_status(router.now),
    );
    assert_eq!(reset(&mut router).expect("a retry after a response").1, "a");
    assert!(reset(&mut router).is_some());
    assert_eq!(
        reset(&mut router),
        None,
        "no retry after the third in a row"
    );
}
