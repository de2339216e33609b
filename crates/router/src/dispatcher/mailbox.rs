//! The dispatcher's mailbox: two bounded queues that are read as one.
//!
//! Control messages, which are changes of the endpoint list and the start of a graceful shutdown, are read before
//! requests and results: a burst of requests must not delay the endpoint list, which decides where they may be sent.
//! Each queue keeps its order. Messages are never dropped; a sender waits while its queue is full.

use crate::messages::Message;
use async_channel::{Receiver, RecvError, SendError, Sender};
use futures_lite::future::or;

/// The capacity of the queue for requests, cancellations and results.
const REQUEST_CAPACITY: usize = 1024;
/// The capacity of the queue for control messages, which are rare.
const CONTROL_CAPACITY: usize = 16;

/// Creates a mailbox and its sender.
pub fn mailbox() -> (MailboxSender, Mailbox) {
    let (control_sender, control) = async_channel::bounded(CONTROL_CAPACITY);
    let (request_sender, requests) = async_channel::bounded(REQUEST_CAPACITY);
    let sender = MailboxSender {
        control: control_sender,
        requests: request_sender,
    };
    (sender, Mailbox { control, requests })
}

/// Sends messages to the dispatcher, each through the queue for its kind.
#[derive(Debug)]
pub struct MailboxSender {
    control: Sender<Message>,
    requests: Sender<Message>,
}

impl MailboxSender {
    /// Sends a message, and waits while its queue is full.
    ///
    /// # Errors
    /// Returns the message if the dispatcher has ended.
    pub async fn send(&self, message: Message) -> Result<(), SendError<Message>> {
        let queue = match message {
            Message::EndpointList { .. } | Message::ShutdownStarted => &self.control,
            Message::Request { .. }
            | Message::RequestCancelled { .. }
            | Message::AttemptEnded { .. }
            | Message::HealthCheckEnded { .. } => &self.requests,
        };
        queue.send(message).await
    }
}

/// Receives the dispatcher's messages. Both queues are closed at the same time, since one sender owns both.
pub struct Mailbox {
    control: Receiver<Message>,
    requests: Receiver<Message>,
}

impl Mailbox {
    /// Returns the next message, or `None` if both queues are empty.
    pub fn try_next(&self) -> Option<Message> {
        let control = self.control.try_recv();
        control.or_else(|_| self.requests.try_recv()).ok()
    }

    /// Waits for the next message.
    ///
    /// # Errors
    /// Fails if both queues are empty and the sender was dropped.
    pub async fn next(&self) -> Result<Message, RecvError> {
        match self.try_next() {
            Some(message) => Ok(message),
            None => or(self.control.recv(), self.requests.recv()).await,
        }
    }
}

#[cfg(test)]
mod tests;
