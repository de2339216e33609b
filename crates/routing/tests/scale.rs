//! Many routers with few requests each: what they do together, driven as balancers that share nothing.

mod common;
use common::*;
use reelrill_routing::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const ROUTERS: u64 = 150;

fn fleet(set: &Settings) -> Vec<TestRouter> {
    (0..ROUTERS)
        .map(|seed| TestRouter::with_seed(set.clone(), seed * 7919 + 1))
        .collect()
}

fn replication(h: &TestRouter, endpoint: &str) -> ReplicationStatus {
    if endpoint == "a" {
        primary_status(h.now)
    } else {
        replica_status(h.now)
    }
}

/// One request of one router, served at once; returns the endpoint.
fn one(h: &mut TestRouter, class: u32) -> Option<String> {
    let (id, out) = h.request(class);
    let to = sent_to(&out)?.to_string();
    h.end_attempt(id, &to, 0, AttemptOutcome::Served, replication(h, &to));
    Some(to)
}

fn changed(e: EndpointEntry) -> Event {
    Event::List {
        kind: ListKind::Changes,
        entries: vec![e],
    }
}

#[test]
fn many_new_routers_do_not_all_select_the_same_endpoint_first() {
    let mut first = BTreeMap::new();
    let mut hosts = fleet(&settings());
    for h in &mut hosts {
        *first.entry(one(h, SESSION).unwrap()).or_insert(0) += 1;
    }
    assert!(
        first.values().all(|n| *n > ROUTERS / 4),
        "after a restart: {first:?}"
    );
    let mut to_new = 0;
    for h in &mut hosts {
        h.handle(changed(entry("d", false)));
        to_new += u64::from(one(h, SESSION).unwrap() == "d");
    }
    assert!(
        to_new < ROUTERS / 2,
        "{to_new} of {ROUTERS} select the new endpoint at once"
    );
}

#[test]
fn many_routers_together_load_an_endpoint_in_slow_start_in_proportion_to_its_capacity() {
    let set = settings();
    let mut hosts = fleet(&set);
    for h in &mut hosts {
        for _ in 0..6 {
            one(h, SESSION);
        }
        let mut e = entry("c", false);
        e.started = h.now;
        h.handle(changed(e));
    }
    // Each router sends one read in two seconds; all together 75 a second, windows of the rule's length.
    for second in 0..8 {
        let mut got = BTreeMap::new();
        for (i, h) in hosts.iter_mut().enumerate() {
            if i % 2 == second % 2 {
                *got.entry(one(h, SESSION).unwrap()).or_insert(0.0) += 1.0;
            }
            h.advance(1000 * MS);
        }
        let (cold, warm) = (got.get("c").copied().unwrap_or(0.0), got["b"]);
        let share = 0.2 + 0.8 * second as f64 / 10.0;
        assert!(
            cold <= 3.0 * share * warm,
            "second {second}: {cold} against {warm}"
        );
        assert!(cold > 0.0, "second {second}: left idle");
    }
}

#[test]
fn retries_and_position_refreshes_do_not_load_an_endpoint_in_slow_start() {
    let mut to_cold = 0;
    for mut h in fleet(&settings()) {
        h.warm_up();
        let mut e = entry("c", false);
        e.started = h.now;
        h.handle(changed(e));
        h.advance(400 * MS);
        let (_, out) = h.request(WRITE);
        to_cold += u32::from(sent_to(&out) == Some("c"));
        h.serve(SESSION, h.now);
        let (id, out) = h.request(SESSION);
        if sent_to(&out) == Some("b") {
            let out = h.end_attempt(
                id,
                "b",
                0,
                AttemptOutcome::ConnectFailed,
                ReplicationStatus::default(),
            );
            to_cold += u32::from(sent_to(&out) == Some("c"));
        }
    }
    assert_eq!(to_cold, 0);
}

#[test]
fn returning_endpoint_whose_position_stood_still_is_in_slow_start() {
    // With its log still: most routers keep from it. With a fresh one: a full connection table, no restart.
    let mut used = [0, 0];
    for (fresh, used) in used.iter_mut().enumerate() {
        for mut h in fleet(&settings()) {
            h.warm_up();
            let old = h.now;
            h.advance(400 * MS);
            let mut back = false;
            for _ in 0..200 {
                let (id, out) = h.request(SESSION);
                let to = sent_to(&out).unwrap().to_string();
                if to != "b" {
                    h.end_attempt(id, &to, 0, AttemptOutcome::Served, replication(&h, &to));
                } else if h.now < old + 3000 * MS {
                    let out = h.end_attempt(
                        id,
                        "b",
                        0,
                        AttemptOutcome::ConnectFailed,
                        ReplicationStatus::default(),
                    );
                    let to = sent_to(&out).unwrap().to_string();
                    h.end_attempt(id, &to, 1, AttemptOutcome::Served, replication(&h, &to));
                } else {
                    let at = if fresh == 1 { h.now } else { old };
                    h.end_attempt(id, "b", 0, AttemptOutcome::Served, replica_status(at));
                    back = true;
                    break;
                }
                h.advance(100 * MS);
            }
            assert!(back, "never tried again");
            for _ in 0..2 {
                *used += u32::from(one(&mut h, SESSION).as_deref() == Some("b"));
            }
        }
    }
    assert!(
        used[0] * 2 < used[1],
        "cold {}, only unreachable {}",
        used[0],
        used[1]
    );
}

#[test]
fn lost_responses_do_not_count_as_load() {
    // One answer in four of every replica is lost, its work done; the others come in time.
    let mut refusals = 0;
    let mut sends = 0;
    for mut h in fleet(&settings()).into_iter().take(40) {
        let mut lost: Vec<(Timestamp, RequestId, EndpointId)> = Vec::new();
        for i in 0..80 {
            if lost.first().is_some_and(|l| l.0 + 2000 * MS <= h.now) {
                let (at, request, endpoint) = lost.remove(0);
                let (replication, report) =
                    (ReplicationStatus::default(), ReplicationStatus::default());
                let (attempt, outcome, latency) = (0, AttemptOutcome::TimedOut, h.now - at);
                let closed = false;
                let o = AttemptEnded {
                    request,
                    endpoint,
                    attempt,
                    outcome,
                    replication,
                    report,
                    latency,
                    is_request_complete: closed,
                };
                h.handle(Event::AttemptEnded(o));
            }
            let (id, out) = h.request(SESSION);
            refusals += u32::from(is_rejected(&out));
            if let Some(to) = sent_to(&out).map(str::to_string) {
                if i % 4 == 3 {
                    lost.push((h.now, id, Arc::from(&*to)));
                } else {
                    h.end_attempt(id, &to, 0, AttemptOutcome::Served, replication(&h, &to));
                    sends += 1;
                }
            }
            h.advance(250 * MS);
        }
    }
    assert!(refusals * 12 < sends, "{refusals} refusals, {sends} served");
}

#[test]
fn errors_of_one_endpoint_do_not_count_as_load_of_others() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let mut refusals = 0;
    for i in 0..60 {
        let class = if i % 3 == 0 { KEYED } else { SESSION };
        let (id, out) = h.request(class);
        let of_it = |a: &&Action| matches!(a, Action::Reject { request, .. } if *request == id);
        refusals += out.iter().filter(of_it).count();
        if let Some(to) = sent_to(&out).map(str::to_string) {
            let outcome = if class == KEYED {
                AttemptOutcome::Error
            } else {
                AttemptOutcome::Served
            };
            let out = h.end_attempt(id, &to, 0, outcome, replication(&h, &to));
            if sent_to(&out).is_some() {
                h.end_attempt(id, "a", 1, AttemptOutcome::Served, replication(&h, "a"));
            }
        }
        h.advance(200 * MS);
    }
    assert_eq!(refusals, 0);
}

#[test]
fn removed_endpoint_still_serves_where_only_draining_binds() {
    for binds in [true, false] {
        let mut set = settings();
        set.rules.allows_unlisted_endpoints = !binds;
        let mut h = TestRouter::new(set);
        h.warm_up();
        let mut gone = entry("b", false);
        gone.state = EndpointState::Removed;
        h.handle(changed(gone));
        h.handle(Event::List {
            kind: ListKind::Full,
            entries: vec![entry("a", true), entry("c", false)],
        });
        h.advance(1100 * MS);
        let used = (0..6).filter(|_| h.serve(SESSION, h.now) == "b").count();
        assert_eq!(used > 0, !binds, "binds: {binds}");
    }
}

#[test]
fn endpoint_that_never_responds_gets_rare_recovery_probes_and_no_health_checks() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    h.handle(changed(entry("ghost", false)));
    let (mut tries, mut probes) = (0, 0);
    for _ in 0..600 {
        let (id, mut out) = h.request(SESSION);
        for n in 0.. {
            let Some(to) = sent_to(&out).map(str::to_string) else {
                break;
            };
            if to != "ghost" {
                h.end_attempt(id, &to, n, AttemptOutcome::Served, replication(&h, &to));
                break;
            }
            tries += 1;
            out = h.end_attempt(
                id,
                &to,
                n,
                AttemptOutcome::ConnectFailed,
                ReplicationStatus::default(),
            );
        }
        let waited = h.advance(100 * MS);
        probes += waited
            .iter()
            .filter(|a| matches!(a, Action::CheckHealth { .. }))
            .count();
    }
    assert!(
        tries < 25 && probes == 0,
        "{tries} tries, {probes} probes in a minute"
    );
}

#[test]
fn endpoint_behind_a_bad_link_is_excluded_by_its_own_router_only() {
    let mut used = [0, 0];
    for (cut, used) in [true, false].into_iter().zip(&mut used) {
        let mut h = TestRouter::with_seed(settings(), 3 + u64::from(cut));
        h.warm_up();
        for _ in 0..120 {
            let (id, out) = h.request(SESSION);
            let to = sent_to(&out).unwrap().to_string();
            *used += u32::from(to == "b");
            if !(cut && to == "b") {
                h.end_attempt(id, &to, 0, AttemptOutcome::Served, replication(&h, &to));
            }
            h.advance(100 * MS);
        }
    }
    assert!(used[0] * 3 < used[1] && used[0] > 0, "{used:?}");
}

#[test]
fn unusual_lists_and_positions_have_a_defined_meaning() {
    let mut h = TestRouter::new(settings());
    h.warm_up();
    // A known endpoint under another replica set stays where it was; a start in the future is a start now.
    let mut moved = entry("b", false);
    (moved.replica_set, moved.started) = (9, h.now + 60_000 * MS);
    h.handle(changed(moved));
    let (_, out) = {
        let id = h.next_request;
        h.next_request += 1;
        let (session, since_write, tenant, work) = (Some(Arc::from("s")), None, None, None);
        let (class, replica_set, is_retry, time_left) = (SESSION, 9, false, 500 * MS);
        let req = Request {
            id,
            class,
            replica_set,
            session,
            since_write,
            tenant,
            expected_execution_time: work,
            is_retry,
            time_left,
        };
        (id, h.handle(Event::Request(req)))
    };
    assert!(is_rejected(&out), "replica set 9 has no endpoints: {out:?}");
    h.handle(Event::List {
        kind: ListKind::Changes,
        entries: Vec::new(),
    });
    // Positions never go back, and one ahead of the clock must not make a replica fresh for ever.
    let (id, out) = h.request(SESSION);
    let to = sent_to(&out).unwrap().to_string();
    h.end_attempt(
        id,
        &to,
        0,
        AttemptOutcome::Served,
        replica_status(h.now - 5000 * MS),
    );
    let ahead = h.now + 3_600_000 * MS;
    let (id, out) = h.request(SESSION);
    let to = sent_to(&out).unwrap().to_string();
    h.end_attempt(id, &to, 0, AttemptOutcome::Served, replica_status(ahead));
    h.advance(2000 * MS);
    let (_, out) = h.request(BOUNDED);
    assert_eq!(
        sent_to(&out),
        Some("a"),
        "nothing is known of the replicas by now"
    );
    let mut set = settings();
    set.limits.max_attempts = 0;
    assert!(Balancer::new(1, set).is_err());
}

#[test]
fn writes_rejected_by_a_primary_in_slow_start_are_not_retried_forever() {
    let (mut writes, mut sends) = (0, 0);
    for mut h in fleet(&settings()) {
        h.warm_up();
        let mut e = entry("a", true);
        e.started = h.now - 5000 * MS;
        h.handle(changed(e));
        let (id, mut out) = h.request(WRITE);
        writes += 1;
        for n in 0..6 {
            let to_it = |a: &Action| matches!(a, Action::Send { request, .. } if *request == id);
            if out.iter().any(to_it) {
                sends += 1;
                out = h.end_attempt(
                    id,
                    "a",
                    n,
                    AttemptOutcome::Overloaded,
                    primary_status(h.now),
                );
            }
            out.extend(h.advance(300 * MS));
        }
    }
    assert!(sends <= 2 * writes, "{sends} sends of {writes} writes");
    assert!(sends > writes / 2, "queued without need");
}

/// A hundred routers on a list's service that serves one call in 25 ms, as a slow one does, and ends one that has
/// waited 2 s in its queue. Calls that come together all wait too long, and repeated at once do so for ever.
#[test]
fn hundred_routers_get_the_list_from_a_slow_discovery_service() {
    let mut set = settings();
    (set.is_subscription_required, set.router_count) = (true, 100);
    for seed in 0..3 {
        let mut hosts: Vec<TestRouter> = (0..100)
            .map(|i| TestRouter::with_seed(set.clone(), seed * 1000 + i))
            .collect();
        let mut queue: std::collections::VecDeque<(u64, usize)> = Default::default();
        let (mut told, mut calls, mut in_vain, mut rests) = ([false; 100], 0, 0, 0);
        for ms in 0..12_000 {
            // At 6 s the service goes down for a moment: every watch breaks in the same instant.
            if ms == 6000 {
                assert!(
                    told.iter().all(|t| *t),
                    "seed {seed}: {in_vain} of {calls} calls in vain"
                );
                told = [false; 100];
                queue.clear();
                for h in &mut hosts {
                    h.handle(Event::List {
                        kind: ListKind::Failed,
                        entries: Vec::new(),
                    });
                }
            }
            for (i, h) in hosts.iter_mut().enumerate() {
                for _ in h.advance(MS).iter().filter(|a| **a == Action::Subscribe) {
                    calls += 1;
                    if queue.len() < 76 {
                        queue.push_back((ms, i));
                    } else {
                        in_vain += 1;
                        h.handle(Event::List {
                            kind: ListKind::Failed,
                            entries: Vec::new(),
                        });
                    }
                }
            }
            rests += 1;
            if rests >= 25 && !queue.is_empty() {
                rests = 0;
                let (since, i) = queue.pop_front().unwrap();
                if ms - since > 2000 {
                    in_vain += 1;
                    hosts[i].handle(Event::List {
                        kind: ListKind::Failed,
                        entries: Vec::new(),
                    });
                } else {
                    told[i] = true;
                    hosts[i].handle(Event::List {
                        kind: ListKind::Changes,
                        entries: Vec::new(),
                    });
                }
            }
        }
        assert!(
            told.iter().all(|t| *t),
            "seed {seed}: {in_vain} of {calls} calls in vain"
        );
        assert!(calls < 250, "seed {seed}: {calls} calls for 200 answers");
    }
}

/// With little traffic the next write may be seconds away: a read that must be current takes part in primary discovery,
/// but only where endpoints reject what they are behind for.
#[test]
fn strong_read_takes_part_in_primary_discovery_where_endpoints_reject_stale_reads() {
    for stale_reads in [StaleReadPolicy::Reject, StaleReadPolicy::Serve] {
        let mut set = settings();
        (set.stale_reads, set.list_role) = (stale_reads, ListRole::None);
        for seed in 0..20 {
            let mut h = TestRouter::with_seed(set.clone(), seed);
            let (id, mut out) = h.request(STRONG);
            if stale_reads == StaleReadPolicy::Serve {
                assert_eq!(
                    sent_to(&out),
                    None,
                    "seed {seed}: might be answered from old data"
                );
                continue;
            }
            let mut asked = Vec::new();
            while let Some(to) = sent_to(&out).map(str::to_string) {
                let (outcome, s) = if to == "a" {
                    (AttemptOutcome::Served, primary_status(h.now))
                } else {
                    (AttemptOutcome::Misrouted, replica_status(h.now))
                };
                let n = asked.len() as u32;
                asked.push(to.clone());
                out = h.end_attempt(id, &to, n, outcome, s);
            }
            assert_eq!(
                asked.last().map(String::as_str),
                Some("a"),
                "seed {seed}: {asked:?}"
            );
            assert!(
                asked.len() <= 3,
                "seed {seed}: each is asked once: {asked:?}"
            );
        }
    }
}
