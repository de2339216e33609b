//! How a connection to an endpoint comes up: connect, startup message, and the endpoint's welcome.
//!
//! Nothing has run where this fails. What this host lacks for a moment (descriptors, ports, memory) is tried again and
//! is never held against the endpoint.

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

/// Where the settings set no limit, a connection has this long to come up.
const DEFAULT_CONNECT_TIMEOUT: Nanos = 1_000_000_000;
/// Where this host lacks what a connection needs, it tries again so often; then another endpoint gets the request.
const HOST_RETRIES: u32 = 3;
/// The pause before each of these.
const HOST_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// How long a connection may take to come up, in nanoseconds; a wait for a descriptor is included.
pub fn connect_timeout(shared: &Shared) -> Nanos {
    match shared.config.site.settings.limits.connect_timeout {
        0 => DEFAULT_CONNECT_TIMEOUT,
        limit => limit,
    }
}

/// Connects and waits for the welcome, within the settings' limit. An error is the outcome of the attempt that waits.
pub async fn dial(
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
    let dialed = or(async { Some(session.await) }, timed_out).await;
    match &dialed {
        Some(Ok(_)) => {}
        Some(Err(AttemptOutcome::Overloaded)) => count(&shared.counters.connects_rejected),
        Some(Err(_)) => count(&shared.counters.connects_failed),
        None => count(&shared.counters.connects_timed_out),
    }
    dialed.unwrap_or(Err(AttemptOutcome::ConnectFailed))
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
    await_welcome(&mut connection).await?;
    // From here on, dropped while in use means that an attempt was abandoned.
    connection.close_reason = CloseReason::AttemptAbandoned;
    Ok(connection)
}

/// Connects. What this host lacks for a moment is no failure of the endpoint.
async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let mut retries = 0;
    let stream = loop {
        match Async::<TcpStream>::connect(address).await {
            Ok(stream) => break stream,
            Err(e) => {
                let is_own_fault = classify(&e, Stage::Connect).origin != FaultOrigin::Endpoint;
                if !is_own_fault || retries >= HOST_RETRIES {
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

/// Reads up to ReadyForQuery.
async fn await_welcome(connection: &mut UpstreamConnection) -> Result<(), AttemptOutcome> {
    loop {
        match frame::parse(connection.buffer.bytes(), frame::MAX_SMALL_MESSAGE_LENGTH) {
            Ok(Some((b'E', body, _))) => {
                let code = backend::error_sqlstate(body).map(str::to_owned);
                return Err(turned_away(connection, code.as_deref()));
            }
            Ok(Some((kind, _, length))) => {
                connection.buffer.consume(length);
                if kind == b'Z' {
                    return Ok(());
                }
            }
            Ok(None) => {
                let filled = connection.buffer.fill(&connection.stream).await;
                if filled.map_err(|e| connect_outcome(&e))? == 0 {
                    return Err(AttemptOutcome::ConnectFailed);
                }
            }
            Err(_) => return Err(AttemptOutcome::ConnectFailed),
        }
    }
}

/// The endpoint answered the startup message with an error of this code.
fn turned_away(connection: &mut UpstreamConnection, code: Option<&str>) -> AttemptOutcome {
    if code == Some(sqlstate::CANNOT_CONNECT_NOW) {
        connection.report_endpoint_responded(true);
    }
    connection.close_reason = CloseReason::Rejected;
    match code.map(sqlstate_outcome) {
        Some(AttemptOutcome::Overloaded) => AttemptOutcome::Overloaded,
        _ => AttemptOutcome::ConnectFailed,
    }
}
