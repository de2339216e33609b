//! The dispatcher's mailbox: two bounded queues that are read as one.
//!
//! Control messages, which are changes of the endpoint list and the start of the shutdown, are read before requests
//! and attempt results: a burst of requests must not hold up the list that decides where they may go. Within each
//! queue the order of sending is kept. A message is never dropped; a sender waits while its queue is full.

use crate::messages::Message;
use async_channel::{Receiver, RecvError, SendError, Sender};
use futures_lite::future::or;

/// Requests, departures of clients, and results that may wait.
const REQUEST_CAPACITY: usize = 1024;
/// Control messages that may wait; they are rare.
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

/// Puts each message into the queue that it belongs to.
#[derive(Debug)]
pub struct MailboxSender {
    control: Sender<Message>,
    requests: Sender<Message>,
}

impl MailboxSender {
    /// Sends a message, and waits while its queue is full. An error: the dispatcher has ended.
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

/// The receiving side. The two queues are closed together, since one sender owns both.
pub struct Mailbox {
    control: Receiver<Message>,
    requests: Receiver<Message>,
}

impl Mailbox {
    /// The next message, if one waits.
    pub fn try_next(&self) -> Option<Message> {
        let control = self.control.try_recv();
        control.or_else(|_| self.requests.try_recv()).ok()
    }

    /// Waits for the next message. An error: nobody is left to send one.
    pub async fn next(&self) -> Result<Message, RecvError> {
        match self.try_next() {
            Some(message) => Ok(message),
            None => or(self.control.recv(), self.requests.recv()).await,
        }
    }
}

#[cfg(test)]
mod tests;
