//! The HTTP client of the discovery service: one poll at a time on a kept-alive connection.
//!
//! It owns the service's address and the connection. When to poll, and what follows the outcome, is decided by
//! `list_watch`; this module never repeats a poll by itself.

use crate::discovery::http::{Connection, HttpError};
use crate::discovery::list::{List, ListError, read_list};
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::shared::Shared;
use async_io::Timer;
use futures_lite::future::or;
use reelrill_routing::{Nanos, Timestamp};
use reelrill_service_discovery::watch::{PollOutcome, PollRequest};
use slog::{info, o, warn};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
const LIST_PATH: &str = "/api/targets";

/// Why a poll brought no list.
#[derive(Debug, thiserror::Error)]
pub enum PollError {
    #[error(transparent)]
    List(#[from] ListError),
    #[error("the list is no JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("discovery: {0}")]
    Http(#[from] HttpError),
    #[error("no answer from discovery in time")]
    TimedOut,
}

/// What a poll brought.
pub type PollResult = Result<List, PollError>;

/// The outcome of a poll, as the watch takes it.
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

/// The client; see the module.
pub struct DiscoveryClient {
    shared: Rc<Shared>,
    address: Cell<SocketAddr>,
    /// Taken out by a poll while it runs, so that a poll that is dropped half-way closes it.
    connection: Cell<Option<Connection>>,
    poll_started_at: Cell<Timestamp>,
}

impl DiscoveryClient {
    /// A client of the service at the configured address, not connected yet.
    pub fn new(shared: Rc<Shared>) -> DiscoveryClient {
        DiscoveryClient {
            address: Cell::new(shared.config.discovery_address),
            shared,
            connection: Cell::default(),
            poll_started_at: Cell::default(),
        }
    }

    /// Turns to `address`, and says whether that is another one, and so another service.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        if self.address.replace(address) == address {
            return false;
        }
        info!(self.shared.log, "discovery has moved"; "address" => %address);
        if let Some(connection) = self.connection.take() {
            connection.close(CloseReason::AddressChanged);
        }
        true
    }

    /// One poll, on the kept-alive connection if there is one.
    ///
    /// # Errors
    /// If no list came in time, or none at all.
    pub async fn poll(&self, request: &PollRequest) -> PollResult {
        count(&self.shared.counters.list_polls);
        self.poll_started_at.set(self.shared.clock.now());
        let mut connection = match self.connection.take() {
            Some(kept) => kept,
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
        Ok(read_list(&value, &self.shared.config.site.zones)?)
    }

    async fn connect(&self, timeout: Nanos) -> Result<Connection, PollError> {
        let log = self.shared.log.new(o!());
        let open = async {
            let connection =
                Connection::open(self.address.get(), &self.shared.buffer_memory, log).await?;
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
        warn!(self.shared.log, "discovery call failed"; "error" => %error, "ms" => self.elapsed_ms());
    }

    /// Milliseconds since the latest poll began.
    pub fn elapsed_ms(&self) -> u64 {
        let now = self.shared.clock.now();
        now.saturating_sub(self.poll_started_at.get()) / NANOS_PER_MILLISECOND
    }
}

/// Sends a poll and reads the response's body, each within its timeout.
async fn fetch(connection: &mut Connection, request: &PollRequest) -> Result<Vec<u8>, PollError> {
    let path = path_of(request);
    let exchange = async {
        let response_begins = async { Ok(connection.request(&path).await?) };
        or(response_begins, time_out(request.response_timeout)).await?;
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
