//! Endpoints that have just started.

use crate::common::*;
use reelrill_routing::*;
use std::sync::Arc;

#[test]
fn endpoint_in_slow_start_gets_a_fraction_of_reads_but_not_none() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let mut e = entry("c", false);
    e.started = h.now;
    h.handle(Event::List {
        kind: ListKind::Changes,
        entries: vec![e],
    });
    let (mut cold, mut warm) = (0, 0);
    for _ in 0..200 {
        match &*h.serve(SESSION, h.now) {
            "c" => cold += 1,
            _ => warm += 1,
        }
        h.advance(10 * MS);
    }
    assert!(cold * 2 < warm && cold > 10, "cold {cold}, warm {warm}");
}

/// A cold endpoint takes its share of the reads in turn; those it does not take go on, but not to one that hangs while
/// the primary answers: for many routers that one would be the spare of all.
#[test]
fn reads_beyond_slow_start_capacity_go_to_the_primary_rather_than_to_a_hanging_replica() {
    let (mut to_hung, mut to_lead) = (0, 0);
    for seed in 0..10 {
        let mut h = TestRouter::with_seed(settings(), seed);
        h.warm_up();
        for _ in 0..20 {
            let (id, out) = h.request(SESSION);
            let to = sent_to(&out).unwrap().to_string();
            if to != "c" {
                h.end_attempt(id, &to, 0, AttemptOutcome::Served, replica_status(h.now));
                continue;
            }
            let (request, endpoint, attempt, latency) = (id, Arc::from("c"), 0, 2000 * MS);
            let (replication, report, closed) = (
                ReplicationStatus::default(),
                ReplicationStatus::default(),
                true,
            );
            let outcome = AttemptOutcome::TimedOut;
            h.handle(Event::AttemptEnded(AttemptEnded {
                request,
                endpoint,
                attempt,
                outcome,
                replication,
                report,
                latency,
                is_request_complete: closed,
            }));
        }
        let mut cold = entry("b", false);
        cold.started = h.now;
        h.handle(Event::List {
            kind: ListKind::Changes,
            entries: vec![cold],
        });
        for _ in 0..20 {
            let (id, out) = h.request(SESSION);
            let to = sent_to(&out).unwrap().to_string();
            to_hung += u32::from(to == "c");
            to_lead += u32::from(to == "a");
            let s = if to == "a" {
                primary_status(h.now)
            } else {
                replica_status(h.now)
            };
            h.end_attempt(id, &to, 0, AttemptOutcome::Served, s);
        }
    }
    assert_eq!(to_hung, 0);
    assert!(to_lead > 50, "{to_lead} of 200");
}
