use super::{InFlightAttempt, PendingRequest, RequestTable};
use crate::messages::{AttemptProgress, CancellationFlag, FinalResponse, ResponseTarget};
use async_channel::Receiver;
use reelrill_pg_session::endpoint_query::{EndpointQuery, SimpleQuery};
use std::rc::Rc;

const ID: u64 = 1;
const CLIENT_ID: u64 = 0xa1;

/// A table with one queued request.
fn table() -> RequestTable {
    let (sender, _) = async_channel::bounded::<(u64, FinalResponse)>(1);
    let request = PendingRequest::new(
        CLIENT_ID,
        100,
        Rc::new(EndpointQuery::Simple(SimpleQuery::new(b"0".to_vec(), 0..1))),
        CancellationFlag::default(),
        0,
        ResponseTarget { part: 7, sender },
    );
    let mut table = RequestTable::default();
    table.insert(ID, request);
    table
}

/// Adds an attempt, and returns what its pool sees of it.
fn add_attempt(table: &mut RequestTable) -> Receiver<()> {
    let request = table.get_mut(ID).unwrap();
    let (abandon_on_drop, abandoned) = async_channel::bounded(1);
    request.add_attempt(InFlightAttempt {
        number: request.attempts_made,
        endpoint: "s-1".into(),
        sent_at: 0,
        progress: AttemptProgress::default(),
        _abandon_on_drop: abandon_on_drop,
    });
    abandoned
}

#[test]
fn a_request_gives_out_its_reply_once_and_frees_its_client_id() {
    let mut table = table();
    assert!(table.is_client_id_in_use(CLIENT_ID));
    assert_eq!(table.complete(ID).map(|reply| reply.part), Some(7));
    assert!(!table.is_client_id_in_use(CLIENT_ID));
    assert!(table.complete(ID).is_none());
}

#[test]
fn an_answered_request_stays_until_its_last_attempt_has_a_result() {
    let mut table = table();
    let _pools = [add_attempt(&mut table), add_attempt(&mut table)];
    assert!(table.complete(ID).is_some());
    for number in [0, 1] {
        table.remove_if_finished(ID);
        let request = table.get_mut(ID).unwrap();
        assert!(request.is_answered());
        assert!(request.take_attempt(number).is_some());
    }
    table.remove_if_finished(ID);
    assert!(table.get(ID).is_none());
}

#[test]
fn a_request_whose_attempts_have_ended_is_still_owed_its_answer() {
    let mut table = table();
    let abandoned = add_attempt(&mut table);
    assert!(!abandoned.is_closed());
    let request = table.get_mut(ID).unwrap();
    assert!(request.take_attempt(0).is_some());
    assert!(request.take_attempt(0).is_none());
    assert!(abandoned.is_closed());
    assert!(!request.is_answered() && request.attempts().is_empty());
    table.remove_if_finished(ID);
    assert!(table.complete(ID).is_some());
}

/// Guards the memory of a router whose clients leave while their requests are queued.
#[test]
fn a_queued_request_that_is_completed_leaves_the_table() {
    let mut table = table();
    assert!(table.complete(ID).is_some());
    assert!(table.get(ID).is_none());
}
