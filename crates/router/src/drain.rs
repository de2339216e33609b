//! Decides when the process may exit at the end of a graceful shutdown.
//!
//! The process must never exit while a client is connected, because the client's requests must get their responses.

use crate::runtime::shared::Shared;
use async_io::Timer;
use slog::info;
use std::time::Duration;

/// The time without a new connection or request after which the process may exit, if no client is connected.
const QUIET_PERIOD: Duration = Duration::from_millis(500);
/// The interval at which the condition for the exit is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a graceful shutdown has started, and then until no client is connected and no more clients arrive.
pub async fn until_drained(shared: &Shared) {
    shared.shutdown_started.wait().await;
    info!(shared.log, "graceful shutdown started");
    let started_at = shared
        .shutdown_started_at
        .get()
        .unwrap_or_else(|| shared.clock.now());
    // For a while, clients still open connections and send requests on the connections that they hold.
    loop {
        Timer::after(POLL_INTERVAL).await;
        let now = shared.clock.now();
        let elapsed = now.saturating_sub(started_at);
        let is_quiet =
            now.saturating_sub(shared.last_arrival.get()) > QUIET_PERIOD.as_nanos() as u64;
        let is_drain_over = elapsed > shared.shutdown_schedule.min_duration && is_quiet
            || elapsed > shared.shutdown_schedule.read_window;
        // The accept loop holds one permit for the next connection.
        if is_drain_over && shared.client_descriptors.used() <= 1 {
            return;
        }
    }
}
