//! Ejection after failures, and recovery.

use crate::common::*;
use reelrill_routing::*;
use std::sync::Arc;

#[test]
fn unreachable_endpoint_is_ejected_for_longer_each_time_and_health_checks_do_not_end_it() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let mut tries = Vec::new();
    for _ in 0..1500 {
        let (id, mut out) = h.request(SESSION);
        for n in 0.. {
            let Some(to) = sent_to(&out).map(str::to_string) else {
                break;
            };
            if to == "b" {
                tries.push(h.now);
                out = h.end_attempt(
                    id,
                    "b",
                    n,
                    AttemptOutcome::ConnectFailed,
                    ReplicationStatus::default(),
                );
                // Its process may well answer a probe: its connection table is full.
                let (endpoint, report) = (Arc::from("b"), ReplicationStatus::default());
                out.extend(h.handle(Event::HealthCheckEnded {
                    endpoint,
                    outcome: AttemptOutcome::Served,
                    report,
                }));
                continue;
            }
            let s = if to == "a" {
                primary_status(h.now)
            } else {
                replica_status(h.now)
            };
            h.end_attempt(id, &to, n, AttemptOutcome::Served, s);
            break;
        }
        h.advance(10 * MS);
    }
    assert!(tries.len() < 12, "{} tries in fifteen seconds", tries.len());
    assert!(
        tries.last().unwrap() > &(h.now - 9000 * MS),
        "never for ever"
    );
    for _ in 0..1000 {
        h.serve(SESSION, h.now);
        h.advance(10 * MS);
    }
    let mut back = Vec::new();
    for _ in 0..4 {
        back.push(h.serve(SESSION, h.now));
    }
    assert!(back.contains(&"b".to_string()), "{back:?}");
}

#[test]
fn quick_errors_do_not_lower_the_cost_of_an_endpoint() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let mut to_bad = 0;
    for i in 0..40 {
        let (id, out) = h.request(SESSION);
        let to = sent_to(&out).unwrap().to_string();
        if to == "b" {
            to_bad += 1;
            let out = h.end_attempt(id, "b", 0, AttemptOutcome::Error, replica_status(h.now));
            if let Some(m) = sent_to(&out).map(str::to_string) {
                let s = if m == "a" {
                    primary_status(h.now)
                } else {
                    replica_status(h.now)
                };
                h.end_attempt(id, &m, 1, AttemptOutcome::Served, s);
            }
            let endpoint: EndpointId = Arc::from("b");
            h.handle(Event::HealthCheckEnded {
                endpoint,
                outcome: AttemptOutcome::Served,
                report: ReplicationStatus::default(),
            });
        } else {
            let s = if to == "a" {
                primary_status(h.now)
            } else {
                replica_status(h.now)
            };
            h.end_attempt(id, &to, 0, AttemptOutcome::Served, s);
        }
        if i % 4 == 0 {
            h.advance(5 * MS);
        }
    }
    assert!(
        to_bad < 6,
        "{to_bad} of 40 reads went to the endpoint with errors"
    );
}

/// Guards an endpoint's health against responses that are damaged in transit: one says nothing of it, only three
/// without a good one between them do. A request that may be repeated goes on to another endpoint.
#[test]
fn malformed_responses_eject_an_endpoint_only_when_several_come_in_a_row() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let spoil = |h: &mut TestRouter, wanted: &str| loop {
        let (id, out) = h.request(BOUNDED);
        let to = sent_to(&out).unwrap().to_string();
        let (n, to) = if to == wanted {
            let out = h.end_attempt(
                id,
                &to,
                0,
                AttemptOutcome::MalformedResponse,
                ReplicationStatus::default(),
            );
            (1, sent_to(&out).expect("another attempt").to_string())
        } else {
            (0, to)
        };
        h.end_attempt(id, &to, n, AttemptOutcome::Served, replica_status(h.now));
        if n == 1 {
            return;
        }
    };
    let share = |h: &mut TestRouter| (0..12).filter(|_| h.serve(SESSION, h.now) == "b").count();
    spoil(&mut h, "b");
    assert_eq!(share(&mut h), 6);
    for _ in 0..3 {
        spoil(&mut h, "b");
    }
    assert_eq!(share(&mut h), 0);
}

/// Guards an endpoint against being taken for one that has restarted: one broken connection, and a log as far
/// behind as ever, are no sign of a restart, which would cost it most of its reads for many seconds.
#[test]
fn connection_reset_does_not_put_an_endpoint_in_slow_start() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let (id, out) = h.request(BOUNDED);
    let to = sent_to(&out).unwrap().to_string();
    let out = h.end_attempt(
        id,
        &to,
        0,
        AttemptOutcome::ConnectionReset,
        ReplicationStatus::default(),
    );
    let other = sent_to(&out).unwrap().to_string();
    h.end_attempt(id, &other, 1, AttemptOutcome::Served, replica_status(h.now));
    h.advance(350 * MS);
    let got: Vec<String> = (0..24)
        .map(|_| h.serve(SESSION, h.now - 200 * MS))
        .collect();
    assert_eq!(got.iter().filter(|m| **m == to).count(), 12, "{got:?}");
}

/// Guards an endpoint against ejection for one connection reset: its requests would be queued or rejected though
/// its other connections answer. Three in a row, as of a process that died, do eject it.
#[test]
fn single_connection_reset_does_not_eject_its_endpoint() {
    let mut h = TestRouter::new(settings());
    (0..4).for_each(|_| h.warm_up());
    let reset = |h: &mut TestRouter| {
        let (id, out) = h.request(STRONG);
        assert_eq!(sent_to(&out), Some("a"));
        let out = h.end_attempt(
            id,
            "a",
            0,
            AttemptOutcome::ConnectionReset,
            ReplicationStatus::default(),
        );
        sent_to(&out).map(|m| (id, m.to_string()))
    };
    let (id, again) = reset(&mut h).expect("goes out again at once");
    h.end_attempt(id, &again, 1, AttemptOutcome::Served, primary_status(h.now));
    assert_eq!(reset(&mut h).expect("an answer has come in between").1, "a");
    assert!(reset(&mut h).is_some());
    assert_eq!(reset(&mut h), None, "the third in a row");
}
