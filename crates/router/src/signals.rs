//! What signals do: SIGTERM and SIGINT begin the graceful shutdown, SIGHUP reloads, SIGUSR1 prints the counters.
//!
//! Must never end the process itself: [`crate::drain`] decides when that may happen.

use crate::messages::Message;
use crate::reload;
use crate::runtime::shared::Shared;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt as _;
use slog::{error, info};
use std::net::SocketAddr;

/// The signals that [`handle`] knows.
pub fn listen() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
}

/// Handles signals for as long as the process lives, also during a graceful shutdown.
pub async fn handle(shared: &Shared, mut signals: Signals, discovery_address: Sender<SocketAddr>) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Usr1) => info!(shared.log, "counters"; "all" => %shared.counters),
            Ok(Signal::Hup) => reload::reload(shared, &discovery_address).await,
            Ok(_) if shared.shutdown_started.is_raised() => info!(shared.log, "already ending"),
            Ok(_) => {
                shared.shutdown_started_at.set(Some(shared.clock.now()));
                shared.shutdown_started.raise();
                // The decider ends last.
                let _ = shared.dispatcher.send(Message::ShutdownStarted).await;
            }
            Err(e) => error!(shared.log, "signals"; "error" => %e),
        }
        // A flood of signals is always ready: without a pause it would keep all other tasks from running.
        futures_lite::future::yield_now().await;
    }
    futures_lite::future::pending().await
}
