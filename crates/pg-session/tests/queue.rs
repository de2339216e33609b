//! Tests of a client's queue of simple queries: which requests may start, and the order of responses.

use reelrill_pg_session::endpoint_query::{EndpointQuery, SimpleQuery};
use reelrill_pg_session::limits::Budget;
use reelrill_pg_session::queue::{Output, QueueLimits, SimpleQueryQueue};
use reelrill_pg_session::request::ValidatedRequest;
use rstest::rstest;
use std::rc::Rc;

/// Returns a request of a session, if any.
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

/// Returns an empty queue with these limits, and with enough memory.
fn new_queue(queries: usize, bytes: usize, running: usize) -> SimpleQueryQueue<u32, &'static str> {
    let limits = QueueLimits {
        queries,
        bytes,
        running,
        response_bytes: 1,
        small_bytes: 1,
    };
    SimpleQueryQueue::new(limits, Budget::new(usize::MAX))
}

/// Returns a queue of requests, each given by its session and whether it writes. The request at index n was received at
/// time n.
fn queue_of(requests: &[(Option<&str>, bool)]) -> SimpleQueryQueue<u32, &'static str> {
    let mut queue = new_queue(100, 1000, 100);
    for (index, (session, is_write)) in requests.iter().enumerate() {
        let query = Rc::new(EndpointQuery::Simple(SimpleQuery::new(Vec::new(), 0..0)));
        queue.push_request(request(*session, *is_write), query, index as u64, 10);
    }
    queue
}

/// Starts all requests that may start and returns their numbers.
fn start_all(queue: &mut SimpleQueryQueue<u32, &'static str>) -> Vec<u64> {
    std::iter::from_fn(|| queue.start_next().map(|request| request.number)).collect()
}

/// Guards against one query delaying the next: each must start when received, with its own time of receipt, and only
/// the responses are kept in order.
#[test]
fn queries_start_when_received_and_responses_are_in_order() {
    let mut queue = queue_of(&[(None, false), (None, false), (Some("a"), true)]);
    queue.push_local_response("empty", 0);
    let starts: Vec<(u64, u64)> = std::iter::from_fn(|| {
        queue
            .start_next()
            .map(|request| (request.number, request.received_at))
    })
    .collect();
    assert_eq!(starts, [(0, 0), (1, 1), (2, 2)]);
    queue.finish(2, 12, 0);
    queue.finish(1, 11, 0);
    assert_eq!(queue.pop_output(|_| true), None);
    queue.finish(0, 10, 0);
    let responses: Vec<_> = std::iter::from_fn(|| queue.pop_output(|_| false)).collect();
    assert_eq!(
        responses,
        [
            Output::Response(10),
            Output::Response(11),
            Output::Response(12)
        ]
    );
    assert!(!queue.is_empty());
    assert_eq!(
        queue.pop_output(|_| true),
        Some(Output::LocalResponse("empty"))
    );
    assert!(queue.is_empty());
}

/// Guards against a request that starts before the response to an earlier write of its session, or a write that starts
/// before those to the session's earlier reads. Requests of other sessions must not wait.
#[rstest]
#[case(&[(Some("a"), true), (Some("a"), false)], &[0])]
#[case(&[(Some("a"), false), (Some("a"), true)], &[0])]
#[case(&[(Some("a"), true), (Some("a"), true)], &[0])]
#[case(&[(Some("a"), false), (Some("a"), false)], &[0, 1])]
#[case(&[(Some("a"), true), (Some("b"), true), (None, false)], &[0, 1, 2])]
fn requests_of_a_session_start_in_order_if_one_writes(
    #[case] requests: &[(Option<&str>, bool)],
    #[case] started_first: &[u64],
) {
    let mut queue = queue_of(requests);
    assert_eq!(start_all(&mut queue), started_first);
    queue.finish(0, 0, 0);
    let remaining: Vec<u64> = (started_first.len() as u64..requests.len() as u64).collect();
    assert_eq!(start_all(&mut queue), remaining);
}

/// Guards against a queue that accepts or starts more queries than its limits allow, against a response that frees no
/// capacity, and against a second response for a query that replaces the first.
#[test]
fn queue_is_full_at_its_limits_until_responses_free_capacity() {
    let mut queue = new_queue(3, 100, 2);
    let query = Rc::new(EndpointQuery::Simple(SimpleQuery::new(Vec::new(), 0..0)));
    for _ in 0..3 {
        assert!(!queue.is_full());
        queue.push_request(request(None, false), query.clone(), 0, 40);
    }
    assert!(queue.is_full());
    assert_eq!(start_all(&mut queue), [0, 1]);
    queue.finish(0, 0, 0);
    // A second response, or one to an unknown number, changes nothing.
    queue.finish(0, 1, 0);
    queue.finish(99, 1, 0);
    assert_eq!(start_all(&mut queue), [2]);
    assert_eq!(queue.pop_output(|_| true), Some(Output::Response(0)));
    assert!(!queue.is_full());
}

/// Guards against a cancel request that cancels any request but the first without a response, running or not, which
/// `first_pending` returns.
#[test]
fn first_pending_is_the_first_request_without_a_response() {
    let mut queue = queue_of(&[(Some("a"), true), (Some("a"), true)]);
    assert_eq!(start_all(&mut queue), [0]);
    queue.finish(0, 0, 0);
    assert_eq!(queue.first_pending(), Some(1));
    queue.finish(1, 1, 0);
    assert_eq!(
        (queue.first_pending(), start_all(&mut queue).len()),
        (None, 0)
    );
}

/// Bytes reserved for a response that may have to be kept, in the tests of the memory budget.
const RESPONSE_BYTES: usize = 100_000;

/// Returns a queue of `count` reads that takes its memory from `budget`.
fn queue_with_budget(budget: &Rc<Budget>, count: usize) -> SimpleQueryQueue<u32, &'static str> {
    let limits = QueueLimits {
        response_bytes: RESPONSE_BYTES,
        ..QueueLimits::default()
    };
    let mut queue = SimpleQueryQueue::new(limits, budget.clone());
    for _ in 0..count {
        let query = Rc::new(EndpointQuery::Simple(SimpleQuery::new(Vec::new(), 0..0)));
        queue.push_request(request(None, false), query, 0, 10);
    }
    queue
}

/// Guards against responses that are kept behind a query without one, for any number of bytes: a request may start only
/// if its response fits in the budget that all clients share. Each client's first request must start even if it is
/// exhausted, or clients would block each other.
#[test]
fn requests_start_only_while_memory_for_their_responses_is_left() {
    let budget = Budget::new(4 * RESPONSE_BYTES);
    let mut first_client = queue_with_budget(&budget, 10);
    let mut second_client = queue_with_budget(&budget, 10);
    assert_eq!(start_all(&mut first_client), [0, 1, 2, 3]);
    assert!(first_client.is_waiting_for_memory());
    assert_eq!(start_all(&mut second_client), [0]);
    // A response takes only its own size, and the rest is left for further requests.
    first_client.finish(1, 1, RESPONSE_BYTES / 2);
    first_client.finish(2, 2, RESPONSE_BYTES / 2);
    assert_eq!(start_all(&mut second_client), [1]);
    assert!(budget.used() <= budget.limit());
}

/// Guards against memory that is released before its response is written to the client, or not at all.
#[test]
fn memory_of_a_response_is_released_once_it_is_written() {
    let budget = Budget::new(4 * RESPONSE_BYTES);
    let mut queue = queue_with_budget(&budget, 2);
    assert_eq!(start_all(&mut queue), [0, 1]);
    queue.finish(0, 0, RESPONSE_BYTES);
    queue.finish(1, 1, RESPONSE_BYTES);
    while queue.pop_output(|_| true).is_some() {}
    assert!(budget.used() >= 2 * RESPONSE_BYTES);
    queue.on_written();
    assert_eq!(budget.used(), 0);
}

/// Guards against a client that has disconnected and whose queries and responses still take memory from others.
#[test]
fn memory_of_discarded_queries_is_released() {
    let budget = Budget::new(4 * RESPONSE_BYTES);
    let mut queue = queue_with_budget(&budget, 3);
    assert_eq!(start_all(&mut queue), [0, 1, 2]);
    queue.finish(1, 1, RESPONSE_BYTES);
    queue.clear();
    assert_eq!((budget.used(), queue.is_empty()), (0, true));
    // A response that arrives now belongs to none of the queries that follow.
    let query = Rc::new(EndpointQuery::Simple(SimpleQuery::new(Vec::new(), 0..0)));
    queue.push_request(request(None, false), query, 0, 10);
    queue.finish(0, 7, 0);
    assert_eq!(queue.pop_output(|_| true), None);
}

/// Guards against queued queries that take any number of bytes in all: beyond the budget, a client may queue one, and
/// none that is large.
#[test]
fn clients_queue_one_small_query_each_while_the_budget_is_exhausted() {
    let small_bytes = QueueLimits::default().small_bytes;
    let budget = Budget::new(2 * small_bytes);
    let queue = queue_with_budget(&budget, 0);
    assert!(queue.has_memory_for(2 * small_bytes));
    let _others = budget.reserve_regardless(2 * small_bytes);
    assert!(!queue.is_full() && queue.has_memory_for(small_bytes));
    assert!(!queue.has_memory_for(small_bytes + 1));
    let queue = queue_with_budget(&budget, 1);
    assert!(queue.is_full());
}

/// Guards against rejections that are released before the responses to earlier queries, and against memory for each
/// of them: a client may have written any number of queries that are rejected while an earlier one has no response.
#[test]
fn rejections_wait_for_their_turn_in_the_memory_of_one_entry() {
    let budget = Budget::new(usize::MAX);
    let mut queue = queue_with_budget(&budget, 1);
    assert_eq!(start_all(&mut queue), [0]);
    queue.push_rejection();
    let used = budget.used();
    for _ in 0..1000 {
        queue.push_rejection();
    }
    assert_eq!(budget.used(), used);
    assert_eq!(queue.pop_output(|_| true), None);
    queue.finish(0, 7, 0);
    queue.push_local_response("empty", 0);
    let outputs: Vec<_> = std::iter::from_fn(|| queue.pop_output(|_| true)).collect();
    assert_eq!(outputs.len(), 1 + 1001 + 1);
    assert_eq!(outputs[0], Output::Response(7));
    assert!(
        outputs[1..=1001]
            .iter()
            .all(|output| *output == Output::Rejection)
    );
    assert!(queue.is_empty());
}
