//! Tests of the life cycle of a pending request.

use super::{InFlightAttempt, PendingRequest, RequestTable};
use crate::messages::{CancellationFlag, FinalResponse, ResponseTarget};
use crate::write_permit::{AttemptControl, WritePermit};
use reelrill_pg_session::endpoint_query::{EndpointQuery, SimpleQuery};
use std::rc::Rc;

const ID: u64 = 1;
const CLIENT_REQUEST_ID: u64 = 0xa1;

/// Creates a table with one request and no attempts.
fn table() -> RequestTable {
    let (sender, _) = async_channel::bounded::<(u64, FinalResponse)>(1);
    let request = PendingRequest::new(
        CLIENT_REQUEST_ID,
        100,
        Rc::new(EndpointQuery::Simple(SimpleQuery::new(b"0".to_vec(), 0..1))),
        CancellationFlag::default(),
        0,
        ResponseTarget { number: 7, sender },
    );
    let mut table = RequestTable::default();
    table.insert(ID, request);
    table
}

/// Adds an attempt, and returns the permit that the pool receives with it.
fn add_attempt(table: &mut RequestTable) -> WritePermit {
    let request = table.get_mut(ID).unwrap();
    let (control, permit) = AttemptControl::new();
    request.add_attempt(InFlightAttempt {
        number: request.attempts_made,
        endpoint: "s-1".into(),
        sent_at: 0,
        control,
    });
    permit
}

/// Guards against two final responses to one request, and against a client request id that stays in use after the
/// response.
#[test]
fn completing_returns_the_response_target_once_and_frees_the_client_request_id() {
    let mut table = table();
    assert!(table.is_client_request_id_in_use(CLIENT_REQUEST_ID));
    assert_eq!(table.complete(ID).map(|target| target.number), Some(7));
    assert!(!table.is_client_request_id_in_use(CLIENT_REQUEST_ID));
    assert!(table.complete(ID).is_none());
}

/// Guards against results that are ignored, because their request was removed while its attempts were in progress.
#[test]
fn a_completed_request_stays_until_its_last_attempt_has_a_result() {
    let mut table = table();
    let _pools = [add_attempt(&mut table), add_attempt(&mut table)];
    assert!(table.complete(ID).is_some());
    for number in [0, 1] {
        table.remove_if_finished(ID);
        let request = table.get_mut(ID).unwrap();
        assert!(request.is_completed());
        assert!(request.take_attempt(number).is_some());
    }
    table.remove_if_finished(ID);
    assert!(table.get(ID).is_none());
}

/// Guards against a request that gets no response, because it was removed while the balancer decided on a retry.
#[test]
fn a_request_stays_until_completed_when_its_attempts_have_ended() {
    let mut table = table();
    let permit = add_attempt(&mut table);
    assert!(!permit.has_ended());
    let request = table.get_mut(ID).unwrap();
    assert!(request.take_attempt(0).is_some());
    assert!(request.take_attempt(0).is_none());
    assert!(permit.has_ended());
    assert!(!request.is_completed() && request.attempts().is_empty());
    table.remove_if_finished(ID);
    assert!(table.complete(ID).is_some());
}

/// Guards against a memory leak from clients that disconnect while their requests have no attempt.
#[test]
fn a_request_without_attempts_is_removed_when_completed() {
    let mut table = table();
    assert!(table.complete(ID).is_some());
    assert!(table.get(ID).is_none());
}
