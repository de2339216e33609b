//! Tests of tiers of many routers with few requests each. The routers share no state: their joint
//! load on an endpoint follows from decisions that each makes from few observations of its own.

mod common;
use common::*;
use reelrill_routing::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of routers of a tier.
const ROUTERS: u64 = 150;

/// Creates the routers of a tier, each with its own seed.
fn fleet(settings: &Settings) -> Vec<TestRouter> {
    (0..ROUTERS)
        .map(|seed| TestRouter::with_seed(settings.clone(), seed * 7919 + 1))
        .collect()
}

/// Returns the replication status of an endpoint without lag; `a` is the primary.
fn current_status(router: &TestRouter, endpoint: &str) -> ReplicationStatus {
    if endpoint == "a" {
        primary_status(router.now)
    } else {
        replica_status(router.now)
    }
}

/// Passes one request to the router and serves it at once; returns the endpoint.
fn serve_one(router: &mut TestRouter, class: u32) -> Option<String> {
    let (id, actions) = router.request(class);
    let endpoint = sent_to(&actions)?.to_string();
    router.end_attempt(
        id,
        &endpoint,
        0,
        AttemptOutcome::Served,
        current_status(router, &endpoint),
    );
    Some(endpoint)
}

fn list_change(entry: EndpointEntry) -> Event {
    Event::List {
        kind: ListKind::Changes,
        entries: vec![entry],
    }
}

/// Guards one endpoint against the first reads of all routers at once, after their restart or when
/// an endpoint is new to all of them: each router must start its rotation at random.
#[test]
fn many_new_routers_do_not_all_select_the_same_endpoint_first() {
    let mut reads_by_endpoint = BTreeMap::new();
    let mut routers = fleet(&settings());
    for router in &mut routers {
        *reads_by_endpoint
            .entry(serve_one(router, SESSION).unwrap())
            .or_insert(0) += 1;
    }
    assert!(
        reads_by_endpoint.values().all(|reads| *reads > ROUTERS / 4),
        "first reads after a restart: {reads_by_endpoint:?}"
    );
    let mut reads_at_new = 0;
    for router in &mut routers {
        router.handle(list_change(entry("d", false)));
        reads_at_new += u64::from(serve_one(router, SESSION).unwrap() == "d");
    }
    assert!(
        reads_at_new < ROUTERS / 2,
        "{reads_at_new} of {ROUTERS} routers select the new endpoint first"
    );
}

/// Guards a starting endpoint against an overload by many routers, none of which knows the load of
/// the others, and against getting no reads at all.
#[test]
fn many_routers_together_load_an_endpoint_in_slow_start_in_proportion_to_its_capacity() {
    let settings = settings();
    let mut routers = fleet(&settings);
    for router in &mut routers {
        for _ in 0..6 {
            serve_one(router, SESSION);
        }
        let mut restarted = entry("c", false);
        restarted.started = router.now;
        router.handle(list_change(restarted));
    }
    // Each router sends one read every 2 s: all together 75 reads per window of the overload rule.
    for second in 0..8 {
        let mut reads = BTreeMap::new();
        for (index, router) in routers.iter_mut().enumerate() {
            if index % 2 == second % 2 {
                *reads
                    .entry(serve_one(router, SESSION).unwrap())
                    .or_insert(0.0) += 1.0;
            }
            router.advance(1000 * MS);
        }
        let (starting, other) = (reads.get("c").copied().unwrap_or(0.0), reads["b"]);
        let capacity_fraction = 0.2 + 0.8 * second as f64 / 10.0;
        assert!(
            starting <= 3.0 * capacity_fraction * other,
            "second {second}: {starting} reads at the starting endpoint, {other} at the other"
        );
        assert!(
            starting > 0.0,
            "second {second}: the starting endpoint gets no reads"
        );
    }
}

/// Guards a starting endpoint against attempts beyond its fraction of new reads: retries from other
/// endpoints and position refreshes would accumulate there.
#[test]
fn retries_and_position_refreshes_do_not_load_an_endpoint_in_slow_start() {
    let mut attempts_at_starting = 0;
    for mut router in fleet(&settings()) {
        router.warm_up();
        let mut restarted = entry("c", false);
        restarted.started = router.now;
        router.handle(list_change(restarted));
        router.advance(400 * MS);
        let (_, actions) = router.request(WRITE);
        attempts_at_starting += u32::from(sent_to(&actions) == Some("c"));
        router.serve(SESSION, router.now);
        let (id, actions) = router.request(SESSION);
        if sent_to(&actions) == Some("b") {
            let actions = router.end_attempt(
                id,
                "b",
                0,
                AttemptOutcome::ConnectFailed,
                ReplicationStatus::default(),
            );
            attempts_at_starting += u32::from(sent_to(&actions) == Some("c"));
        }
    }
    assert_eq!(attempts_at_starting, 0);
}

/// Guards an endpoint that has restarted against an overload in the seconds before the list shows
/// its restart: if its applied position did not advance while it was unreachable, it is in slow
/// start.
#[test]
fn returning_endpoint_whose_position_has_not_advanced_is_in_slow_start() {
    // Case 0: its position is still that before the failure, so it has restarted. Case 1: its
    // position is current, so its process was only unreachable.
    let mut reads = [0, 0];
    for (case, reads) in reads.iter_mut().enumerate() {
        for mut router in fleet(&settings()) {
            router.warm_up();
            let failed_at = router.now;
            router.advance(400 * MS);
            let mut has_returned = false;
            for _ in 0..200 {
                let (id, actions) = router.request(SESSION);
                let endpoint = sent_to(&actions).unwrap().to_string();
                if endpoint != "b" {
                    router.end_attempt(
                        id,
                        &endpoint,
                        0,
                        AttemptOutcome::Served,
                        current_status(&router, &endpoint),
                    );
                } else if router.now < failed_at + 3000 * MS {
                    let actions = router.end_attempt(
                        id,
                        "b",
                        0,
                        AttemptOutcome::ConnectFailed,
                        ReplicationStatus::default(),
                    );
                    let endpoint = sent_to(&actions).unwrap().to_string();
                    router.end_attempt(
                        id,
                        &endpoint,
                        1,
                        AttemptOutcome::Served,
                        current_status(&router, &endpoint),
                    );
                } else {
                    let position = if case == 1 { router.now } else { failed_at };
                    router.end_attempt(
                        id,
                        "b",
                        0,
                        AttemptOutcome::Served,
                        replica_status(position),
                    );
                    has_returned = true;
                    break;
                }
                router.advance(100 * MS);
            }
            assert!(has_returned, "the endpoint is never tried again");
            for _ in 0..2 {
                *reads += u32::from(serve_one(&mut router, SESSION).as_deref() == Some("b"));
            }
        }
    }
    assert!(
        reads[0] * 2 < reads[1],
        "reads after a restart: {}, after it was only unreachable: {}",
        reads[0],
        reads[1]
    );
}

/// Guards against load shedding because of responses lost in the network: attempts without a
/// response must not be taken for a queue at the endpoints, whose other responses come in time.
#[test]
fn lost_responses_do_not_count_as_load() {
    // Every fourth attempt of a router is executed, but its response is lost: it times out after
    // 2 s.
    let mut rejections = 0;
    let mut served = 0;
    for mut router in fleet(&settings()).into_iter().take(40) {
        let mut lost_responses: Vec<(Timestamp, RequestId, EndpointId)> = Vec::new();
        for step in 0..80 {
            if lost_responses
                .first()
                .is_some_and(|lost| lost.0 + 2000 * MS <= router.now)
            {
                let (sent_at, request, endpoint) = lost_responses.remove(0);
                let (replication, report) =
                    (ReplicationStatus::default(), ReplicationStatus::default());
                let (attempt, outcome, latency) =
                    (0, AttemptOutcome::TimedOut, router.now - sent_at);
                let is_complete = false;
                let ended = AttemptEnded {
                    request,
                    endpoint,
                    attempt,
                    outcome,
                    replication,
                    report,
                    latency,
                    is_request_complete: is_complete,
                };
                router.handle(Event::AttemptEnded(ended));
            }
            let (id, actions) = router.request(SESSION);
            rejections += u32::from(is_rejected(&actions));
            if let Some(endpoint) = sent_to(&actions).map(str::to_string) {
                if step % 4 == 3 {
                    lost_responses.push((router.now, id, Arc::from(&*endpoint)));
                } else {
                    router.end_attempt(
                        id,
                        &endpoint,
                        0,
                        AttemptOutcome::Served,
                        current_status(&router, &endpoint),
                    );
                    served += 1;
                }
            }
            router.advance(250 * MS);
        }
    }
    assert!(
        rejections * 12 < served,
        "{rejections} rejected, {served} served"
    );
}

/// Guards against load shedding at healthy endpoints: the primary returns errors for writes, which
/// must not count as load of the replicas.
#[test]
fn errors_of_one_endpoint_do_not_count_as_load_of_others() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let mut rejections = 0;
    for step in 0..60 {
        let class = if step % 3 == 0 { KEYED } else { SESSION };
        let (id, actions) = router.request(class);
        let is_rejection =
            |action: &&Action| matches!(action, Action::Reject { request, .. } if *request == id);
        rejections += actions.iter().filter(is_rejection).count();
        if let Some(endpoint) = sent_to(&actions).map(str::to_string) {
            let outcome = if class == KEYED {
                AttemptOutcome::Error
            } else {
                AttemptOutcome::Served
            };
            let actions = router.end_attempt(
                id,
                &endpoint,
                0,
                outcome,
                current_status(&router, &endpoint),
            );
            if sent_to(&actions).is_some() {
                router.end_attempt(
                    id,
                    "a",
                    1,
                    AttemptOutcome::Served,
                    current_status(&router, "a"),
                );
            }
        }
        router.advance(200 * MS);
    }
    assert_eq!(rejections, 0);
}

/// Guards against reads at an endpoint that has left the list, and, where the rules allow unlisted
/// endpoints, against giving up its capacity.
#[test]
fn removed_endpoint_gets_reads_only_where_unlisted_endpoints_are_allowed() {
    for is_removal_enforced in [true, false] {
        let mut settings = settings();
        settings.rules.allows_unlisted_endpoints = !is_removal_enforced;
        let mut router = TestRouter::new(settings);
        router.warm_up();
        let mut removed = entry("b", false);
        removed.state = EndpointState::Removed;
        router.handle(list_change(removed));
        router.handle(Event::List {
            kind: ListKind::Full,
            entries: vec![entry("a", true), entry("c", false)],
        });
        router.advance(1100 * MS);
        let reads = (0..6)
            .filter(|_| router.serve(SESSION, router.now) == "b")
            .count();
        assert_eq!(
            reads > 0,
            !is_removal_enforced,
            "removal enforced: {is_removal_enforced}"
        );
    }
}

/// Guards requests against attempts at a listed endpoint that is never reachable. Health checks are
/// no substitute: they detect neither a full connection table nor a cut link.
#[test]
fn endpoint_that_is_never_reachable_gets_few_attempts_and_no_health_checks() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    router.handle(list_change(entry("unreachable", false)));
    let (mut attempts, mut health_checks) = (0, 0);
    for _ in 0..600 {
        let (id, mut actions) = router.request(SESSION);
        for number in 0.. {
            let Some(endpoint) = sent_to(&actions).map(str::to_string) else {
                break;
            };
            if endpoint != "unreachable" {
                router.end_attempt(
                    id,
                    &endpoint,
                    number,
                    AttemptOutcome::Served,
                    current_status(&router, &endpoint),
                );
                break;
            }
            attempts += 1;
            actions = router.end_attempt(
                id,
                &endpoint,
                number,
                AttemptOutcome::ConnectFailed,
                ReplicationStatus::default(),
            );
        }
        let actions = router.advance(100 * MS);
        health_checks += actions
            .iter()
            .filter(|action| matches!(action, Action::CheckHealth { .. }))
            .count();
    }
    assert!(
        attempts < 25 && health_checks == 0,
        "{attempts} attempts, {health_checks} health checks in a minute"
    );
}

/// Guards the reads of one router against an endpoint behind a cut link, where attempts get no
/// response: this router sends it few reads, but still some. Other routers use it as before.
#[test]
fn endpoint_behind_a_cut_link_is_avoided_only_by_the_affected_router() {
    let mut reads = [0, 0];
    for (is_link_cut, reads) in [true, false].into_iter().zip(&mut reads) {
        let mut router = TestRouter::with_seed(settings(), 3 + u64::from(is_link_cut));
        router.warm_up();
        for _ in 0..120 {
            let (id, actions) = router.request(SESSION);
            let endpoint = sent_to(&actions).unwrap().to_string();
            *reads += u32::from(endpoint == "b");
            if !(is_link_cut && endpoint == "b") {
                router.end_attempt(
                    id,
                    &endpoint,
                    0,
                    AttemptOutcome::Served,
                    current_status(&router, &endpoint),
                );
            }
            router.advance(100 * MS);
        }
    }
    assert!(
        reads[0] * 3 < reads[1] && reads[0] > 0,
        "reads with a cut link and without: {reads:?}"
    );
}

/// Guards against lasting effects of list entries and positions that contradict earlier ones or the
/// clock, and against settings that allow no attempt.
#[test]
fn inconsistent_list_entries_positions_and_settings_have_no_lasting_effect() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    // A known endpoint stays in its replica set, whatever a later entry states. A start in the
    // future counts as a start now.
    let mut moved = entry("b", false);
    (moved.replica_set, moved.started) = (9, router.now + 60_000 * MS);
    router.handle(list_change(moved));
    let (_, actions) = {
        let id = router.next_request;
        router.next_request += 1;
        let (session, since_write, tenant, execution_time) =
            (Some(Arc::from("s")), None, None, None);
        let (class, replica_set, is_retry, time_left) = (SESSION, 9, false, 500 * MS);
        let request = Request {
            id,
            class,
            replica_set,
            session,
            since_write,
            tenant,
            expected_execution_time: execution_time,
            is_retry,
            time_left,
        };
        (id, router.handle(Event::Request(request)))
    };
    assert!(
        is_rejected(&actions),
        "replica set 9 has no endpoints: {actions:?}"
    );
    router.handle(Event::List {
        kind: ListKind::Changes,
        entries: Vec::new(),
    });
    // A known position never decreases, and one ahead of the clock must not make a replica fresh
    // for ever.
    let (id, actions) = router.request(SESSION);
    let endpoint = sent_to(&actions).unwrap().to_string();
    router.end_attempt(
        id,
        &endpoint,
        0,
        AttemptOutcome::Served,
        replica_status(router.now - 5000 * MS),
    );
    let future_position = router.now + 3_600_000 * MS;
    let (id, actions) = router.request(SESSION);
    let endpoint = sent_to(&actions).unwrap().to_string();
    router.end_attempt(
        id,
        &endpoint,
        0,
        AttemptOutcome::Served,
        replica_status(future_position),
    );
    router.advance(2000 * MS);
    let (_, actions) = router.request(BOUNDED);
    assert_eq!(
        sent_to(&actions),
        Some("a"),
        "no replica is known to be fresh enough"
    );
    let mut settings = settings();
    settings.limits.max_attempts = 0;
    assert!(Balancer::new(1, settings).is_err());
}

/// Guards a starting primary at capacity against retries of the writes that it rejects, which would
/// add to its load.
#[test]
fn writes_rejected_by_a_primary_in_slow_start_are_sent_twice_at_most_on_average() {
    let (mut writes, mut sends) = (0, 0);
    for mut router in fleet(&settings()) {
        router.warm_up();
        let mut restarted = entry("a", true);
        restarted.started = router.now - 5000 * MS;
        router.handle(list_change(restarted));
        let (id, mut actions) = router.request(WRITE);
        writes += 1;
        for attempt in 0..6 {
            let is_send =
                |action: &Action| matches!(action, Action::Send { request, .. } if *request == id);
            if actions.iter().any(is_send) {
                sends += 1;
                actions = router.end_attempt(
                    id,
                    "a",
                    attempt,
                    AttemptOutcome::Overloaded,
                    primary_status(router.now),
                );
            }
            actions.extend(router.advance(300 * MS));
        }
    }
    assert!(sends <= 2 * writes, "{sends} sends of {writes} writes");
    assert!(
        sends > writes / 2,
        "{sends} sends of {writes} writes: too many are queued"
    );
}

/// Guards against calls to a slow discovery service that all fail: it handles one call in 25 ms,
/// queues at most 76, and fails those that have waited for more than 2 s. If 100 routers called it
/// at the same time and repeated failed calls at once, most calls would fail for ever.
#[test]
fn hundred_routers_get_the_list_from_a_slow_discovery_service() {
    let mut settings = settings();
    (settings.is_subscription_required, settings.router_count) = (true, 100);
    for seed in 0..3 {
        let mut routers: Vec<TestRouter> = (0..100)
            .map(|index| TestRouter::with_seed(settings.clone(), seed * 1000 + index))
            .collect();
        let mut waiting_calls: std::collections::VecDeque<(u64, usize)> = Default::default();
        let (mut has_list, mut calls, mut failed_calls, mut ms_since_call) =
            ([false; 100], 0, 0, 0);
        for time_ms in 0..12_000 {
            // At 6 s the service restarts, which breaks all subscriptions at the same moment.
            if time_ms == 6000 {
                assert!(
                    has_list.iter().all(|has_list| *has_list),
                    "seed {seed}: a router has no list, {failed_calls} of {calls} calls failed"
                );
                has_list = [false; 100];
                waiting_calls.clear();
                for router in &mut routers {
                    router.handle(Event::List {
                        kind: ListKind::Failed,
                        entries: Vec::new(),
                    });
                }
            }
            for (index, router) in routers.iter_mut().enumerate() {
                for _ in router
                    .advance(MS)
                    .iter()
                    .filter(|action| **action == Action::Subscribe)
                {
                    calls += 1;
                    if waiting_calls.len() < 76 {
                        waiting_calls.push_back((time_ms, index));
                    } else {
                        failed_calls += 1;
                        router.handle(Event::List {
                            kind: ListKind::Failed,
                            entries: Vec::new(),
                        });
                    }
                }
            }
            ms_since_call += 1;
            if ms_since_call >= 25 && !waiting_calls.is_empty() {
                ms_since_call = 0;
                let (called_at, index) = waiting_calls.pop_front().unwrap();
                if time_ms - called_at > 2000 {
                    failed_calls += 1;
                    routers[index].handle(Event::List {
                        kind: ListKind::Failed,
                        entries: Vec::new(),
                    });
                } else {
                    has_list[index] = true;
                    routers[index].handle(Event::List {
                        kind: ListKind::Changes,
                        entries: Vec::new(),
                    });
                }
            }
        }
        assert!(
            has_list.iter().all(|has_list| *has_list),
            "seed {seed}: a router has no list, {failed_calls} of {calls} calls failed"
        );
        assert!(calls < 250, "seed {seed}: {calls} calls for 200 lists");
    }
}

/// Guards strongly consistent reads against waiting for the next write to discover the primary, for
/// seconds with little traffic. Where replicas serve stale reads, none may be sent to them instead.
#[test]
fn strong_read_takes_part_in_primary_discovery_where_endpoints_reject_stale_reads() {
    for stale_reads in [StaleReadPolicy::Reject, StaleReadPolicy::Serve] {
        let mut settings = settings();
        (settings.stale_reads, settings.list_role) = (stale_reads, ListRole::None);
        for seed in 0..20 {
            let mut router = TestRouter::with_seed(settings.clone(), seed);
            let (id, mut actions) = router.request(STRONG);
            if stale_reads == StaleReadPolicy::Serve {
                assert_eq!(
                    sent_to(&actions),
                    None,
                    "seed {seed}: the response could be stale"
                );
                continue;
            }
            let mut tried = Vec::new();
            while let Some(endpoint) = sent_to(&actions).map(str::to_string) {
                let (outcome, replication) = if endpoint == "a" {
                    (AttemptOutcome::Served, primary_status(router.now))
                } else {
                    (AttemptOutcome::Misrouted, replica_status(router.now))
                };
                let attempt = tried.len() as u32;
                tried.push(endpoint.clone());
                actions = router.end_attempt(id, &endpoint, attempt, outcome, replication);
            }
            assert_eq!(
                tried.last().map(String::as_str),
                Some("a"),
                "seed {seed}: {tried:?}"
            );
            assert!(
                tried.len() <= 3,
                "seed {seed}: each endpoint is tried once: {tried:?}"
            );
        }
    }
}
