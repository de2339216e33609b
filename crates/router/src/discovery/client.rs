//! Polls the discovery service over HTTP, one poll at a time on a kept-alive connection.
//!
//! The client owns the service's address and the connection. `list_watch` decides when to poll and how to handle the
//! outcome; this module never repeats a poll by itself.

use crate::discovery::http::{Connection, HttpError};
use crate::discovery::list::{List, ListError, read_list};
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::shared::Shared;
use async_io::Timer;
use futures_lite::future::or;
use reelrill_routing::{Nanos, Timestamp};
use reelrill_service_discovery::watch::{PollOutcome, PollRequest};
use slog::{info, warn};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
/// The path of the endpoint list at the discovery service.
const LIST_PATH: &str = "/api/targets";

/// The error of a poll that did not yield a list.
#[derive(Debug, thiserror::Error)]
pub enum PollError {
    /// The response is not a valid endpoint list.
    #[error(transparent)]
    List(#[from] ListError),
    /// The response is not valid JSON.
    #[error("endpoint list is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The HTTP request failed.
    #[error("discovery service: {0}")]
    Http(#[from] HttpError),
    /// No connection was established, or no complete response received, within the poll's timeouts.
    #[error("no response from the discovery service in time")]
    TimedOut,
}

/// The list that a poll yielded, or its error.
pub type PollResult = Result<List, PollError>;

/// Returns the outcome of a poll in the form that the list watch handles.
pub fn outcome(result: &PollResult) -> PollOutcome {
    match result {
        Ok(list) => PollOutcome::Updated {
            version: list.version,
            has_changes: !list.entries.is_empty(),
        },
        Err(PollError::TimedOut) => PollOutcome::TimedOut,
        Err(PollError::Http(HttpError::Status(_))) => PollOutcome::Rejected,
        Err(_) => PollOutcome::Failed,
    }
}

/// A client of the discovery service.
pub struct DiscoveryClient {
    shared: Rc<Shared>,
    address: Cell<SocketAddr>,
    /// The kept-alive connection. While a poll is running, the poll owns the connection, so that it is closed when the
    /// poll is dropped.
    connection: Cell<Option<Connection>>,
    poll_started_at: Cell<Timestamp>,
}

impl DiscoveryClient {
    /// Creates a client of the service at the configured address, without connecting to it.
    pub fn new(shared: Rc<Shared>) -> DiscoveryClient {
        DiscoveryClient {
            address: Cell::new(shared.config.discovery_address),
            shared,
            connection: Cell::default(),
            poll_started_at: Cell::default(),
        }
    }

    /// Sets the service's address, and returns whether it has changed. A service at another address is another service.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        if self.address.replace(address) == address {
            return false;
        }
        info!(self.shared.log, "discovery service address changed"; "address" => %address);
        if let Some(connection) = self.connection.take() {
            connection.close(CloseReason::AddressChanged);
        }
        true
    }

    /// Polls the service once, on the kept-alive connection if there is one.
    ///
    /// # Errors
    /// Fails if the connection or the request fails, a timeout expires, or the response is not a valid list.
    pub async fn poll(&self, request: &PollRequest) -> PollResult {
        count(&self.shared.counters.list_polls);
        self.poll_started_at.set(self.shared.clock.now());
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect(request.connect_timeout).await?,
        };
        let body = match fetch(&mut connection, request).await {
            Err(PollError::TimedOut) => {
                connection.close(CloseReason::TimedOut);
                return Err(PollError::TimedOut);
            }
            result => result?,
        };
        if connection.is_reusable() {
            self.connection.set(Some(connection));
        } else {
            connection.close(CloseReason::Eof);
        }
        let value = serde_json::from_slice(&body)?;
        Ok(read_list(&value, &self.shared.config.routing.zones)?)
    }

    async fn connect(&self, timeout: Nanos) -> Result<Connection, PollError> {
        let open = async {
            let connection = Connection::open(self.address.get(), self.shared.clone()).await?;
            Ok(connection)
        };
        or(open, time_out(timeout)).await
    }

    /// Counts and logs a poll that failed.
    pub fn record_failure(&self, error: &PollError) {
        let counters = &self.shared.counters;
        count(match error {
            PollError::Http(HttpError::Status(_)) => &counters.list_rejected,
            PollError::Http(HttpError::Io(_) | HttpError::Closed) => {
                &counters.list_connection_failed
            }
            PollError::TimedOut => &counters.list_timed_out,
            PollError::Http(_) | PollError::List(_) | PollError::Json(_) => {
                &counters.list_malformed
            }
        });
        warn!(self.shared.log, "discovery poll failed"; "error" => %error, "ms" => self.elapsed_ms());
    }

    /// Returns the time since the latest poll started, in milliseconds.
    pub fn elapsed_ms(&self) -> u64 {
        let now = self.shared.clock.now();
        now.saturating_sub(self.poll_started_at.get()) / NANOS_PER_MILLISECOND
    }
}

/// Sends a poll and reads the response's body, each within its timeout.
async fn fetch(connection: &mut Connection, request: &PollRequest) -> Result<Vec<u8>, PollError> {
    let path = path_of(request);
    let exchange = async {
        let response_start = async { Ok(connection.request(&path).await?) };
        or(response_start, time_out(request.response_timeout)).await?;
        Ok(connection.response().await?)
    };
    or(exchange, time_out(request.body_timeout)).await
}

fn path_of(request: &PollRequest) -> String {
    match request.long_poll {
        Some(long_poll) => {
            let wait_ms = long_poll.wait / NANOS_PER_MILLISECOND;
            format!(
                "{LIST_PATH}?since={}&timeout_ms={wait_ms}",
                long_poll.version
            )
        }
        None => LIST_PATH.to_owned(),
    }
}

async fn time_out<T>(after: Nanos) -> Result<T, PollError> {
    Timer::after(Duration::from_nanos(after)).await;
    Err(PollError::TimedOut)
}
