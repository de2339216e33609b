//! One test for each failure found, against the module alone.

mod common;
use common::*;
use reelrill_routing::*;
use std::sync::Arc;

#[test]
fn reads_rotate_over_both_replicas_and_spare_the_primary() {
    let mut h = Host::new(settings());
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
    let mut h = Host::new(settings());
    for _ in 0..12 {
        h.serve(SESSION, T0 - 400 * MS);
    }
    for _ in 0..6 {
        let (_, out) = h.request(BOUNDED);
        assert_ne!(sent(&out), Some("b"));
        assert_ne!(sent(&out), Some("c"));
    }
}

#[test]
fn session_read_goes_only_to_endpoints_that_have_its_write() {
    let mut h = Host::new(settings());
    h.warm_up();
    assert_eq!(h.serve(WRITE, h.now + 5 * MS), "a");
    let (id, out) = h.request(SESSION);
    assert_eq!(
        sent(&out),
        Some("a"),
        "no replica is known to have the write"
    );
    h.outcome(id, "a", 0, AttemptOutcome::Served, primary(h.now));
}

#[test]
fn request_with_less_time_left_than_a_tick_is_rejected_at_once() {
    let mut h = Host::new(settings());
    let req = Request {
        id: 9,
        class: BOUNDED,
        replica_set: 1,
        session: None,
        since_write: None,
        tenant: None,
        work: None,
        is_retry: false,
        time_left: 3 * MS,
    };
    let out = h.feed(Event::Request(req));
    assert!(refused(&out));
}

#[test]
fn single_timeout_does_not_exclude_a_busy_endpoint() {
    let mut h = Host::new(settings());
    h.warm_up();
    let (id, out) = h.request(BOUNDED);
    let to = sent(&out).unwrap().to_string();
    h.wait(60 * MS);
    h.outcome(
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
    let mut h = Host::new(settings());
    h.warm_up();
    let mut waiting = Vec::new();
    for _ in 0..6 {
        let (id, out) = h.request(SESSION);
        let to = sent(&out).unwrap().to_string();
        if to == "b" {
            waiting.push(id);
        } else {
            let s = if to == "a" {
                primary(h.now)
            } else {
                replica(h.now)
            };
            h.outcome(id, &to, 0, AttemptOutcome::Served, s);
        }
    }
    assert!(!waiting.is_empty());
    h.wait(380 * MS);
    for _ in 0..4 {
        assert_ne!(h.serve(SESSION, h.now), "b", "left out");
    }
    // Its requests time out; what is held against it fades, and it is tried again.
    h.wait(1600 * MS);
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
            closed: false,
        };
        h.feed(Event::AttemptEnded(o));
    }
    assert_ne!(h.serve(SESSION, h.now), "b", "a time-out is no good news");
    let back = (0..300).find(|_| {
        h.wait(100 * MS);
        h.serve(SESSION, h.now) == "b"
    });
    assert!(
        back.is_some_and(|n| n > 2),
        "tried again after a while: {back:?}"
    );
}

#[test]
fn unreachable_endpoint_is_ejected_for_longer_each_time_and_health_checks_do_not_end_it() {
    let mut h = Host::new(settings());
    h.warm_up();
    let mut tries = Vec::new();
    for _ in 0..1500 {
        let (id, mut out) = h.request(SESSION);
        for n in 0.. {
            let Some(to) = sent(&out).map(str::to_string) else {
                break;
            };
            if to == "b" {
                tries.push(h.now);
                out = h.outcome(
                    id,
                    "b",
                    n,
                    AttemptOutcome::ConnectFailed,
                    ReplicationStatus::default(),
                );
                // Its process may well answer a probe: its connection table is full.
                let (endpoint, report) = (Arc::from("b"), ReplicationStatus::default());
                out.extend(h.feed(Event::ProbeEnded {
                    endpoint,
                    outcome: AttemptOutcome::Served,
                    report,
                }));
                continue;
            }
            let s = if to == "a" {
                primary(h.now)
            } else {
                replica(h.now)
            };
            h.outcome(id, &to, n, AttemptOutcome::Served, s);
            break;
        }
        h.wait(10 * MS);
    }
    assert!(tries.len() < 12, "{} tries in fifteen seconds", tries.len());
    assert!(
        tries.last().unwrap() > &(h.now - 9000 * MS),
        "never for ever"
    );
    for _ in 0..1000 {
        h.serve(SESSION, h.now);
        h.wait(10 * MS);
    }
    let mut back = Vec::new();
    for _ in 0..4 {
        back.push(h.serve(SESSION, h.now));
    }
    assert!(back.contains(&"b".to_string()), "{back:?}");
}

#[test]
fn quick_errors_do_not_lower_the_cost_of_an_endpoint() {
    let mut h = Host::new(settings());
    h.warm_up();
    let mut to_bad = 0;
    for i in 0..40 {
        let (id, out) = h.request(SESSION);
        let to = sent(&out).unwrap().to_string();
        if to == "b" {
            to_bad += 1;
            let out = h.outcome(id, "b", 0, AttemptOutcome::Error, replica(h.now));
            if let Some(m) = sent(&out).map(str::to_string) {
                let s = if m == "a" {
                    primary(h.now)
                } else {
                    replica(h.now)
                };
                h.outcome(id, &m, 1, AttemptOutcome::Served, s);
            }
            let endpoint: EndpointId = Arc::from("b");
            h.feed(Event::ProbeEnded {
                endpoint,
                outcome: AttemptOutcome::Served,
                report: ReplicationStatus::default(),
            });
        } else {
            let s = if to == "a" {
                primary(h.now)
            } else {
                replica(h.now)
            };
            h.outcome(id, &to, 0, AttemptOutcome::Served, s);
        }
        if i % 4 == 0 {
            h.wait(5 * MS);
        }
    }
    assert!(to_bad < 6, "{to_bad} of 40 reads went to the erring member");
}

#[test]
fn possibly_executed_non_idempotent_write_fails_without_retry() {
    let mut h = Host::new(settings());
    h.warm_up();
    let (id, out) = h.request(WRITE);
    assert_eq!(sent(&out), Some("a"));
    let out = h.outcome(
        id,
        "a",
        0,
        AttemptOutcome::ConnectionReset,
        ReplicationStatus::default(),
    );
    assert!(failed(&out) && sent(&out).is_none());
}

#[test]
fn write_with_idempotency_key_is_retried_within_its_replica_set_and_window() {
    let mut h = Host::new(settings());
    h.warm_up();
    let (id, out) = h.request(KEYED);
    assert_eq!(sent(&out), Some("a"));
    let out = h.outcome(id, "a", 0, AttemptOutcome::Error, primary(h.now));
    assert_eq!(
        sent(&out),
        Some("a"),
        "the primary is the only one to take it"
    );
}

#[test]
fn writes_are_queued_while_the_primary_is_unreachable_and_go_to_its_successor() {
    let mut h = Host::new(settings());
    h.warm_up();
    let (id, out) = h.request(WRITE);
    assert_eq!(sent(&out), Some("a"));
    let out = h.outcome(
        id,
        "a",
        0,
        AttemptOutcome::ConnectFailed,
        ReplicationStatus::default(),
    );
    assert!(
        !refused(&out) && !failed(&out),
        "it never ran and has time left"
    );
    // A read shows who leads now.
    let (read, out) = h.request(SESSION);
    let to = sent(&out).unwrap().to_string();
    let mut moved = h.outcome(read, &to, 0, AttemptOutcome::Served, primary(h.now));
    moved.extend(h.wait(60 * MS));
    let to_new = |a: &Action| matches!(a, Action::Send { request, endpoint, .. } if *request == id && **endpoint == *to);
    assert!(
        moved.iter().any(to_new) || sent(&out) == Some(&*to),
        "{moved:?}"
    );
}

#[test]
fn misrouted_write_is_sent_to_another_endpoint() {
    let mut set = settings();
    set.list_role = ListRole::Silent;
    set.reports = ReportSource::Answers;
    let mut h = Host::new(set);
    let (id, out) = h.request(WRITE);
    let first = sent(&out).unwrap().to_string();
    let out = h.outcome(id, &first, 0, AttemptOutcome::Misrouted, replica(h.now));
    assert!(sent(&out).is_some_and(|m| m != first));
}

#[test]
fn draining_endpoint_gets_no_new_work_after_its_grace() {
    let mut h = Host::new(settings());
    h.warm_up();
    let mut e = entry("b", false);
    e.state = EndpointState::Draining;
    h.feed(Event::List {
        kind: ListKind::Changes,
        entries: vec![e],
    });
    let mut p = entry("a", true);
    p.state = EndpointState::Draining;
    h.feed(Event::List {
        kind: ListKind::Changes,
        entries: vec![p],
    });
    h.wait(1000 * MS);
    for class in [BOUNDED, SESSION, WRITE, FRESH, KEYED] {
        let (_, out) = h.request(class);
        assert!(!matches!(sent(&out), Some("a" | "b")), "{out:?}");
    }
}

/// A process may be held up for 0.15 s between its clock and its write: the grace has to cover that, too.
#[test]
fn writes_to_a_draining_primary_stop_before_a_delayed_write_could_pass_the_grace() {
    for (grace, stop) in [(1000, 500), (250, 100), (200, 50), (150, 0), (20, 0)] {
        let mut set = settings();
        set.rules.drain_grace = grace * MS;
        // Where answers tell positions, writes go to the primary at once.
        set.reports = ReportSource::Answers;
        let mut h = Host::new(set);
        h.warm_up();
        let mut primary = entry("a", true);
        primary.state = EndpointState::Draining;
        h.feed(Event::List {
            kind: ListKind::Changes,
            entries: vec![primary],
        });
        if stop > 0 {
            h.wait((stop - 1) * MS);
            assert_eq!(sent(&h.request(WRITE).1), Some("a"), "grace {grace} ms");
            h.wait(MS);
        }
        assert_ne!(sent(&h.request(WRITE).1), Some("a"), "grace {grace} ms");
    }
}

#[test]
fn endpoint_in_slow_start_gets_a_fraction_of_reads_but_not_none() {
    let mut h = Host::new(settings());
    h.warm_up();
    let mut e = entry("c", false);
    e.started = h.now;
    h.feed(Event::List {
        kind: ListKind::Changes,
        entries: vec![e],
    });
    let (mut cold, mut warm) = (0, 0);
    for _ in 0..200 {
        match &*h.serve(SESSION, h.now) {
            "c" => cold += 1,
            _ => warm += 1,
        }
        h.wait(10 * MS);
    }
    assert!(cold * 2 < warm && cold > 10, "cold {cold}, warm {warm}");
}

#[test]
fn position_refresh_makes_a_stale_replica_eligible_again() {
    let mut h = Host::new(settings());
    h.warm_up();
    h.wait(400 * MS);
    let (id, out) = h.request(WRITE);
    let shown = sent(&out).unwrap().to_string();
    assert_ne!(shown, "a");
    let out = h.outcome(
        id,
        &shown,
        0,
        AttemptOutcome::Misrouted,
        replica(h.now - 10 * MS),
    );
    let mut all = out;
    let to = sent(&all).unwrap().to_string();
    assert_eq!(to, "a", "the write goes on at once");
    h.outcome(id, "a", 1, AttemptOutcome::Served, primary(h.now));
    all = h.request(BOUNDED).1;
    assert_eq!(sent(&all), Some(&*shown));
}

#[test]
fn broken_subscription_is_renewed_soon_at_times_that_differ_between_routers() {
    let mut set = settings();
    set.must_subscribe = true;
    let mut at = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let mut h = Host::seeded(set.clone(), seed);
        h.wait(1000 * MS);
        h.feed(Event::List {
            kind: ListKind::Full,
            entries: vec![entry("a", true)],
        });
        h.feed(Event::List {
            kind: ListKind::Failed,
            entries: Vec::new(),
        });
        let soon = (0..100).find(|_| h.wait(MS).contains(&Action::Subscribe));
        at.insert(soon.expect("within three ticks"));
    }
    assert!(at.len() > 1, "all in step: {at:?}");
}

#[test]
fn overload_is_shed_early_with_retry_advice() {
    let mut h = Host::new(settings());
    h.warm_up();
    let mut refused = 0;
    for _ in 0..400 {
        for a in h.request(SESSION).1 {
            if let Action::Reject {
                reason,
                retry_after,
                ..
            } = a
            {
                assert_eq!(
                    (reason, retry_after.is_some()),
                    (RejectReason::LoadShed, true)
                );
                refused += 1;
            }
        }
        h.wait(2 * MS);
    }
    assert!(refused > 20, "{refused} of 400");
}

#[test]
fn endpoint_that_reports_itself_as_replica_does_not_become_primary_by_the_list() {
    let mut h = Host::new(settings());
    h.warm_up();
    h.outcome(77, "a", 0, AttemptOutcome::Served, replica(h.now));
    let (id, out) = h.request(WRITE);
    assert_eq!(sent(&out), Some("a"));
    h.outcome(
        id,
        "a",
        0,
        AttemptOutcome::Misrouted,
        replica(h.now - 900 * MS),
    );
    h.wait(6000 * MS);
    h.feed(Event::List {
        kind: ListKind::Changes,
        entries: vec![entry("a", false)],
    });
    h.feed(Event::List {
        kind: ListKind::Changes,
        entries: vec![entry("a", true)],
    });
    let (_, out) = h.request(BOUNDED);
    assert_ne!(sent(&out), Some("a"), "it may be stale");
}

#[test]
fn contradicting_settings_are_named() {
    let mut set = settings();
    set.classes[1].latency_objective = set.classes[1].deadline + 1;
    assert!(
        Balancer::new(1, set)
            .err()
            .unwrap()
            .to_string()
            .contains("classes[1]")
    );
    let mut set = settings();
    set.classes.clear();
    assert!(Balancer::new(1, set).is_err());
}

#[test]
fn new_router_rejects_nothing() {
    let mut h = Host::new(settings());
    for class in [BOUNDED, FRESH, SESSION, WRITE] {
        assert!(!refused(&h.request(class).1));
    }
}

#[test]
fn write_served_after_its_client_left_still_binds_its_session() {
    let mut h = Host::new(settings());
    h.warm_up();
    let (id, out) = h.request(WRITE);
    assert_eq!(sent(&out), Some("a"));
    h.feed(Event::ClientLeft { request: id });
    h.outcome(id, "a", 0, AttemptOutcome::Served, primary(h.now + 5 * MS));
    let (_, out) = h.request(SESSION);
    assert_eq!(
        sent(&out),
        Some("a"),
        "no replica is known to have the write"
    );
}

#[test]
fn write_with_idempotency_key_is_not_retried_after_its_deduplication_window() {
    let mut set = settings();
    set.classes[KEYED as usize].deduplication_window = 100 * MS;
    let mut h = Host::new(set);
    h.warm_up();
    let (id, out) = h.request(KEYED);
    assert_eq!(sent(&out), Some("a"));
    h.wait(150 * MS);
    let mut out = h.outcome(id, "a", 0, AttemptOutcome::Error, primary(h.now));
    out.extend(h.wait(2000 * MS));
    assert!(failed(&out) && sent(&out).is_none(), "{out:?}");
}

/// Guards a session's own writes against answers that are lost: one that may have run binds the session's reads like one
/// that was served, as does one whose answer said nothing of its place; one that never ran does not.
#[test]
fn possibly_executed_write_binds_its_session() {
    let cases = [
        (AttemptOutcome::ConnectionReset, true),
        (AttemptOutcome::MalformedResponse, true),
        (AttemptOutcome::TimedOut, true),
        (AttemptOutcome::Cancelled, true),
        (AttemptOutcome::Served, true),
        (AttemptOutcome::Overloaded, false),
        (AttemptOutcome::Abandoned, false),
    ];
    for (outcome, binds) in cases {
        let mut h = Host::new(settings());
        h.warm_up();
        let before = h.now;
        h.wait(50 * MS);
        let (id, out) = h.request(WRITE);
        assert_eq!(sent(&out), Some("a"));
        h.wait(50 * MS);
        h.outcome(id, "a", 0, outcome, ReplicationStatus::default());
        h.feed(Event::ClientLeft { request: id });
        let to: Vec<String> = (0..6).map(|_| h.serve(SESSION, before)).collect();
        assert_eq!(to.iter().all(|to| to == "a"), binds, "{outcome:?}: {to:?}");
    }
}

/// Guards a session's own write whose answer is lost while its connection stays open: a read that comes later than the
/// answer counts as known does not go to a replica; one that comes at once, or of another session, may.
#[test]
fn write_in_flight_for_long_binds_its_session() {
    for (waited, binds) in [(10, false), (101, true)] {
        let mut h = Host::new(settings());
        h.warm_up();
        // The primary is known not to be crowded.
        (0..12).for_each(|_| drop(h.serve(WRITE, h.now)));
        let before = h.now;
        let (_, out) = h.request(WRITE);
        assert_eq!(sent(&out), Some("a"));
        h.wait(waited * MS);
        assert_eq!(h.serve(SESSION, before) == "a", binds, "{waited} ms");
    }
}

/// Guards the window for what waits at the host: a further copy says by when it has to be written, counted from when the
/// first may have run, whatever was sent between; the first copy, and classes that are safe, have no such end.
#[test]
fn retry_states_the_time_by_which_it_must_be_written() {
    let by = |out: &[Action]| {
        out.iter().find_map(|a| match a {
            Action::Send { by, .. } => Some(*by),
            _ => None,
        })
    };
    for (class, is_bound, copies) in [(KEYED, true, 2), (SESSION, false, 1)] {
        let mut h = Host::new(settings());
        // Requests enough for a reserve of further attempts.
        (0..4).for_each(|_| h.warm_up());
        let first = h.now;
        let (id, mut out) = h.request(class);
        assert_eq!(by(&out), Some(None));
        for n in 0..copies {
            let to = sent(&out).unwrap().to_string();
            h.wait(100 * MS);
            let replication = if to == "a" {
                primary(h.now)
            } else {
                replica(h.now)
            };
            out = h.outcome(id, &to, n, AttemptOutcome::ConnectionReset, replication);
            out.extend(h.wait(300 * MS));
            assert_eq!(
                by(&out),
                Some(is_bound.then_some(first + 3000 * MS)),
                "{class} {n}"
            );
        }
    }
}

/// Guards an endpoint's health against answers that are spoilt on their way: one says nothing of it, only three
/// without a good one between them do. A request that may be repeated goes on to another endpoint.
#[test]
fn malformed_responses_eject_an_endpoint_only_when_several_come_in_a_row() {
    let mut h = Host::new(settings());
    h.warm_up();
    let spoil = |h: &mut Host, wanted: &str| loop {
        let (id, out) = h.request(BOUNDED);
        let to = sent(&out).unwrap().to_string();
        let (n, to) = if to == wanted {
            let out = h.outcome(
                id,
                &to,
                0,
                AttemptOutcome::MalformedResponse,
                ReplicationStatus::default(),
            );
            (1, sent(&out).expect("another attempt").to_string())
        } else {
            (0, to)
        };
        h.outcome(id, &to, n, AttemptOutcome::Served, replica(h.now));
        if n == 1 {
            return;
        }
    };
    let share = |h: &mut Host| (0..12).filter(|_| h.serve(SESSION, h.now) == "b").count();
    spoil(&mut h, "b");
    assert_eq!(share(&mut h), 6);
    for _ in 0..3 {
        spoil(&mut h, "b");
    }
    assert_eq!(share(&mut h), 0);
}

/// Guards a warm endpoint against being taken for one that has restarted: one broken connection, and a log as far
/// behind as ever, are no sign of a cold start, which would cost it most of its reads for many seconds.
#[test]
fn connection_reset_does_not_put_an_endpoint_in_slow_start() {
    let mut h = Host::new(settings());
    h.warm_up();
    let (id, out) = h.request(BOUNDED);
    let to = sent(&out).unwrap().to_string();
    let out = h.outcome(
        id,
        &to,
        0,
        AttemptOutcome::ConnectionReset,
        ReplicationStatus::default(),
    );
    let other = sent(&out).unwrap().to_string();
    h.outcome(id, &other, 1, AttemptOutcome::Served, replica(h.now));
    h.wait(350 * MS);
    let got: Vec<String> = (0..24)
        .map(|_| h.serve(SESSION, h.now - 200 * MS))
        .collect();
    assert_eq!(got.iter().filter(|m| **m == to).count(), 12, "{got:?}");
}

/// Guards the long day: endpoints that are replaced one after the other are forgotten, but not while an attempt on
/// one is out; its request then goes on elsewhere.
#[test]
fn removed_endpoints_are_forgotten() {
    let mut h = Host::new(settings());
    h.warm_up();
    let (id, out) = h.request(BOUNDED);
    let to = sent(&out).unwrap().to_string();
    let change = |name: &str, state| {
        let entries = vec![EndpointEntry {
            state,
            ..entry(name, false)
        }];
        Event::List {
            kind: ListKind::Changes,
            entries,
        }
    };
    h.feed(change(&to, EndpointState::Removed));
    assert_eq!(h.balancer.known(), 3);
    let out = h.outcome(
        id,
        &to,
        0,
        AttemptOutcome::ConnectionReset,
        ReplicationStatus::default(),
    );
    let other = sent(&out).expect("goes on").to_string();
    h.outcome(id, &other, 1, AttemptOutcome::Served, replica(h.now));
    for n in 0..200 {
        h.wait(100 * MS);
        h.feed(change(&format!("n{n}"), EndpointState::Serving));
        h.serve(SESSION, h.now);
        h.feed(change(&format!("n{n}"), EndpointState::Removed));
    }
    h.wait(10_001 * MS);
    h.feed(Event::List {
        kind: ListKind::Changes,
        entries: Vec::new(),
    });
    assert_eq!(h.balancer.known(), 2);
    assert!((0..4).all(|_| ["a", &other].contains(&&*h.serve(SESSION, h.now))));
}

/// Guards an endpoint against resting for one connection that broke: its requests would be held or refused though
/// its other connections answer. Three in a row, as of a process that died, do rest it.
#[test]
fn single_connection_reset_does_not_eject_its_endpoint() {
    let mut h = Host::new(settings());
    (0..4).for_each(|_| h.warm_up());
    let reset = |h: &mut Host| {
        let (id, out) = h.request(FRESH);
        assert_eq!(sent(&out), Some("a"));
        let out = h.outcome(
            id,
            "a",
            0,
            AttemptOutcome::ConnectionReset,
            ReplicationStatus::default(),
        );
        sent(&out).map(|m| (id, m.to_string()))
    };
    let (id, again) = reset(&mut h).expect("goes out again at once");
    h.outcome(id, &again, 1, AttemptOutcome::Served, primary(h.now));
    assert_eq!(reset(&mut h).expect("an answer has come in between").1, "a");
    assert!(reset(&mut h).is_some());
    assert_eq!(reset(&mut h), None, "the third in a row");
}

/// Guards a replica set whose endpoints are all out of reach: what could not be sent in the first half of its time is
/// refused at once, an endpoint is tried again before long, and one that the list says has started again at once.
#[test]
fn unreachable_replica_set_is_rejected_early_and_recovers_soon() {
    let mut h = Host::new(settings());
    (0..4).for_each(|_| h.warm_up());
    let mut sends = std::collections::HashMap::new();
    // No endpoint can be reached: whatever is sent comes back at once.
    let mut lose = |h: &mut Host, mut out: Vec<Action>| {
        while let Some(action) = out.pop() {
            let Action::Send {
                request, endpoint, ..
            } = action
            else {
                continue;
            };
            let n = sends.entry(request).or_insert(0);
            *n += 1;
            out.extend(h.outcome(
                request,
                &endpoint,
                *n - 1,
                AttemptOutcome::ConnectFailed,
                ReplicationStatus::default(),
            ));
        }
    };
    for _ in 0..200 {
        let (_, out) = h.request(SESSION);
        lose(&mut h, out);
        let out = h.wait(50 * MS);
        lose(&mut h, out);
    }
    let short = |h: &mut Host| {
        let (class, id, time_left) = (SESSION, h.next, 400 * MS);
        h.next += 1;
        let (session, since_write, tenant, work) = (None, None, None, None);
        let (replica_set, is_retry) = (1, false);
        let req = Request {
            id,
            class,
            replica_set,
            session,
            since_write,
            tenant,
            work,
            is_retry,
            time_left,
        };
        h.feed(Event::Request(req))
    };
    for _ in 0..2 {
        let out = h.wait(8000 * MS);
        lose(&mut h, out);
    }
    let (_, out) = h.request(SESSION);
    lose(&mut h, out);
    assert!(refused(&short(&mut h)), "at once");
    let mut e = entry("b", false);
    e.started = h.now - 10_000 * MS;
    h.feed(Event::List {
        kind: ListKind::Changes,
        entries: vec![e],
    });
    let mut seen = Vec::new();
    for _ in 0..12 {
        seen.extend(sent(&short(&mut h)).map(str::to_string));
    }
    assert!(
        seen.iter().all(|m| m == "b") && !seen.is_empty(),
        "it has started again, and is cold: {seen:?}"
    );
    h.wait(600 * MS);
    let again = (0..12)
        .filter_map(|_| sent(&short(&mut h)).map(str::to_string))
        .any(|m| m != "b");
    assert!(
        again,
        "the last one to go rests for one and a half longest aims at most"
    );
}

#[test]
fn each_rejection_names_its_reason() {
    let reason = |out: &[Action], id: RequestId| {
        out.iter().find_map(|a| match a {
            Action::Reject {
                request, reason, ..
            }
            | Action::Fail { request, reason }
                if *request == id =>
            {
                Some(*reason)
            }
            _ => None,
        })
    };
    let mut h = Host::new(settings());
    h.warm_up();
    let (id, out) = h.request(99);
    assert_eq!(reason(&out, id), Some(RejectReason::UnknownClass));
    let (id, _) = h.request(KEYED);
    let out = h.outcome(
        id,
        "a",
        0,
        AttemptOutcome::TimedOut,
        ReplicationStatus::default(),
    );
    assert_eq!(reason(&out, id), Some(RejectReason::AttemptTimedOut));
    let (id, _) = h.request(WRITE);
    let out = h.outcome(
        id,
        "a",
        0,
        AttemptOutcome::ConnectionReset,
        ReplicationStatus::default(),
    );
    assert_eq!(reason(&out, id), Some(RejectReason::NotRetryable));
    let (id, out) = h.request(SESSION);
    let to = sent(&out).unwrap().to_string();
    let out = h.outcome(
        id,
        &to,
        0,
        AttemptOutcome::InvalidRequest,
        ReplicationStatus::default(),
    );
    assert_eq!(reason(&out, id), Some(RejectReason::InvalidRequest));
    // The reserve allows one further attempt to a router of few requests; the second failure spends more.
    let (id, out) = h.request(SESSION);
    let mut out = out;
    let mut last = None;
    for n in 0.. {
        let Some(to) = sent(&out).map(str::to_string) else {
            break;
        };
        out = h.outcome(
            id,
            &to,
            n,
            AttemptOutcome::ConnectionReset,
            ReplicationStatus::default(),
        );
        last = reason(&out, id).or(last);
    }
    assert_eq!(last, Some(RejectReason::RetryBudgetExhausted));
    // Its time was over before it could be sent.
    let (id, out) = h.request(SESSION);
    let to = sent(&out).unwrap().to_string();
    let out = h.outcome(
        id,
        &to,
        0,
        AttemptOutcome::Abandoned,
        ReplicationStatus::default(),
    );
    assert_eq!(reason(&out, id), Some(RejectReason::DeadlineTooClose));
    // The list takes all endpoints away.
    let mut gone = Vec::new();
    for m in ["a", "b", "c"] {
        let mut e = entry(m, m == "a");
        e.state = EndpointState::Removed;
        gone.push(e);
    }
    h.feed(Event::List {
        kind: ListKind::Changes,
        entries: gone,
    });
    let (id, out) = h.request(SESSION);
    assert_eq!(reason(&out, id), Some(RejectReason::NoEligibleEndpoint));
}

/// A cold endpoint takes its share of the reads in turn; those it does not take go on, but not to one that hangs while
/// the primary answers: for many routers that one would be the spare of all.
#[test]
fn reads_beyond_slow_start_capacity_go_to_the_primary_rather_than_to_a_hanging_replica() {
    let (mut to_hung, mut to_lead) = (0, 0);
    for seed in 0..10 {
        let mut h = Host::seeded(settings(), seed);
        h.warm_up();
        for _ in 0..20 {
            let (id, out) = h.request(SESSION);
            let to = sent(&out).unwrap().to_string();
            if to != "c" {
                h.outcome(id, &to, 0, AttemptOutcome::Served, replica(h.now));
                continue;
            }
            let (request, endpoint, attempt, latency) = (id, Arc::from("c"), 0, 2000 * MS);
            let (replication, report, closed) = (
                ReplicationStatus::default(),
                ReplicationStatus::default(),
                true,
            );
            let outcome = AttemptOutcome::TimedOut;
            h.feed(Event::AttemptEnded(AttemptEnded {
                request,
                endpoint,
                attempt,
                outcome,
                replication,
                report,
                latency,
                closed,
            }));
        }
        let mut cold = entry("b", false);
        cold.started = h.now;
        h.feed(Event::List {
            kind: ListKind::Changes,
            entries: vec![cold],
        });
        for _ in 0..20 {
            let (id, out) = h.request(SESSION);
            let to = sent(&out).unwrap().to_string();
            to_hung += u32::from(to == "c");
            to_lead += u32::from(to == "a");
            let s = if to == "a" {
                primary(h.now)
            } else {
                replica(h.now)
            };
            h.outcome(id, &to, 0, AttemptOutcome::Served, s);
        }
    }
    assert_eq!(to_hung, 0);
    assert!(to_lead > 50, "{to_lead} of 200");
}
