//! Tests of the order in which messages are read.

use super::{Mailbox, mailbox};
use crate::messages::Message;
use futures_lite::future::block_on;
use reelrill_routing::ListKind;

/// Reads the mailbox to its end. Returns a label for each message: `list`, `shutdown`, or the id of the cancelled
/// request.
fn read_all(mailbox: &Mailbox) -> Vec<String> {
    std::iter::from_fn(|| block_on(mailbox.next()).ok())
        .map(|message| label(&message))
        .collect()
}

fn label(message: &Message) -> String {
    match message {
        Message::EndpointList { .. } => "list".to_owned(),
        Message::ShutdownStarted => "shutdown".to_owned(),
        Message::RequestCancelled { request } => request.to_string(),
        other => format!("{other:?}"),
    }
}

fn list() -> Message {
    Message::EndpointList {
        kind: ListKind::Changes,
        listed: Vec::new(),
    }
}

/// Guards against a burst of requests that delays a change of the endpoint list or the start of a shutdown.
#[test]
fn reads_control_messages_before_a_thousand_waiting_requests() {
    let (sender, mailbox) = mailbox();
    for request in 0..1000 {
        block_on(sender.send(Message::RequestCancelled { request })).unwrap();
    }
    let next = || mailbox.try_next().map(|message| label(&message));
    assert_eq!(next().as_deref(), Some("0"));
    block_on(sender.send(list())).unwrap();
    assert_eq!(next().as_deref(), Some("list"));
    assert_eq!(next().as_deref(), Some("1"));
    block_on(sender.send(Message::ShutdownStarted)).unwrap();
    let received = block_on(mailbox.next()).map(|message| label(&message));
    assert_eq!(received.as_deref(), Ok("shutdown"));
    assert_eq!(next().as_deref(), Some("2"));
}

/// Guards against reordered messages, and against messages lost because the sender was dropped before they were read.
#[test]
fn reads_each_queue_in_order_and_to_its_end_after_the_sender_is_dropped() {
    let (sender, mailbox) = mailbox();
    for request in [1, 2] {
        block_on(sender.send(Message::RequestCancelled { request })).unwrap();
    }
    block_on(sender.send(list())).unwrap();
    block_on(sender.send(Message::ShutdownStarted)).unwrap();
    drop(sender);
    assert_eq!(read_all(&mailbox), ["list", "shutdown", "1", "2"]);
}
