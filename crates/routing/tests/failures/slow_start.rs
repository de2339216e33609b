//! Slow start of endpoints that have just started.

use crate::common::*;
use reelrill_routing::*;
use std::sync::Arc;

/// Guards against overloading an endpoint that has just started, and against leaving it without
/// reads.
#[test]
fn endpoint_in_slow_start_gets_a_fraction_of_reads_but_not_none() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let mut restarted = entry("c", false);
    restarted.started = router.now;
    router.handle(Event::List {
        kind: ListKind::Changes,
        entries: vec![restarted],
    });
    let (mut starting, mut other) = (0, 0);
    for _ in 0..200 {
        match &*router.serve(SESSION, router.now) {
            "c" => starting += 1,
            _ => other += 1,
        }
        router.advance(10 * MS);
    }
    assert!(
        starting * 2 < other && starting > 10,
        "reads at the starting endpoint: {starting}, at others: {other}"
    );
}

/// Guards against sending the reads that an endpoint in slow start does not admit to a replica that
/// hangs while the primary responds: all routers together would then fall back to that replica.
#[test]
fn reads_beyond_slow_start_capacity_are_sent_to_the_primary_rather_than_a_hanging_replica() {
    let (mut hanging_reads, mut primary_reads) = (0, 0);
    for seed in 0..10 {
        let mut router = TestRouter::with_seed(settings(), seed);
        router.warm_up();
        for _ in 0..20 {
            let (id, actions) = router.request(SESSION);
            let endpoint = sent_to(&actions).unwrap().to_string();
            if endpoint != "c" {
                router.end_attempt(
                    id,
                    &endpoint,
                    0,
                    AttemptOutcome::Served,
                    replica_status(router.now),
                );
                continue;
            }
            let (request, endpoint, attempt, latency) = (id, Arc::from("c"), 0, 2000 * MS);
            let (replication, report, is_request_complete) = (
                ReplicationStatus::default(),
                ReplicationStatus::default(),
                true,
            );
            let outcome = AttemptOutcome::TimedOut;
            router.handle(Event::AttemptEnded(AttemptEnded {
                request,
                endpoint,
                attempt,
                outcome,
                replication,
                report,
                latency,
                is_request_complete,
            }));
        }
        let mut restarted = entry("b", false);
        restarted.started = router.now;
        router.handle(Event::List {
            kind: ListKind::Changes,
            entries: vec![restarted],
        });
        for _ in 0..20 {
            let (id, actions) = router.request(SESSION);
            let endpoint = sent_to(&actions).unwrap().to_string();
            hanging_reads += u32::from(endpoint == "c");
            primary_reads += u32::from(endpoint == "a");
            let replication = if endpoint == "a" {
                primary_status(router.now)
            } else {
                replica_status(router.now)
            };
            router.end_attempt(id, &endpoint, 0, AttemptOutcome::Served, replication);
        }
    }
    assert_eq!(hanging_reads, 0);
    assert!(
        primary_reads > 50,
        "{primary_reads} of 200 reads at the primary"
    );
}
