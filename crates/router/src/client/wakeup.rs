//! What a client's task waits for while requests of its client are outstanding, and how it tells the dispatcher.

use super::connection::Client;
use crate::messages::{ClientRequest, FinalResponse, Message, ResponseTarget};
use crate::observability::close_reason::CloseReason;
use crate::runtime::shared::CancellationSignal;
use futures_lite::future::or;
use reelrill_routing::RequestId;
use std::io;

/// Why the client's task goes on.
pub enum Wakeup {
    /// A part has its response.
    Response(u64, FinalResponse),
    /// The client cancels what it waits for.
    CancelRequested,
    /// More has been read, or the router can serve now.
    Progress,
}

/// Waits for a response, a cancellation or more input. An error: the client has gone.
pub async fn next_wakeup(
    response: impl Future<Output = (u64, FinalResponse)>,
    cancellation: &CancellationSignal,
    read: impl Future<Output = io::Result<usize>>,
) -> Result<Wakeup, CloseReason> {
    let response = async {
        let (part, response) = response.await;
        Ok(Wakeup::Response(part, response))
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

impl Client {
    /// Sends a request to the dispatcher. Returns whether it was taken: not when the router is ending.
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

    /// Tells the dispatcher that these requests are owed nothing any more.
    pub(super) async fn withdraw(&self, requests: Vec<RequestId>) {
        for request in requests {
            let message = Message::RequestCancelled { request };
            // A dispatcher that has ended has forgotten the request already.
            let _ = self.shared.dispatcher.send(message).await;
        }
    }
}
