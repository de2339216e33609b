//! A client's simple queries: what may start, and in what order answers go out.

use reelrill_pg_session::endpoint_query::{EndpointQuery, SimpleQuery};
use reelrill_pg_session::queue::{Output, QueueLimits, SimpleQueryQueue};
use reelrill_pg_session::request::ValidatedRequest;
use rstest::rstest;
use std::rc::Rc;

fn request(session: Option<&str>, is_write: bool) -> ValidatedRequest {
    ValidatedRequest {
        id: None,
        class: 0,
        replica_set: 1,
        session: session.map(Into::into),
        last_write_at: None,
        is_retry: false,
        timeout: 1,
        is_write,
    }
}

fn queue(requests: &[(Option<&str>, bool)]) -> SimpleQueryQueue<u32, &'static str> {
    let mut queue = SimpleQueryQueue::new(QueueLimits {
        queries: 100,
        bytes: 1000,
        running: 100,
    });
    for (at, (session, is_write)) in requests.iter().enumerate() {
        let query = Rc::new(EndpointQuery::Simple(SimpleQuery::new(Vec::new(), 0..0)));
        queue.push_request(request(*session, *is_write), query, at as u64, 10);
    }
    queue
}

fn started(queue: &mut SimpleQueryQueue<u32, &'static str>) -> Vec<u64> {
    std::iter::from_fn(|| queue.start_next().map(|s| s.number)).collect()
}

/// Guards the time of queries behind others: each starts as it comes, with the time at which it was read, and only
/// the answers keep their order.
#[test]
fn queries_start_as_they_come_and_are_answered_in_order() {
    let mut q = queue(&[(None, false), (None, false), (Some("a"), true)]);
    q.push_local_response("empty");
    let starts: Vec<(u64, u64)> =
        std::iter::from_fn(|| q.start_next().map(|s| (s.number, s.received_at))).collect();
    assert_eq!(starts, [(0, 0), (1, 1), (2, 2)]);
    q.finish(2, 12);
    q.finish(1, 11);
    assert_eq!(q.pop_output(|_| true), None);
    q.finish(0, 10);
    let said: Vec<_> = std::iter::from_fn(|| q.pop_output(|_| false)).collect();
    assert_eq!(
        said,
        [
            Output::Response(10),
            Output::Response(11),
            Output::Response(12)
        ]
    );
    assert!(!q.is_empty());
    assert_eq!(q.pop_output(|_| true), Some(Output::LocalResponse("empty")));
    assert!(q.is_empty());
}

/// Guards a session's own writes: what reads or writes it behind a write waits for that write, and a write for its
/// reads; others do not wait.
#[rstest]
#[case(&[(Some("a"), true), (Some("a"), false)], &[0])]
#[case(&[(Some("a"), false), (Some("a"), true)], &[0])]
#[case(&[(Some("a"), true), (Some("a"), true)], &[0])]
#[case(&[(Some("a"), false), (Some("a"), false)], &[0, 1])]
#[case(&[(Some("a"), true), (Some("b"), true), (None, false)], &[0, 1, 2])]
fn a_session_keeps_its_order(#[case] requests: &[(Option<&str>, bool)], #[case] first: &[u64]) {
    let mut q = queue(requests);
    assert_eq!(started(&mut q), first);
    q.finish(0, 0);
    let all: Vec<u64> = (first.len() as u64..requests.len() as u64).collect();
    assert_eq!(started(&mut q), all);
}

/// Guards the bounds: nothing more is read or started than they allow, and what is answered makes room.
#[test]
fn the_bounds_hold_and_answers_make_room() {
    let mut q: SimpleQueryQueue<u32, &str> = SimpleQueryQueue::new(QueueLimits {
        queries: 3,
        bytes: 100,
        running: 2,
    });
    let query = Rc::new(EndpointQuery::Simple(SimpleQuery::new(Vec::new(), 0..0)));
    for _ in 0..3 {
        assert!(!q.is_full());
        q.push_request(request(None, false), query.clone(), 0, 40);
    }
    assert!(q.is_full());
    assert_eq!(started(&mut q), [0, 1]);
    q.finish(0, 0);
    // A second answer, or one to what is not there, changes nothing.
    q.finish(0, 1);
    q.finish(99, 1);
    assert_eq!(started(&mut q), [2]);
    assert_eq!(q.pop_output(|_| true), Some(Output::Response(0)));
    assert!(!q.is_full());
}

/// Guards CancelRequest: it is about the first request without an answer, started or not.
#[test]
fn the_first_open_request_is_called_off() {
    let mut q = queue(&[(Some("a"), true), (Some("a"), true)]);
    assert_eq!(started(&mut q), [0]);
    q.finish(0, 0);
    assert_eq!(q.first_pending(), Some(1));
    q.finish(1, 1);
    assert_eq!((q.first_pending(), started(&mut q).len()), (None, 0));
}
