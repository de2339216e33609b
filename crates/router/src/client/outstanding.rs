//! The requests of one client that the dispatcher works on, and the channel on which their responses come.
//!
//! Owns the cancellation flag of each. Must never drop a request whose client has gone without raising its flag.

use crate::messages::{CancellationFlag, ClientRequest, FinalResponse, ResponseTarget};
use async_channel::{Receiver, Sender};
use reelrill_pg_protocol::Format;
use reelrill_routing::RequestId;

/// A request that has been sent to the dispatcher and has no final response yet.
pub struct OutstandingRequest {
    part: u64,
    request: RequestId,
    left: CancellationFlag,
    /// The format that the client wants the value in.
    pub result_format: Format,
}

/// All outstanding requests of one client and one kind of query.
pub struct OutstandingRequests {
    requests: Vec<OutstandingRequest>,
    sender: Sender<(u64, FinalResponse)>,
    responses: Receiver<(u64, FinalResponse)>,
}

impl OutstandingRequests {
    /// `capacity` responses can wait: those of all that may be outstanding, and of those that were abandoned and
    /// answered at the same moment.
    pub fn new(capacity: usize) -> OutstandingRequests {
        let (sender, responses) = async_channel::bounded(capacity);
        OutstandingRequests {
            requests: Vec::new(),
            sender,
            responses,
        }
    }

    /// Adds a request that answers a part of what the client has sent. Returns where its response has to go.
    pub fn insert(
        &mut self,
        part: u64,
        request: &ClientRequest,
        result_format: Format,
    ) -> ResponseTarget {
        self.requests.push(OutstandingRequest {
            part,
            request: request.id,
            left: request.cancelled.clone(),
            result_format,
        });
        ResponseTarget {
            part,
            sender: self.sender.clone(),
        }
    }

    /// Removes a request that has its response, if it is still outstanding.
    pub fn remove(&mut self, part: u64) -> Option<OutstandingRequest> {
        let index = self.requests.iter().position(|r| r.part == part)?;
        Some(self.requests.swap_remove(index))
    }

    /// Raises the flag of a request that its client cancels; it stays outstanding. Returns the request's name.
    pub fn cancel(&self, part: u64) -> Option<RequestId> {
        let request = self.requests.iter().find(|r| r.part == part)?;
        request.left.raise();
        Some(request.request)
    }

    /// Removes requests that are owed nothing any more and raises their flags. Returns their names.
    pub fn abandon(&mut self, parts: &[u64]) -> Vec<RequestId> {
        self.abandon_if(|part| parts.contains(&part))
    }

    /// The same for all that are outstanding.
    pub fn abandon_all(&mut self) -> Vec<RequestId> {
        self.abandon_if(|_| true)
    }

    fn abandon_if(&mut self, is_abandoned: impl Fn(u64) -> bool) -> Vec<RequestId> {
        self.requests
            .extract_if(.., |request| is_abandoned(request.part))
            .map(|request| {
                request.left.raise();
                request.request
            })
            .collect()
    }

    /// The next response with its part, if one has come.
    pub fn try_response(&self) -> Option<(u64, FinalResponse)> {
        self.responses.try_recv().ok()
    }

    /// Waits for the next response.
    pub async fn response(&self) -> (u64, FinalResponse) {
        match self.responses.recv().await {
            Ok(response) => response,
            // Not while `sender` is open.
            Err(_) => std::future::pending().await,
        }
    }
}
