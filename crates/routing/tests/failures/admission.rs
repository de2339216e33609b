//! Early rejection: too little time, overload, no endpoint.

use crate::common::*;
use reelrill_routing::*;

#[test]
fn request_with_less_time_left_than_a_tick_is_rejected_at_once() {
    let mut h = TestRouter::new(settings());
    let req = Request {
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
    let out = h.handle(Event::Request(req));
    assert!(is_rejected(&out));
}

#[test]
fn overload_is_shed_early_with_retry_advice() {
    let mut h = TestRouter::new(settings());
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
        h.advance(2 * MS);
    }
    assert!(refused > 20, "{refused} of 400");
}

#[test]
fn new_router_rejects_nothing() {
    let mut h = TestRouter::new(settings());
    for class in [BOUNDED, STRONG, SESSION, WRITE] {
        assert!(!is_rejected(&h.request(class).1));
    }
}

/// Guards a replica set whose endpoints are all out of reach: what could not be sent in the first half of its time is
/// refused at once, an endpoint is tried again before long, and one that the list says has started again at once.
#[test]
fn unreachable_replica_set_is_rejected_early_and_recovers_soon() {
    let mut h = TestRouter::new(settings());
    (0..4).for_each(|_| h.warm_up());
    let mut sends = std::collections::HashMap::new();
    // No endpoint can be reached: whatever is sent comes back at once.
    let mut lose = |h: &mut TestRouter, mut out: Vec<Action>| {
        while let Some(action) = out.pop() {
            let Action::Send {
                request, endpoint, ..
            } = action
            else {
                continue;
            };
            let n = sends.entry(request).or_insert(0);
            *n += 1;
            out.extend(h.end_attempt(
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
        let out = h.advance(50 * MS);
        lose(&mut h, out);
    }
    let short = |h: &mut TestRouter| {
        let (class, id, time_left) = (SESSION, h.next_request, 400 * MS);
        h.next_request += 1;
        let (session, since_write, tenant, work) = (None, None, None, None);
        let (replica_set, is_retry) = (1, false);
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
        h.handle(Event::Request(req))
    };
    for _ in 0..2 {
        let out = h.advance(8000 * MS);
        lose(&mut h, out);
    }
    let (_, out) = h.request(SESSION);
    lose(&mut h, out);
    assert!(is_rejected(&short(&mut h)), "at once");
    let mut e = entry("b", false);
    e.started = h.now - 10_000 * MS;
    h.handle(Event::List {
        kind: ListKind::Changes,
        entries: vec![e],
    });
    let mut seen = Vec::new();
    for _ in 0..12 {
        seen.extend(sent_to(&short(&mut h)).map(str::to_string));
    }
    assert!(
        seen.iter().all(|m| m == "b") && !seen.is_empty(),
        "it has started again, and is in slow start: {seen:?}"
    );
    h.advance(600 * MS);
    let again = (0..12)
        .filter_map(|_| sent_to(&short(&mut h)).map(str::to_string))
        .any(|m| m != "b");
    assert!(
        again,
        "the last one is ejected for one and a half longest objectives at most"
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
    let mut h = TestRouter::new(settings());
    h.warm_up();
    let (id, out) = h.request(99);
    assert_eq!(reason(&out, id), Some(RejectReason::UnknownClass));
    let (id, _) = h.request(KEYED);
    let out = h.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::TimedOut,
        ReplicationStatus::default(),
    );
    assert_eq!(reason(&out, id), Some(RejectReason::AttemptTimedOut));
    let (id, _) = h.request(WRITE);
    let out = h.end_attempt(
        id,
        "a",
        0,
        AttemptOutcome::ConnectionReset,
        ReplicationStatus::default(),
    );
    assert_eq!(reason(&out, id), Some(RejectReason::NotRetryable));
    let (id, out) = h.request(SESSION);
    let to = sent_to(&out).unwrap().to_string();
    let out = h.end_attempt(
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
        let Some(to) = sent_to(&out).map(str::to_string) else {
            break;
        };
        out = h.end_attempt(
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
    let to = sent_to(&out).unwrap().to_string();
    let out = h.end_attempt(
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
    h.handle(Event::List {
        kind: ListKind::Changes,
        entries: gone,
    });
    let (id, out) = h.request(SESSION);
    assert_eq!(reason(&out, id), Some(RejectReason::NoEligibleEndpoint));
}
