//! Tests of a graceful shutdown with queries that a client has written and the router has not read.

mod common;

use common::*;
use reelrill_test_support::client::{bind_and_execute, parse_message, query_message, sync_message};
use rstest::rstest;
use serde_json::Value;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 4;
/// The length of a value in bytes, the longest that is allowed.
const VALUE_BYTES: usize = 64 * 1024;
/// The time from the longest deadline until the process may be killed.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);

/// Held by each test that compares the router's time with a limit: the others would take processor time from it, all at the
/// same moment after their signals.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Returns the messages of a write of 64 KiB, for whose response the client waits `wait_ms` milliseconds.
fn large_write(id: u64, wait_ms: u64) -> Vec<u8> {
    let value = "7f".repeat(VALUE_BYTES);
    query_message(&format!(
        "INSERT INTO facts (code, data) VALUES ('acct-{id}', '\\x{value}') RETURNING data \
         /* id={id:016x},c=book,d={wait_ms},k={id:016x},cluster=2 */"
    ))
}

/// Returns the messages of a read, for whose response the client waits `wait_ms` milliseconds.
fn small_read(id: u64, wait_ms: u64) -> Vec<u8> {
    query_message(&select_query(id, wait_ms))
}

/// Returns the messages of a read with the prepared statement `read`, in a segment of its own.
fn prepared_read(id: u64, wait_ms: u64) -> Vec<u8> {
    let (id, wait_ms) = (format!("{id:016x}"), wait_ms.to_string());
    [
        bind_and_execute("read", &[Some(&id), Some(&wait_ms)]),
        sync_message(),
    ]
    .concat()
}

/// Returns the base settings with a deadline of `deadline_ms` milliseconds for all classes.
fn settings_with_deadline(deadline_ms: u64) -> Value {
    let mut settings = base_settings();
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        class["hardLimit"] = (deadline_ms * 1_000_000).into();
        class["onTime"] = (deadline_ms * 500_000).into();
    }
    settings
}

/// Guards against queries that were written before SIGTERM and discarded at the close: while an endpoint hangs, the
/// first query of each client has no response, so the router leaves most of the client's input unread. All of it must
/// get its response before the process may be killed, whatever the deadlines are.
#[rstest]
#[case::large_writes(12, large_write, None)]
#[case::small_reads(3000, small_read, None)]
#[case::prepared_reads(3000, prepared_read, Some("extended: {mode: on}"))]
fn queries_written_before_the_signal_get_responses_while_an_endpoint_hangs(
    #[case] count: u64,
    #[case] message: fn(u64, u64) -> Vec<u8>,
    #[case] extensions: Option<&str>,
    #[values(300, 4000)] deadline_ms: u64,
) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::NoResponse);
    let list = vec![list_entry("s-1", endpoint.address, "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let settings = settings_with_deadline(deadline_ms);
    let mut router = start_router_with(&discovery, &list, 1024, settings, extensions);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| router.connect_client()).collect();
    for (client, number) in clients.iter_mut().zip(1..) {
        let statement =
            "SELECT data FROM facts WHERE code = 'k' /* id=$1,c=board,d=$2,cluster=2 */";
        if extensions.is_some() {
            client.extended_query(&[parse_message("read", statement, &[])]);
        }
        let ids = number * 10_000..number * 10_000 + count;
        let messages: Vec<u8> = ids.flat_map(|id| message(id, deadline_ms)).collect();
        client.send(&messages);
    }
    router.signal("TERM");
    let terminated_at = Instant::now();
    for client in &mut clients {
        let responses = std::iter::from_fn(|| client.read_response()).count() as u64;
        assert_eq!(responses, count);
    }
    let kill_after = Duration::from_millis(deadline_ms.min(3000)) + KILL_AFTER_DEADLINE;
    assert!(terminated_at.elapsed() < kill_after);
    assert!(router.wait_for_exit().success());
}
