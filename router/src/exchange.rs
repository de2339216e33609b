//! What passes between the front, the decider, the peers and the roster: plain data that names no
//! front protocol, so that another one can be put before the same decisions.

use reelrill::{Ending, Entry, ListKind, MemberId, RequestId, Span, Standing, Time};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;

/// What an instance is to be sent: the client's own words, in which only the waiting time may change.
#[derive(Debug)]
pub struct Statement {
    text: Vec<u8>,
    wait_digits: Range<usize>,
}

impl Statement {
    /// `wait_digits` is where the waiting time, in milliseconds, stands in `text`.
    pub fn new(text: Vec<u8>, wait_digits: Range<usize>) -> Statement {
        Statement { text, wait_digits }
    }

    /// The text with the time that the router will wait, in whole milliseconds.
    pub fn with_wait(&self, wait: Span) -> Vec<u8> {
        let mut text = Vec::with_capacity(self.text.len() + 8);
        text.extend_from_slice(&self.text[..self.wait_digits.start]);
        text.extend_from_slice((wait / 1_000_000).max(1).to_string().as_bytes());
        text.extend_from_slice(&self.text[self.wait_digits.end..]);
        text
    }
}

/// A client's request as a front has read it.
#[derive(Debug)]
pub struct Incoming {
    /// The router's own name for this request: clients may name theirs alike.
    pub request: RequestId,
    /// The client's name for it, which instances get to see.
    pub id: u64,
    pub class: u32,
    pub group: u32,
    pub session: Option<Arc<str>>,
    /// The position that a session read must see.
    pub after: Option<Time>,
    pub is_retry: bool,
    /// How long the client waits from `arrived` on.
    pub wait: Span,
    pub arrived: Time,
    pub statement: Statement,
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum Reply {
    Served(Answer),
    Refused { retry_after: Option<Span> },
    Failed(&'static str),
}

/// A whole answer as an instance gave it.
#[derive(Debug)]
pub struct Answer {
    pub columns: Vec<u8>,
    pub row: Vec<u8>,
    pub tag: Vec<u8>,
}

/// How an attempt ended on its connection.
#[derive(Debug)]
pub struct Ended {
    pub ending: Ending,
    pub standing: Standing,
    pub report: Standing,
    pub answer: Option<Answer>,
}

impl Ended {
    /// An ending that came without a word from the instance.
    pub fn silent(ending: Ending) -> Ended {
        Ended { ending, standing: Standing::default(), report: Standing::default(), answer: None }
    }
}

/// One line of the list of instances and where to dial it.
#[derive(Debug, Clone)]
pub struct Listed {
    pub entry: Entry,
    pub endpoint: SocketAddr,
}

/// What goes into the decider's mailbox.
#[derive(Debug)]
pub enum Message {
    Request { incoming: Incoming, reply: async_channel::Sender<Reply> },
    ClientLeft { request: RequestId },
    Ended { request: RequestId, attempt: u32, ended: Ended },
    Probed { member: MemberId, ended: Ended },
    List { kind: ListKind, listed: Vec<Listed> },
}

/// One attempt as a peer gets it.
#[derive(Debug)]
pub struct Attempt {
    pub request: RequestId,
    pub number: u32,
    pub statement: Rc<Statement>,
    /// When the router stops waiting.
    pub until: Time,
    /// Closed once the decider has given the attempt up.
    pub given_up: async_channel::Receiver<()>,
}
