//! Tests of the writes of a statement whose permission ends half-way. Each forces the socket to have room for the rest.

use super::{WriteConditions, WriteError, write_statement};
use crate::write_permit::{AttemptControl, Execution};
use async_io::{Async, Timer};
use futures_lite::future::{block_on, or, poll_once};
use rstest::rstest;
use std::cell::Cell;
use std::io::{ErrorKind, Read as _};
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::time::Duration;

/// More bytes than the buffers of two sockets hold.
const STATEMENT_LENGTH: usize = 16 * 1024 * 1024;
/// The time without input after which everything that was written has arrived.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(200);

/// The time within which a write must end once its permission has ended.
const END_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the router's side and the endpoint's side of a connection.
fn connection() -> (Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let router = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (endpoint, _) = listener.accept().unwrap();
    endpoint.set_read_timeout(Some(ARRIVAL_PAUSE)).unwrap();
    (Async::new(router).unwrap(), endpoint)
}

/// Reads until nothing more arrives, and returns the number of bytes.
fn read_all_arrived(endpoint: &mut TcpStream) -> usize {
    let mut chunk = vec![0; 1 << 20];
    let mut total = 0;
    loop {
        match endpoint.read(&mut chunk) {
            Ok(0) => return total,
            Ok(length) => total += length,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return total,
        }
    }
}

/// Guards against a statement that is completed after its attempt was ended as never executed, or after its client has
/// left or its drain grace or deduplication window has ended: either comes while the connection's task is about to write
/// again.
#[rstest]
fn nothing_is_written_after_the_permission_ends_although_the_socket_has_room(
    #[values(true, false)] is_attempt_ended: bool,
) {
    let (router, mut endpoint) = connection();
    let (control, permit) = AttemptControl::new();
    let is_time_left = Cell::new(true);
    let conditions = WriteConditions {
        permit: &permit,
        time_left: &|| is_time_left.get().then_some(1),
    };
    let statement = vec![b'x'; STATEMENT_LENGTH];
    let mut write = pin!(write_statement(
        &router,
        &statement,
        statement.len(),
        &conditions
    ));
    assert!(block_on(poll_once(&mut write)).is_none());
    let written_before = read_all_arrived(&mut endpoint);
    assert!((1..STATEMENT_LENGTH).contains(&written_before));

    if is_attempt_ended {
        assert_eq!(control.end(), Execution::Never);
    } else {
        is_time_left.set(false);
    }
    let timeout = async {
        Timer::after(END_TIMEOUT).await;
        None
    };
    let ended = block_on(or(async { Some(write.await) }, timeout));
    assert!(
        matches!(ended, Some(Err(WriteError::NotPermitted))),
        "{ended:?}"
    );
    assert_eq!(read_all_arrived(&mut endpoint), 0);
    assert_eq!(control.end(), Execution::Never);
}

/// Guards against a statement that counts as never executed although the endpoint has all of it but the Sync: once it is
/// executable, it is completed, and the attempt cannot be withdrawn.
#[test]
fn executable_statement_is_completed_and_counts_as_possibly_executed() {
    let (router, mut endpoint) = connection();
    let (control, permit) = AttemptControl::new();
    let is_allowed = Cell::new(true);
    let conditions = WriteConditions {
        permit: &permit,
        time_left: &|| is_allowed.get().then_some(1),
    };
    let statement = vec![b'x'; STATEMENT_LENGTH];
    let mut write = pin!(write_statement(&router, &statement, 1, &conditions));
    assert!(block_on(poll_once(&mut write)).is_none());
    assert!(!control.end_if_never_executed());

    is_allowed.set(false);
    endpoint.set_read_timeout(None).unwrap();
    let reader =
        std::thread::spawn(move || endpoint.read_exact(&mut vec![0; STATEMENT_LENGTH]).is_ok());
    assert!(block_on(&mut write).is_ok());
    assert!(reader.join().unwrap());
    assert_eq!(control.end(), Execution::Possible);
}
