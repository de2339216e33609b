//! A client's simple queries: carries out what its queue decides. The order of things is the queue's; here are the bytes,
//! the decider's replies, and an eye on the client.

use super::connection::Client;
use super::reading::read_ahead;
use super::responses::{put_answer, put_failure};
use crate::messages::{CancellationFlag, FinalResponse, Message, ResponseTarget};
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use async_channel::{Receiver, Sender};
use futures_lite::future::or;
use reelrill_pg_protocol::{backend, code, frame};
use reelrill_pg_session::Wrong;
use reelrill_pg_session::admit::{Admitted, Named};
use reelrill_pg_session::bound::{Ask, Simple};
use reelrill_pg_session::queue::{Limits, Output, Queue};
use reelrill_routing::RequestId;
use std::rc::Rc;

/// What is written at once, so that many answers do not pile up.
const PIECE: usize = 64 * 1024;

/// A request that is out.
struct Part {
    number: u64,
    request: RequestId,
    left: CancellationFlag,
}

/// What is said without an endpoint.
enum Said {
    /// The answer to an empty query. The front sends clients once it has come: only a router that can serve says so.
    Ready,
    Complete(&'static str),
    Wrong {
        code: &'static str,
        why: String,
    },
}

pub struct Simples {
    queue: Queue<FinalResponse, Said>,
    parts: Vec<Part>,
    to: Sender<(u64, FinalResponse)>,
    answers: Receiver<(u64, FinalResponse)>,
}

/// Why the client's task goes on.
enum Woken {
    FinalResponse(u64, FinalResponse),
    Cancelled,
    Ready,
    Read(std::io::Result<usize>),
}

impl Simples {
    pub fn new() -> Simples {
        let limits = Limits::default();
        // Room for those that are out, and for those that were called off and answered at the same moment.
        let (to, answers) = async_channel::bounded(limits.running * 2);
        Simples {
            queue: Queue::new(limits),
            parts: Vec::new(),
            to,
            answers,
        }
    }
}

impl Client {
    /// Serves simple queries until nothing waits; the buffer begins with one. What stands behind them that is none is
    /// left there.
    pub(super) async fn run_simple(&mut self) -> Result<(), CloseReason> {
        self.unproven = None;
        self.cancellation.reset();
        let ended = self.serve_simple().await;
        // Only a client that has gone, or does not read its answers, leaves requests behind.
        let parts = std::mem::take(&mut self.simple.parts);
        parts.iter().for_each(|p| p.left.raise());
        for part in parts {
            let _ = self
                .shared
                .dispatcher
                .send(Message::ClientLeft {
                    request: part.request,
                })
                .await;
        }
        ended
    }

    async fn serve_simple(&mut self) -> Result<(), CloseReason> {
        let mut out = Vec::new();
        loop {
            self.feed_simple();
            // Its end may stand behind what it has sent: nothing is begun for one that has gone.
            self.look()?;
            if !self.simple.queue.is_empty() && self.has_left() {
                return Err(CloseReason::LeftWaiting);
            }
            self.feed_simple();
            while let Ok((part, reply)) = self.simple.answers.try_recv() {
                self.finish_simple(part, reply);
            }
            self.start_simple().await;
            self.speak_simple(&mut out);
            if !out.is_empty() {
                self.write(&out).await?;
                out.clear();
                // What came meanwhile is looked at before the next wait.
                continue;
            }
            if self.simple.queue.is_empty() {
                return Ok(());
            }
            let reply = async {
                match self.simple.answers.recv().await {
                    Ok((part, reply)) => Woken::FinalResponse(part, reply),
                    // The client itself holds the other end.
                    Err(_) => std::future::pending().await,
                }
            };
            let cancelled = async {
                self.cancellation.wait().await;
                Woken::Cancelled
            };
            let shared = self.shared.clone();
            let ready = async {
                if shared.ready.is_raised() {
                    std::future::pending::<()>().await;
                }
                shared.ready.wait().await;
                Woken::Ready
            };
            let read = async {
                Woken::Read(
                    read_ahead(
                        &self.shared,
                        &mut self.buffer,
                        &self.stream,
                        &self.late_reading,
                    )
                    .await,
                )
            };
            match or(reply, or(cancelled, or(ready, read))).await {
                Woken::FinalResponse(part, reply) => self.finish_simple(part, reply),
                Woken::Cancelled => {
                    self.cancellation.reset();
                    if let Some(part) = self.simple.queue.first_open() {
                        self.call_off_simple(part).await;
                    }
                }
                Woken::Ready | Woken::Read(Ok(1..)) => {}
                Woken::Read(Ok(0)) => return Err(CloseReason::LeftWaiting),
                Woken::Read(Err(_)) => return Err(CloseReason::Reset),
            }
        }
    }

    /// Gives the queue the whole queries at the head of the buffer, until it is full or something else comes.
    fn feed_simple(&mut self) {
        while !self.simple.queue.is_full() {
            let (text, len) = match frame::command(self.buffer.bytes(), self.pipeline.is_some()) {
                Ok(Some((b'Q', body, len))) => match backend::only_text(body) {
                    Some(text) => (text.to_owned(), len),
                    None => return,
                },
                _ => return,
            };
            self.buffer.consume(len);
            self.shared.last_arrival.set(self.shared.clock.now());
            self.on_query(text, len);
        }
    }

    fn on_query(&mut self, text: String, len: usize) {
        if let Some(pipeline) = &mut self.pipeline {
            pipeline.on_simple();
        }
        if text
            .trim_matches(|c: char| c.is_whitespace() || c == ';')
            .is_empty()
        {
            return self.simple.queue.say(Said::Ready);
        }
        match self.read_request(&text) {
            Ok((admitted, ask)) => {
                self.simple
                    .queue
                    .request(admitted, ask, self.shared.clock.now(), len);
            }
            Err(e) => {
                let said = match self.pipeline.as_mut().and_then(|p| p.simple(&text)) {
                    Some(Ok(tag)) => Said::Complete(tag),
                    Some(Err(e)) => Said::Wrong {
                        code: e.code(),
                        why: e.to_string(),
                    },
                    // Whatever it is, a simple query that is none of ours has this code.
                    None => Said::Wrong {
                        code: code::SYNTAX,
                        why: e.to_string(),
                    },
                };
                self.simple.queue.say(said);
            }
        }
    }

    fn read_request(&self, text: &str) -> Result<(Admitted, Rc<Ask>), Wrong> {
        let (named, digits) = Named::simple(text)?;
        let admitted = self.shared.common.catalog.admit(&named)?;
        Ok((
            admitted,
            Rc::new(Ask::Simple(Simple::new(text.as_bytes().to_vec(), digits))),
        ))
    }

    async fn start_simple(&mut self) {
        while let Some(start) = self.simple.queue.start() {
            let left = CancellationFlag::default();
            let incoming = self.incoming(&start.admitted, start.ask, start.arrived, left.clone());
            let (number, request) = (start.part, incoming.request);
            self.simple.parts.push(Part {
                number,
                request,
                left,
            });
            let reply = ResponseTarget {
                part: number,
                to: self.simple.to.clone(),
            };
            if self
                .shared
                .dispatcher
                .send(Message::Request { incoming, reply })
                .await
                .is_err()
            {
                self.finish_simple(number, FinalResponse::Failed("the router is ending"));
            }
        }
    }

    fn finish_simple(&mut self, part: u64, reply: FinalResponse) {
        self.simple.parts.retain(|p| p.number != part);
        self.simple.queue.finish(part, reply);
    }

    /// Its client calls a request off: it fails at once, and the decider owes it nothing any more.
    async fn call_off_simple(&mut self, part: u64) {
        let at = self.simple.parts.iter().position(|p| p.number == part);
        self.simple.queue.finish(part, FinalResponse::Cancelled);
        // One that has not been started is only answered.
        if let Some(part) = at.map(|at| self.simple.parts.swap_remove(at)) {
            part.left.raise();
            let _ = self
                .shared
                .dispatcher
                .send(Message::ClientLeft {
                    request: part.request,
                })
                .await;
        }
    }

    /// Puts what can be said already, up to a piece of it.
    fn speak_simple(&mut self, out: &mut Vec<u8>) {
        let is_ready = self.shared.ready.is_raised();
        while out.len() < PIECE
            && let Some(output) = self
                .simple
                .queue
                .output(|s| is_ready || !matches!(s, Said::Ready))
        {
            match output {
                Output::Answer(FinalResponse::Served(answer)) => put_answer(out, &answer),
                Output::Answer(other) => put_failure(out, &other),
                Output::Said(Said::Ready) => reelrill_pg_protocol::put(out, b'I', &[]),
                Output::Said(Said::Complete(tag)) => backend::put_complete(out, tag),
                Output::Said(Said::Wrong { code, why }) => {
                    count(&self.shared.counters.invalid_statements);
                    backend::put_error(out, false, code, &why, None);
                }
            }
            backend::put_ready(out);
        }
    }
}
