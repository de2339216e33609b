//! The end of a graceful shutdown: when the process may end.
//!
//! Must never end it while a client is connected: its requests are owed their answers.

use crate::runtime::shared::Shared;
use async_io::Timer;
use slog::info;
use std::time::Duration;

/// After SIGTERM, the time without an arrival after which the process ends, if nobody is connected.
const QUIESCENCE: Duration = Duration::from_millis(500);
/// How often the connections are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for SIGTERM, and then until the process may end: nobody is connected and nobody keeps coming.
pub async fn until_drained(shared: &Shared) {
    shared.shutdown_started.wait().await;
    info!(shared.log, "ending");
    let began = shared
        .shutdown_started_at
        .get()
        .unwrap_or_else(|| shared.clock.now());
    // Clients keep coming for a while, by the listener and by the connections that they still hold.
    loop {
        Timer::after(POLL_INTERVAL).await;
        let now = shared.clock.now();
        let spent = now.saturating_sub(began);
        let is_quiet = now.saturating_sub(shared.last_arrival.get()) > QUIESCENCE.as_nanos() as u64;
        let is_drained = spent > shared.shutdown_schedule.min_duration && is_quiet
            || spent > shared.shutdown_schedule.read_window;
        // The listener holds one slot for the connection that it waits for.
        if is_drained && shared.client_descriptors.used() <= 1 {
            return;
        }
    }
}
