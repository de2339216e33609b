//! Early rejection: too little time left, overload, or no eligible endpoint.

use crate::common::*;
use reelrill_routing::*;

/// Guards against sending a request whose response would come after its deadline in any case.
#[test]
fn request_with_less_time_left_than_a_tick_is_rejected_at_once() {
    let mut router = TestRouter::new(settings());
    let request = Request {
        id: 9,
        class: BOUNDED,
        replica_set: 1,
        session: None,
        since_write: None,
        tenant: None,
        expected_execution_time: None,
        is_retry: false,
        time_left: 3 * MS,
    };
    let actions = router.handle(Event::Request(request));
    assert!(is_rejected(&actions));
}

/// Guards against queueing under overload until deadlines pass: 400 requests in 0.8 s get no
/// response, so a part of them must be rejected at once, while their clients can still retry.
#[test]
fn overload_is_shed_early_with_retry_advice() {
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let mut rejected = 0;
    for _ in 0..400 {
        for action in router.request(SESSION).1 {
            if let Action::Reject {
                reason,
                retry_after,
                ..
            } = action
            {
                assert_eq!(
                    (reason, retry_after.is_some()),
                    (RejectReason::LoadShed, true)
                );
                rejected += 1;
            }
        }
        router.advance(2 * MS);
    }
    assert!(rejected > 20, "{rejected} of 400 rejected");
}

/// Guards against load shedding on priors alone: a router without any samples must send requests.
#[test]
fn new_router_without_samples_rejects_nothing() {
    let mut router = TestRouter::new(settings());
    for class in [BOUNDED, STRONG, SESSION, WRITE] {
        assert!(!is_rejected(&router.request(class).1));
    }
}

/// Guards against a replica set that stays unavailable longer than necessary after all its
/// endpoints were unreachable: a request that can't be sent within half of its time is rejected at
/// once, an endpoint is tried again soon, and one that the list shows as restarted immediately.
#[test]
fn unreachable_replica_set_is_rejected_early_and_recovers_soon() {
    let mut router = TestRouter::new(settings());
    (0..4).for_each(|_| router.warm_up());
    let mut attempts = std::collections::HashMap::new();
    // No endpoint is reachable: every attempt fails to connect at once.
    let mut fail_connects = |router: &mut TestRouter, mut actions: Vec<Action>| {
        while let Some(action) = actions.pop() {
            let Action::Send {
                request, endpoint, ..
            } = action
            else {
                continue;
            };
            let count = attempts.entry(request).or_insert(0);
            *count += 1;
            actions.extend(router.end_attempt(
                request,
                &endpoint,
                *count - 1,
                AttemptOutcome::ConnectFailed,
                ReplicationStatus::default(),
            ));
        }
    };
    for _ in 0..200 {
        let (_, actions) = router.request(SESSION);
        fail_connects(&mut router, actions);
        let actions = router.advance(50 * MS);
        fail_connects(&mut router, actions);
    }
    let request_short = |router: &mut TestRouter| {
        let (class, id, time_left) = (SESSION, router.next_request, 400 * MS);
        router.next_request += 1;
        let (session, since_write, tenant, expected_execution_time) = (None, None, None, None);
        let (replica_set, is_retry) = (1, false);
        let request = Request {
            id,
            class,
            replica_set,
            session,
            since_write,
            tenant,
            expected_execution_time,
            is_retry,
            time_left,
        };
        router.handle(Event::Request(request))
    };
    for _ in 0..2 {
        let actions = router.advance(8000 * MS);
        fail_connects(&mut router, actions);
    }
    let (_, actions) = router.request(SESSION);
    fail_connects(&mut router, actions);
    assert!(
        is_rejected(&request_short(&mut router)),
        "no endpoint is expected within 200 ms"
    );
    let mut restarted = entry("b", false);
    restarted.started = router.now - 10_000 * MS;
    router.handle(Event::List {
        kind: ListKind::Changes,
        entries: vec![restarted],
    });
    let mut endpoints = Vec::new();
    for _ in 0..12 {
        endpoints.extend(sent_to(&request_short(&mut router)).map(str::to_string));
    }
    assert!(
        endpoints.iter().all(|endpoint| endpoint == "b") && !endpoints.is_empty(),
        "only the restarted endpoint, in slow start, gets requests: {endpoints:?}"
    );
    router.advance(600 * MS);
    let is_other_tried = (0..12)
        .filter_map(|_| sent_to(&request_short(&mut router)).map(str::to_string))
        .any(|endpoint| endpoint != "b");
    assert!(
        is_other_tried,
        "the last ejection lasts at most 1.5 times the longest latency objective"
    );
}

/// Guards the reasons of rejections and failures, which the router counts and reports: each is
/// provoked once and must come with its own reason.
#[test]
fn rejections_and_failures_state_their_reason() {
    let reason = |actions: &[Action], id: RequestId| {
        actions.iter().find_map(|action| match action {
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
    let mut router = TestRouter::new(settings());
    router.warm_up();
    let (id, actions) = router.request(99);
    assert_eq!(reason(&actions, id), Some(RejectReason::UnknownClass));
    let (id, _) = router.request(KEYED);
    let actions = router.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::TimedOut,
        ReplicationStatus::default(),
    );
    assert_eq!(reason(&actions, id), Some(RejectReason::AttemptTimedOut));
    let (id, _) = router.request(WRITE);
    let actions = router.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::ConnectionReset,
        ReplicationStatus::default(),
    );
    assert_eq!(reason(&actions, id), Some(RejectReason::NotRetryable));
    let (id, actions) = router.request(SESSION);
    let endpoint = sent_to(&actions).unwrap().to_string();
    let actions = router.end_attempt(
        id,
        &endpoint,
        0,
        AttemptOutcome::InvalidRequest,
        ReplicationStatus::default(),
    );
    assert_eq!(reason(&actions, id), Some(RejectReason::InvalidRequest));
    // The retry budget of a router with few requests covers one retry; the second exceeds it.
    let (id, actions) = router.request(SESSION);
    let mut actions = actions;
    let mut last_reason = None;
    for attempt in 0.. {
        let Some(endpoint) = sent_to(&actions).map(str::to_string) else {
            break;
        };
        actions = router.end_attempt(
            id,
            &endpoint,
            attempt,
            AttemptOutcome::ConnectionReset,
            ReplicationStatus::default(),
        );
        last_reason = reason(&actions, id).or(last_reason);
    }
    assert_eq!(last_reason, Some(RejectReason::RetryBudgetExhausted));
    // The request's time was over before it could be sent.
    let (id, actions) = router.request(SESSION);
    let endpoint = sent_to(&actions).unwrap().to_string();
    let actions = router.end_attempt(
        id,
        &endpoint,
        0,
        AttemptOutcome::Abandoned,
        ReplicationStatus::default(),
    );
    assert_eq!(reason(&actions, id), Some(RejectReason::DeadlineTooClose));
    // The list removes all endpoints.
    let mut removed = Vec::new();
    for name in ["a", "b", "c"] {
        let mut entry = entry(name, name == "a");
        entry.state = EndpointState::Removed;
        removed.push(entry);
    }
    router.handle(Event::List {
        kind: ListKind::Changes,
        entries: removed,
    });
    let (id, actions) = router.request(SESSION);
    assert_eq!(reason(&actions, id), Some(RejectReason::NoEligibleEndpoint));
}
