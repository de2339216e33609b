//! Establishes a connection to an endpoint: connects, sends the startup message, and waits for ReadyForQuery.
//!
//! If this fails, no request has been executed. The connect is retried after a temporary shortage on the router's host
//! (of descriptors, ports or memory). Such a failure never counts against the endpoint.

use super::connection::{UpstreamConnection, write_some};
use super::fault::{FaultOrigin, Stage, classify, connect_outcome, sqlstate_outcome};
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::shared::{DescriptorPermit, Shared};
use async_io::{Async, Timer};
use futures_lite::future::or;
use reelrill_pg_protocol::{backend, frame, frontend, sqlstate};
use reelrill_routing::{AttemptOutcome, EndpointId, Nanos};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The connect timeout in nanoseconds if the settings contain none.
const DEFAULT_CONNECT_TIMEOUT: Nanos = 1_000_000_000;
/// The number of retries after a shortage on the router's host. If the last one fails, another endpoint gets the
/// request.
const MAX_HOST_RETRIES: u32 = 3;
/// The pause before each retry after a shortage on the router's host.
const HOST_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// The maximum length of the response to the startup message, in bytes.
const MAX_STARTUP_RESPONSE_LENGTH: u64 = 64 * 1024;

/// Returns the connect timeout in nanoseconds. It includes the wait for a file descriptor.
pub fn connect_timeout(shared: &Shared) -> Nanos {
    match shared.config.routing.settings.limits.connect_timeout {
        0 => DEFAULT_CONNECT_TIMEOUT,
        limit => limit,
    }
}

/// Opens a connection that is ready for a request, within the connect timeout.
///
/// # Errors
/// Returns the outcome of the attempt that waits for the connection.
pub async fn open_connection(
    shared: Rc<Shared>,
    endpoint: EndpointId,
    address: SocketAddr,
    permit: DescriptorPermit,
) -> Result<UpstreamConnection, AttemptOutcome> {
    count(&shared.counters.connects);
    let timeout = Duration::from_nanos(connect_timeout(&shared));
    let timed_out = async {
        Timer::after(timeout).await;
        None
    };
    let session = open_session(shared.clone(), endpoint, address, permit);
    let result = or(async { Some(session.await) }, timed_out).await;
    match &result {
        Some(Ok(_)) => {}
        Some(Err(AttemptOutcome::Overloaded)) => count(&shared.counters.connects_rejected),
        Some(Err(_)) => count(&shared.counters.connects_failed),
        None => count(&shared.counters.connects_timed_out),
    }
    result.unwrap_or(Err(AttemptOutcome::ConnectFailed))
}

async fn open_session(
    shared: Rc<Shared>,
    endpoint: EndpointId,
    address: SocketAddr,
    permit: DescriptorPermit,
) -> Result<UpstreamConnection, AttemptOutcome> {
    let stream = connect(address).await.map_err(|e| connect_outcome(&e))?;
    let mut connection = UpstreamConnection::new(shared, stream, endpoint, address, permit);
    write_startup(&connection.stream)
        .await
        .map_err(|e| connect_outcome(&e))?;
    await_ready_for_query(&mut connection).await?;
    // From here on, a connection that is dropped while in use belongs to an abandoned attempt.
    connection.close_reason = CloseReason::AttemptAbandoned;
    Ok(connection)
}

/// Connects the socket, and retries after a shortage on the router's host, which is not a failure of the endpoint.
async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let mut retries = 0;
    let stream = loop {
        match Async::<TcpStream>::connect(address).await {
            Ok(stream) => break stream,
            Err(e) => {
                let is_host_fault = classify(&e, Stage::Connect).origin != FaultOrigin::Endpoint;
                if !is_host_fault || retries >= MAX_HOST_RETRIES {
                    return Err(e);
                }
            }
        }
        retries += 1;
        Timer::after(HOST_RETRY_PAUSE).await;
    };
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}

async fn write_startup(stream: &Async<TcpStream>) -> io::Result<()> {
    let mut startup = Vec::new();
    frontend::put_startup(&mut startup);
    let mut written = 0;
    while written < startup.len() {
        written += write_some(stream, &startup[written..]).await?;
    }
    Ok(())
}

/// Reads the endpoint's messages up to ReadyForQuery.
async fn await_ready_for_query(connection: &mut UpstreamConnection) -> Result<(), AttemptOutcome> {
    loop {
        match frame::parse(connection.buffer.bytes(), frame::MAX_SMALL_MESSAGE_LENGTH) {
            Ok(Some((b'E', body, _))) => {
                let error_code = backend::error_sqlstate(body).map(str::to_owned);
                return Err(on_startup_rejected(connection, error_code.as_deref()));
            }
            Ok(Some((tag, _, length))) => {
                connection.buffer.consume(length);
                if tag == b'Z' {
                    return Ok(());
                }
            }
            Ok(None) => {
                connection.yield_if_over().await;
                if connection.buffer.bytes_read() > MAX_STARTUP_RESPONSE_LENGTH {
                    return Err(AttemptOutcome::ConnectFailed);
                }
                let filled = connection.buffer.fill(&connection.stream).await;
                if filled.map_err(|e| connect_outcome(&e))? == 0 {
                    return Err(AttemptOutcome::ConnectFailed);
                }
            }
            Err(_) => return Err(AttemptOutcome::ConnectFailed),
        }
    }
}

/// Handles an error response to the startup message with this SQLSTATE, and returns the outcome.
fn on_startup_rejected(
    connection: &mut UpstreamConnection,
    error_code: Option<&str>,
) -> AttemptOutcome {
    if error_code == Some(sqlstate::CANNOT_CONNECT_NOW) {
        connection.report_endpoint_responded(true);
    }
    connection.close_reason = CloseReason::Rejected;
    match error_code.map(sqlstate_outcome) {
        Some(AttemptOutcome::Overloaded) => AttemptOutcome::Overloaded,
        _ => AttemptOutcome::ConnectFailed,
    }
}
