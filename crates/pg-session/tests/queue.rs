//! A client's simple queries: what may start, and in what order answers go out.

use reelrill_pg_session::admit::Admitted;
use reelrill_pg_session::bound::{Ask, Simple};
use reelrill_pg_session::queue::{Limits, Output, Queue};
use rstest::rstest;
use std::rc::Rc;

fn request(session: Option<&str>, is_write: bool) -> Admitted {
    Admitted {
        id: None,
        class: 0,
        replica_set: 1,
        session: session.map(Into::into),
        after: None,
        is_retry: false,
        wait: 1,
        is_write,
    }
}

fn queue(requests: &[(Option<&str>, bool)]) -> Queue<u32, &'static str> {
    let mut queue = Queue::new(Limits {
        queries: 100,
        bytes: 1000,
        running: 100,
    });
    for (at, (session, is_write)) in requests.iter().enumerate() {
        let ask = Rc::new(Ask::Simple(Simple::new(Vec::new(), 0..0)));
        queue.request(request(*session, *is_write), ask, at as u64, 10);
    }
    queue
}

fn started(queue: &mut Queue<u32, &'static str>) -> Vec<u64> {
    std::iter::from_fn(|| queue.start().map(|s| s.part)).collect()
}

/// Guards the time of queries behind others: each starts as it comes, with the time at which it was read, and only
/// the answers keep their order.
#[test]
fn queries_start_as_they_come_and_are_answered_in_order() {
    let mut q = queue(&[(None, false), (None, false), (Some("a"), true)]);
    q.say("empty");
    let starts: Vec<(u64, u64)> =
        std::iter::from_fn(|| q.start().map(|s| (s.part, s.arrived))).collect();
    assert_eq!(starts, [(0, 0), (1, 1), (2, 2)]);
    q.finish(2, 12);
    q.finish(1, 11);
    assert_eq!(q.output(|_| true), None);
    q.finish(0, 10);
    let said: Vec<_> = std::iter::from_fn(|| q.output(|_| false)).collect();
    assert_eq!(
        said,
        [Output::Answer(10), Output::Answer(11), Output::Answer(12)]
    );
    assert!(!q.is_empty());
    assert_eq!(q.output(|_| true), Some(Output::Said("empty")));
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
    let mut q: Queue<u32, &str> = Queue::new(Limits {
        queries: 3,
        bytes: 100,
        running: 2,
    });
    let ask = Rc::new(Ask::Simple(Simple::new(Vec::new(), 0..0)));
    for _ in 0..3 {
        assert!(!q.is_full());
        q.request(request(None, false), ask.clone(), 0, 40);
    }
    assert!(q.is_full());
    assert_eq!(started(&mut q), [0, 1]);
    q.finish(0, 0);
    // A second answer, or one to what is not there, changes nothing.
    q.finish(0, 1);
    q.finish(99, 1);
    assert_eq!(started(&mut q), [2]);
    assert_eq!(q.output(|_| true), Some(Output::Answer(0)));
    assert!(!q.is_full());
}

/// Guards CancelRequest: it is about the first request without an answer, started or not.
#[test]
fn the_first_open_request_is_called_off() {
    let mut q = queue(&[(Some("a"), true), (Some("a"), true)]);
    assert_eq!(started(&mut q), [0]);
    q.finish(0, 0);
    assert_eq!(q.first_open(), Some(1));
    q.finish(1, 1);
    assert_eq!((q.first_open(), started(&mut q).len()), (None, 0));
}
