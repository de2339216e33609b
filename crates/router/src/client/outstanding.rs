//! Holds the requests of one client that the dispatcher is processing, and the channel for their responses.
//!
//! Owns the cancellation flag of each. Must never drop a request whose client has disconnected without raising its
//! flag.

use crate::messages::{CancellationFlag, ClientRequest, FinalResponse, ResponseTarget};
use async_channel::{Receiver, Sender};
use reelrill_pg_protocol::Format;
use reelrill_routing::{Nanos, RequestId};

/// A request that has been sent to the dispatcher and has no final response yet.
pub struct OutstandingRequest {
    /// The request's number among those of its client.
    number: u64,
    /// The id that the router assigned.
    id: RequestId,
    cancelled: CancellationFlag,
    /// The value's format that the client requested.
    pub result_format: Format,
    /// The processor time that the request has taken, in nanoseconds.
    pub processing_time: Nanos,
}

/// All outstanding requests of one client and one kind of query.
pub struct OutstandingRequests {
    requests: Vec<OutstandingRequest>,
    sender: Sender<(u64, FinalResponse)>,
    responses: Receiver<(u64, FinalResponse)>,
}

impl OutstandingRequests {
    /// Creates an empty set. `capacity` is the number of responses that the channel can hold. It must cover all
    /// requests that may be outstanding at once, and those that are abandoned just when their responses are sent.
    pub fn new(capacity: usize) -> OutstandingRequests {
        let (sender, responses) = async_channel::bounded(capacity);
        OutstandingRequests {
            requests: Vec::new(),
            sender,
            responses,
        }
    }

    /// Adds a request with its number among those of the client. Returns the destination of its response.
    pub fn insert(
        &mut self,
        number: u64,
        request: &ClientRequest,
        result_format: Format,
        processing_time: Nanos,
    ) -> ResponseTarget {
        self.requests.push(OutstandingRequest {
            number,
            id: request.id,
            cancelled: request.cancelled.clone(),
            result_format,
            processing_time,
        });
        ResponseTarget {
            number,
            sender: self.sender.clone(),
        }
    }

    /// Returns whether no request is outstanding.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Removes and returns the request whose response was received, if it is still outstanding.
    pub fn remove(&mut self, number: u64) -> Option<OutstandingRequest> {
        let index = self.requests.iter().position(|r| r.number == number)?;
        Some(self.requests.swap_remove(index))
    }

    /// Raises the flag of a request that its client cancels; the request stays outstanding. Returns the request's id,
    /// or `None` if the request is not outstanding.
    pub fn cancel(&self, number: u64) -> Option<RequestId> {
        let request = self.requests.iter().find(|r| r.number == number)?;
        request.cancelled.raise();
        Some(request.id)
    }

    /// Removes the requests with these numbers, whose responses are not needed any more, and raises their flags.
    /// Returns their ids.
    pub fn abandon(&mut self, numbers: &[u64]) -> Vec<RequestId> {
        self.abandon_if(|number| numbers.contains(&number))
    }

    /// Removes all requests and raises their flags. Returns their ids.
    pub fn abandon_all(&mut self) -> Vec<RequestId> {
        self.abandon_if(|_| true)
    }

    fn abandon_if(&mut self, is_abandoned: impl Fn(u64) -> bool) -> Vec<RequestId> {
        self.requests
            .extract_if(.., |request| is_abandoned(request.number))
            .map(|request| {
                request.cancelled.raise();
                request.id
            })
            .collect()
    }

    /// Returns the next response with its request's number, if one has been received.
    pub fn try_response(&self) -> Option<(u64, FinalResponse)> {
        self.responses.try_recv().ok()
    }

    /// Waits for the next response and returns it with its request's number.
    pub async fn response(&self) -> (u64, FinalResponse) {
        match self.responses.recv().await {
            Ok(response) => response,
            // Unreachable: `self.sender` keeps the channel open.
            Err(_) => std::future::pending().await,
        }
    }
}
