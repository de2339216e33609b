//! Handles signals: SIGTERM and SIGINT start the graceful shutdown, SIGHUP reloads the configuration, SIGUSR1 logs the
//! counters.
//!
//! This module must never end the process: [`crate::drain`] decides when the process may exit.

use crate::messages::Message;
use crate::reload;
use crate::runtime::shared::Shared;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt as _;
use slog::{error, info};
use std::net::SocketAddr;

/// Installs the handlers, and returns the stream of signals for [`handle`].
///
/// # Errors
/// Fails if the operating system rejects a handler.
pub fn listen() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
}

/// Handles signals until the process exits, including during a graceful shutdown.
pub async fn handle(
    shared: &Shared,
    mut signals: Signals,
    discovery_addresses: Sender<SocketAddr>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Usr1) => info!(shared.log, "counters"; "all" => %shared.counters),
            Ok(Signal::Hup) => reload::reload(shared, &discovery_addresses).await,
            Ok(_) if shared.shutdown_started.is_raised() => {
                info!(shared.log, "graceful shutdown already in progress")
            }
            Ok(_) => {
                shared.shutdown_started_at.set(Some(shared.clock.now()));
                shared.shutdown_started.raise();
                // The send cannot fail: the dispatcher ends last.
                let _ = shared.dispatcher.send(Message::ShutdownStarted).await;
            }
            Err(e) => error!(shared.log, "failed to receive a signal"; "error" => %e),
        }
        // If signals arrive faster than they are handled, the next one is always ready. Without the yield, no other
        // task would run then.
        futures_lite::future::yield_now().await;
    }
    futures_lite::future::pending().await
}
