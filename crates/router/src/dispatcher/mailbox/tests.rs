use super::{Mailbox, mailbox};
use crate::messages::Message;
use futures_lite::future::block_on;
use reelrill_routing::ListKind;

/// The messages that are left, in short: `list`, or the number of the request whose client left.
fn read_all(mailbox: &Mailbox) -> Vec<String> {
    std::iter::from_fn(|| block_on(mailbox.next()).ok())
        .map(|message| name(&message))
        .collect()
}

fn name(message: &Message) -> String {
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

#[test]
fn a_list_change_is_read_before_a_thousand_waiting_requests() {
    let (sender, mailbox) = mailbox();
    for request in 0..1000 {
        block_on(sender.send(Message::RequestCancelled { request })).unwrap();
    }
    let next = || mailbox.try_next().map(|message| name(&message));
    assert_eq!(next().as_deref(), Some("0"));
    block_on(sender.send(list())).unwrap();
    assert_eq!(next().as_deref(), Some("list"));
    assert_eq!(next().as_deref(), Some("1"));
    block_on(sender.send(Message::ShutdownStarted)).unwrap();
    let waited_for = block_on(mailbox.next()).map(|message| name(&message));
    assert_eq!(waited_for.as_deref(), Ok("shutdown"));
    assert_eq!(next().as_deref(), Some("2"));
}

#[test]
fn each_queue_keeps_its_order_and_is_read_to_its_end_after_the_sender_is_gone() {
    let (sender, mailbox) = mailbox();
    for request in [1, 2] {
        block_on(sender.send(Message::RequestCancelled { request })).unwrap();
    }
    block_on(sender.send(list())).unwrap();
    block_on(sender.send(Message::ShutdownStarted)).unwrap();
    drop(sender);
    assert_eq!(read_all(&mailbox), ["list", "shutdown", "1", "2"]);
}
