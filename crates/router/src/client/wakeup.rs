//! Waits for events of a client with outstanding requests, and sends requests and cancellations to the dispatcher.

use super::connection::ClientConnection;
use super::input_backlog::InputBacklog;
use super::start_gate::StartGate;
use crate::messages::{ClientRequest, FinalResponse, Message, ResponseTarget};
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::shared::{CancellationSignal, Shared};
use async_io::Timer;
use futures_lite::future::{or, pending};
use reelrill_pg_protocol::backend;
use reelrill_routing::RequestId;
use std::io;

/// An event that wakes the client's task.
pub enum Wakeup {
    /// The request with this number has its response.
    Response(u64, FinalResponse),
    /// A write is due that shows whether the client has left behind unread input.
    WriteDue,
    /// The client has sent a cancel request, which applies to its first outstanding request.
    CancelRequested,
    /// More input has been read, memory has been released, the router has become ready to serve, or new requests are
    /// rejected from now on.
    Progress,
}

/// Waits for a response, a cancel request or more input.
///
/// # Errors
/// Fails if the client has disconnected, or reading from it fails.
pub async fn next_wakeup(
    response: impl Future<Output = (u64, FinalResponse)>,
    cancellation: &CancellationSignal,
    read: impl Future<Output = io::Result<usize>>,
) -> Result<Wakeup, CloseReason> {
    let response = async {
        let (number, response) = response.await;
        Ok(Wakeup::Response(number, response))
    };
    let cancelled = async {
        cancellation.wait().await;
        cancellation.reset();
        Ok(Wakeup::CancelRequested)
    };
    let read = async {
        match read.await {
            Ok(0) => Err(CloseReason::DisconnectedWhileWaiting),
            Ok(_) => Ok(Wakeup::Progress),
            Err(_) => Err(CloseReason::Reset),
        }
    };
    or(response, or(cancelled, read)).await
}

/// Waits until memory has been released, if a request waits for it, and forever otherwise.
pub async fn wait_for_memory(
    shared: &Shared,
    is_waiting_for_memory: bool,
) -> Result<Wakeup, CloseReason> {
    if !is_waiting_for_memory {
        return pending().await;
    }
    count(&shared.counters.waits_for_pipeline_memory);
    shared.pipeline_memory_released.wait().await;
    Ok(Wakeup::Progress)
}

/// Waits until new requests are rejected because of a graceful shutdown, if input waits for room in the queue, and forever
/// otherwise: rejections need no room.
pub async fn wait_for_rejection(
    shared: &Shared,
    has_waiting_input: bool,
) -> Result<Wakeup, CloseReason> {
    if !has_waiting_input {
        return pending().await;
    }
    shared.rejection_started().await;
    Ok(Wakeup::Progress)
}

/// Waits until the next batch of requests may start, if a time is known, and forever otherwise.
pub async fn wait_for_start_gate(shared: &Shared, gate: &StartGate) -> Result<Wakeup, CloseReason> {
    match gate.opens_at() {
        Some(at) => Timer::at(shared.clock.instant(at)).await,
        None => pending().await,
    };
    Ok(Wakeup::Progress)
}

/// Waits until a write is due that shows whether the client has left, if its input is left unread, and forever otherwise.
pub async fn wait_for_write_due(
    shared: &Shared,
    gate: &StartGate,
    backlog: &InputBacklog,
) -> Result<Wakeup, CloseReason> {
    if !backlog.has_unread_input() {
        return pending().await;
    }
    Timer::at(shared.clock.instant(gate.write_due_at())).await;
    Ok(Wakeup::WriteDue)
}

impl ClientConnection {
    /// Writes a message that has no effect. If the client has closed its connection, its system responds with a reset.
    pub(super) async fn write_without_effect(&mut self) -> Result<(), CloseReason> {
        let mut out = Vec::new();
        backend::put_session_parameter(&mut out);
        self.write(&out).await
    }

    /// Sends a request to the dispatcher. Returns whether the dispatcher accepted it, which it does not once it has
    /// ended.
    pub(super) async fn dispatch(
        &self,
        request: ClientRequest,
        response_target: ResponseTarget,
    ) -> bool {
        let message = Message::Request {
            request,
            response_target,
        };
        self.shared.dispatcher.send(message).await.is_ok()
    }

    /// Notifies the dispatcher that no responses to these requests are needed any more.
    pub(super) async fn notify_cancelled(&self, requests: Vec<RequestId>) {
        for request in requests {
            let message = Message::RequestCancelled { request };
            // Sending fails only when the dispatcher has ended, and the request with it.
            let _ = self.shared.dispatcher.send(message).await;
        }
    }
}
