//! A client that speaks extended queries: carries out what its plan decides. The order of things, what is skipped
//! and what is owed is the plan's; here are the bytes, the decider's replies, and an eye on the client.

use super::connection::Client;
use super::reading::read_ahead;
use super::responses::put_failure;
use crate::messages::{CancellationFlag, FinalResponse, Message, ResponseTarget};
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::shared::Shared;
use async_channel::{Receiver, Sender};
use futures_lite::future::or;
use reelrill_pg_protocol::backend::{self, Column};
use reelrill_pg_protocol::frontend::{self, Command};
use reelrill_pg_protocol::{Format, frame, put};
use reelrill_pg_session::Wrong;
use reelrill_pg_session::bound::convert;
use reelrill_pg_session::plan::{Output, Plan};
use reelrill_routing::RequestId;

/// What is written at once, so that a long pipeline's answers do not pile up.
const PIECE: usize = 64 * 1024;

/// A part that is out.
struct Part {
    number: u64,
    request: RequestId,
    left: CancellationFlag,
    /// The format that its client wants its value in.
    result: Format,
}

pub struct Pipeline {
    plan: Plan<FinalResponse>,
    parts: Vec<Part>,
    to: Sender<(u64, FinalResponse)>,
    answers: Receiver<(u64, FinalResponse)>,
    /// The type of the one column.
    data: u32,
}

/// Why the client's task goes on.
enum Woken {
    FinalResponse(u64, FinalResponse),
    Cancelled,
    Read(std::io::Result<usize>),
}

impl Pipeline {
    pub fn new(shared: &Shared) -> Pipeline {
        // Room for the parts that are out, and for those that were called off and answered at the same moment.
        let (to, answers) = async_channel::bounded(shared.common.limits.reads * 4 + 16);
        let data = shared.config.edge.extended.data_type.oid();
        Pipeline {
            plan: Plan::new(shared.common.clone()),
            parts: Vec::new(),
            to,
            answers,
            data,
        }
    }

    /// Its client would miss something if the connection were closed now.
    pub fn has_state(&self) -> bool {
        self.plan.statements() > 0 || self.plan.is_open()
    }

    pub fn on_simple(&mut self) {
        self.plan.on_simple();
    }

    pub fn simple(&mut self, text: &str) -> Option<Result<&'static str, Wrong>> {
        self.plan.simple(text)
    }

    /// The reply in the format that its client wants.
    fn in_format(&self, reply: FinalResponse, wanted: Format) -> FinalResponse {
        let FinalResponse::Served(mut answer) = reply else {
            return reply;
        };
        let given = answer.column.as_ref().map_or(wanted, |c| c.format);
        let Some(value) = convert(&answer.value, self.data, given, wanted) else {
            return FinalResponse::Failed(
                "it has run; its value can't be given in the format asked for",
            );
        };
        if let std::borrow::Cow::Owned(value) = value {
            answer.value = value;
        }
        FinalResponse::Served(answer)
    }

    /// A part has its reply. Returns the requests that are owed nothing any more.
    fn on_reply(&mut self, part: u64, reply: FinalResponse) -> Vec<RequestId> {
        let Some(at) = self.parts.iter().position(|p| p.number == part) else {
            return Vec::new();
        };
        let result = self.parts.swap_remove(at).result;
        let reply = self.in_format(reply, result);
        let served = matches!(reply, FinalResponse::Served(_));
        let called_off = self.plan.finish(part, reply, served);
        let is_off = |p: &mut Part| called_off.contains(&p.number);
        let called_off = self.parts.extract_if(.., is_off);
        called_off
            .inspect(|p| p.left.raise())
            .map(|p| p.request)
            .collect()
    }
}

impl Client {
    /// Runs a pipeline until nothing waits; the buffer begins with one of its commands. What stands behind it that
    /// is none of its commands is left there.
    pub(super) async fn run_pipeline(&mut self) -> Result<(), CloseReason> {
        self.unproven = None;
        self.cancellation.reset();
        let ended = self.flow().await;
        let Some(pipeline) = &mut self.pipeline else {
            return ended;
        };
        // Only a client that has gone leaves parts behind.
        let parts = std::mem::take(&mut pipeline.parts);
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

    async fn flow(&mut self) -> Result<(), CloseReason> {
        let (mut out, mut is_due) = (Vec::new(), false);
        loop {
            self.feed();
            // Its end may stand behind what it has sent: nothing is begun for one that has gone.
            self.look()?;
            if self.has_left() && self.pipeline.as_ref().is_some_and(|p| !p.plan.is_idle()) {
                return Err(CloseReason::LeftWaiting);
            }
            self.feed();
            self.take_replies().await;
            self.start_parts().await;
            // One write for what belongs together: a BindComplete goes with the answer behind it.
            is_due |= self.speak(&mut out);
            let is_idle = self.pipeline.as_ref().is_none_or(|p| p.plan.is_idle());
            if !out.is_empty() && (is_due || is_idle || out.len() >= PIECE) {
                self.write(&out).await?;
                out.clear();
                is_due = false;
                // What came meanwhile is looked at before the next wait.
                continue;
            }
            let Some(pipeline) = &mut self.pipeline else {
                return Ok(());
            };
            if is_idle {
                return Ok(());
            }
            let reply = async {
                match pipeline.answers.recv().await {
                    Ok((part, reply)) => Woken::FinalResponse(part, reply),
                    // The pipeline itself holds the other end.
                    Err(_) => std::future::pending().await,
                }
            };
            let cancelled = async {
                self.cancellation.wait().await;
                Woken::Cancelled
            };
            // What is pipelined stays in the buffer, which must not grow without an end.
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
            match or(reply, or(cancelled, read)).await {
                Woken::FinalResponse(part, reply) => self.finish(part, reply).await,
                Woken::Cancelled => {
                    self.cancellation.reset();
                    let open = self.pipeline.as_ref().and_then(|p| p.plan.first_open());
                    if let Some((part, _)) = open {
                        self.call_off(part).await;
                    }
                }
                Woken::Read(Ok(0)) => return Err(CloseReason::LeftWaiting),
                Woken::Read(Ok(_)) => {}
                Woken::Read(Err(_)) => return Err(CloseReason::Reset),
            }
        }
    }

    /// Gives the plan the whole commands at the head of the buffer, until it is full or something comes that is for
    /// the time after the pipeline.
    fn feed(&mut self) {
        let Some(pipeline) = &mut self.pipeline else {
            return;
        };
        let mut any = false;
        while !pipeline.plan.is_full() {
            let (command, len) = match frame::command(self.buffer.bytes(), true) {
                Ok(Some((tag, body, len))) => match frontend::read(tag, body) {
                    Ok(Command::Terminate | Command::Query(_)) | Err(_) => break,
                    Ok(command) => (command, len),
                },
                Ok(None) | Err(_) => break,
            };
            pipeline.plan.command(&command, rand::random());
            self.buffer.consume(len);
            any = true;
        }
        if any {
            self.shared.last_arrival.set(self.shared.clock.now());
        }
    }

    async fn take_replies(&mut self) {
        while let Some((part, reply)) = self
            .pipeline
            .as_ref()
            .and_then(|p| p.answers.try_recv().ok())
        {
            self.finish(part, reply).await;
        }
    }

    async fn finish(&mut self, part: u64, reply: FinalResponse) {
        let Some(pipeline) = &mut self.pipeline else {
            return;
        };
        for request in pipeline.on_reply(part, reply) {
            let _ = self
                .shared
                .dispatcher
                .send(Message::ClientLeft { request })
                .await;
        }
    }

    /// Its client calls a part off: it fails at once, and the decider owes it nothing any more.
    async fn call_off(&mut self, part: u64) {
        let Some(pipeline) = &mut self.pipeline else {
            return;
        };
        let mut requests = Vec::new();
        match pipeline.parts.iter().find(|p| p.number == part) {
            Some(out) => {
                out.left.raise();
                requests.push(out.request);
                requests.extend(pipeline.on_reply(part, FinalResponse::Cancelled));
            }
            // It has not been started, and nothing behind it has.
            None => drop(pipeline.plan.finish(part, FinalResponse::Cancelled, false)),
        }
        for request in requests {
            let _ = self
                .shared
                .dispatcher
                .send(Message::ClientLeft { request })
                .await;
        }
    }

    async fn start_parts(&mut self) {
        while let Some(start) = self.pipeline.as_mut().and_then(|p| p.plan.start()) {
            let left = CancellationFlag::default();
            let now = self.shared.clock.now();
            let incoming = self.incoming(&start.admitted, start.ask, now, left.clone());
            let Some(pipeline) = &mut self.pipeline else {
                return;
            };
            let (request, result) = (incoming.request, start.result);
            pipeline.parts.push(Part {
                number: start.part,
                request,
                left,
                result,
            });
            let reply = ResponseTarget {
                part: start.part,
                to: pipeline.to.clone(),
            };
            if self
                .shared
                .dispatcher
                .send(Message::Request { incoming, reply })
                .await
                .is_err()
            {
                self.finish(start.part, FinalResponse::Failed("the router is ending"))
                    .await;
            }
        }
    }

    /// Puts what can be said already, up to a piece of it. Says whether the client waits for it: it ends with a
    /// Sync or a Flush, or there was an error.
    fn speak(&mut self, out: &mut Vec<u8>) -> bool {
        let Some(pipeline) = &mut self.pipeline else {
            return false;
        };
        let mut is_due = false;
        while out.len() < PIECE
            && let Some(output) = pipeline.plan.output()
        {
            match output {
                Output::Parsed => put(out, b'1', &[]),
                Output::Bound => put(out, b'2', &[]),
                Output::Closed => put(out, b'3', &[]),
                Output::NoData => put(out, b'n', &[]),
                Output::Empty => put(out, b'I', &[]),
                Output::Parameters(types) => backend::put_parameters(out, &types),
                Output::Column(format) => {
                    backend::put_column(out, &Column::new("data", pipeline.data, format));
                }
                Output::Complete(tag) => backend::put_complete(out, tag),
                Output::Answer {
                    answer: FinalResponse::Served(answer),
                    suspended,
                } => {
                    backend::put_value(out, &answer.value);
                    if suspended {
                        put(out, b's', &[]);
                    } else {
                        backend::put_complete(out, &answer.tag);
                    }
                }
                Output::Answer { answer, .. } => {
                    put_failure(out, &answer);
                    is_due = true;
                }
                Output::Wrong(wrong) => {
                    count(&self.shared.counters.invalid_statements);
                    backend::put_error(out, false, wrong.code(), &wrong.to_string(), None);
                    is_due = true;
                }
                Output::Flush => is_due = true,
                Output::Ready => {
                    backend::put_ready(out);
                    is_due = true;
                }
            }
        }
        is_due
    }
}
