//! A client's extended queries: carries out what its plan decides. The plan decides the order, what is skipped and what
//! is owed; here are the bytes, the dispatcher's responses, and the watch over the client.

use super::connection::Client;
use super::outstanding::OutstandingRequests;
use super::reading::read_ahead;
use super::responses::{WRITE_SIZE, put_failure};
use super::wakeup::{Wakeup, next_wakeup};
use crate::messages::FinalResponse;
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::shared::Shared;
use reelrill_pg_protocol::backend::{self, Column};
use reelrill_pg_protocol::frontend::{self, Command};
use reelrill_pg_protocol::{Format, frame, put_message};
use reelrill_pg_session::SessionError;
use reelrill_pg_session::endpoint_query::convert_format;
use reelrill_pg_session::extended::{ExtendedSession, Output};
use reelrill_routing::RequestId;
use std::borrow::Cow;

/// Responses that can wait in a client's channel: so many for each read that may run at once, and some for writes.
const RESPONSES_PER_READ: usize = 4;
const EXTRA_RESPONSES: usize = 16;

/// The prepared statements of one client and what it has pipelined.
pub struct ExtendedQueries {
    plan: ExtendedSession<FinalResponse>,
    outstanding: OutstandingRequests,
    /// The OID of the type of the one column.
    data_type: u32,
}

impl ExtendedQueries {
    /// Nothing prepared or pipelined yet.
    pub fn new(shared: &Shared) -> ExtendedQueries {
        let capacity = shared.session_resources.limits.reads * RESPONSES_PER_READ + EXTRA_RESPONSES;
        ExtendedQueries {
            plan: ExtendedSession::new(shared.session_resources.clone()),
            outstanding: OutstandingRequests::new(capacity),
            data_type: shared.config.extensions.extended.data_type.oid(),
        }
    }

    /// Whether its client would miss something if the connection were closed now.
    pub fn has_state(&self) -> bool {
        self.plan.statement_count() > 0 || self.plan.has_open_segment()
    }

    /// A simple query has come: it drops the unnamed statement and all portals.
    pub fn on_simple_query(&mut self) {
        self.plan.on_simple_query();
    }

    /// Runs a simple query that concerns the session's prepared statements alone. None: it is something else.
    pub fn run_session_statement(
        &mut self,
        text: &str,
    ) -> Option<Result<&'static str, SessionError>> {
        self.plan.run_utility_query(text)
    }

    /// The response in the format that its client wants.
    fn in_format(&self, response: FinalResponse, wanted: Format) -> FinalResponse {
        let FinalResponse::Served(mut answer) = response else {
            return response;
        };
        let given = answer.column.as_ref().map_or(wanted, |c| c.format);
        let Some(value) = convert_format(&answer.value, self.data_type, given, wanted) else {
            return FinalResponse::Failed(
                "it has run; its value can't be given in the format asked for",
            );
        };
        if let Cow::Owned(value) = value {
            answer.value = value;
        }
        FinalResponse::Served(answer)
    }

    /// A part has its response. Returns the requests that are owed nothing any more.
    fn finish(&mut self, part: u64, response: FinalResponse) -> Vec<RequestId> {
        let Some(request) = self.outstanding.remove(part) else {
            return Vec::new();
        };
        let response = self.in_format(response, request.result_format);
        let is_served = matches!(response, FinalResponse::Served(_));
        let abandoned = self.plan.finish(part, response, is_served);
        self.outstanding.abandon(&abandoned)
    }

    /// Its client cancels the first part without an answer. Returns the requests that are owed nothing any more.
    fn cancel_first(&mut self) -> Vec<RequestId> {
        let Some((part, _)) = self.plan.first_pending() else {
            return Vec::new();
        };
        let Some(request) = self.outstanding.cancel(part) else {
            // It has not been started, and nothing behind it has.
            self.plan.finish(part, FinalResponse::Cancelled, false);
            return Vec::new();
        };
        let mut abandoned = vec![request];
        abandoned.extend(self.finish(part, FinalResponse::Cancelled));
        abandoned
    }

    /// Gives the plan the whole commands at the head of `bytes`, until it is full or something comes that is for the
    /// time after the pipeline. Returns how many bytes were taken.
    fn take_commands(&mut self, bytes: &[u8]) -> usize {
        let mut rest = bytes;
        while !self.plan.is_full() {
            let Ok(Some((tag, body, len))) = frame::parse_frontend(rest, true) else {
                break;
            };
            match frontend::parse_command(tag, body) {
                Ok(Command::Terminate | Command::Query(_)) | Err(_) => break,
                Ok(command) => self.plan.on_command(&command, rand::random()),
            }
            rest = &rest[len..];
        }
        bytes.len() - rest.len()
    }

    /// Puts one output. Returns whether the client waits for it: it ends with a Sync or a Flush, or is an error.
    fn put_output(&self, out: &mut Vec<u8>, output: Output<FinalResponse>) -> bool {
        match output {
            Output::ParseComplete => put_message(out, b'1', &[]),
            Output::BindComplete => put_message(out, b'2', &[]),
            Output::CloseComplete => put_message(out, b'3', &[]),
            Output::NoData => put_message(out, b'n', &[]),
            Output::EmptyQueryResponse => put_message(out, b'I', &[]),
            Output::ParameterDescription(types) => backend::put_parameter_description(out, &types),
            Output::RowDescription(format) => {
                backend::put_row_description(out, &Column::new("data", self.data_type, format));
            }
            Output::CommandComplete(tag) => backend::put_command_complete(out, tag),
            Output::Response {
                response,
                is_suspended,
            } => return put_answer(out, &response, is_suspended),
            Output::Error(wrong) => {
                backend::put_error_response(out, false, wrong.sqlstate(), &wrong.to_string(), None);
                return true;
            }
            Output::Flush => return true,
            Output::ReadyForQuery => {
                backend::put_ready_for_query(out);
                return true;
            }
        }
        false
    }
}

/// Puts the answer to an Execute. Returns whether the client waits for it, as for any error.
fn put_answer(out: &mut Vec<u8>, answer: &FinalResponse, is_suspended: bool) -> bool {
    let FinalResponse::Served(answer) = answer else {
        put_failure(out, answer);
        return true;
    };
    backend::put_data_row(out, &answer.value);
    if is_suspended {
        put_message(out, b's', &[]);
    } else {
        backend::put_command_complete(out, &answer.command_tag);
    }
    false
}

impl Client {
    /// Runs a pipeline until nothing waits; the buffer begins with one of its commands. What stands behind it that
    /// is none of its commands is left there.
    pub(super) async fn run_pipeline(&mut self) -> Result<(), CloseReason> {
        self.state.on_request();
        self.cancellation.reset();
        let ended = self.serve_pipeline().await;
        // Only a client that has gone leaves requests behind.
        if let Some(extended) = &mut self.extended_queries {
            let abandoned = extended.outstanding.abandon_all();
            self.withdraw(abandoned).await;
        }
        ended
    }

    async fn serve_pipeline(&mut self) -> Result<(), CloseReason> {
        let mut out = Vec::new();
        let mut is_flush_due = false;
        loop {
            self.take_commands();
            // Its end may stand behind what it has sent: nothing is begun for one that has gone.
            self.read_available()?;
            if self.has_left() && !self.is_pipeline_idle() {
                return Err(CloseReason::DisconnectedWhileWaiting);
            }
            self.take_commands();
            self.take_responses().await;
            self.start_pipelined_requests().await;
            // One write for what belongs together: a BindComplete goes with the answer behind it.
            is_flush_due |= self.put_outputs(&mut out);
            let is_idle = self.is_pipeline_idle();
            if !out.is_empty() && (is_flush_due || is_idle || out.len() >= WRITE_SIZE) {
                self.write(&out).await?;
                out.clear();
                is_flush_due = false;
                // What came meanwhile is looked at before the next wait.
                continue;
            }
            if is_idle {
                return Ok(());
            }
            self.wait_on_pipeline().await?;
        }
    }

    fn is_pipeline_idle(&self) -> bool {
        let extended = self.extended_queries.as_ref();
        extended.is_none_or(|extended| extended.plan.is_idle())
    }

    /// Waits for a response, a cancellation or more input. What is pipelined stays in the buffer, which must not grow
    /// without an end.
    async fn wait_on_pipeline(&mut self) -> Result<(), CloseReason> {
        let Some(extended) = &mut self.extended_queries else {
            return Ok(());
        };
        let read = read_ahead(
            &self.shared,
            &mut self.buffer,
            &self.stream,
            &self.late_reading,
        );
        let response = extended.outstanding.response();
        let abandoned = match next_wakeup(response, &self.cancellation, read).await? {
            Wakeup::Response(part, response) => extended.finish(part, response),
            Wakeup::CancelRequested => extended.cancel_first(),
            Wakeup::Progress => Vec::new(),
        };
        self.withdraw(abandoned).await;
        Ok(())
    }

    fn take_commands(&mut self) {
        let Some(extended) = &mut self.extended_queries else {
            return;
        };
        let taken = extended.take_commands(self.buffer.bytes());
        if taken > 0 {
            self.buffer.consume(taken);
            self.shared.last_arrival.set(self.shared.clock.now());
        }
    }

    async fn take_responses(&mut self) {
        while let Some(extended) = &mut self.extended_queries
            && let Some((part, response)) = extended.outstanding.try_response()
        {
            let abandoned = extended.finish(part, response);
            self.withdraw(abandoned).await;
        }
    }

    async fn start_pipelined_requests(&mut self) {
        while let Some(start) = self
            .extended_queries
            .as_mut()
            .and_then(|e| e.plan.start_next())
        {
            let now = self.shared.clock.now();
            let incoming = self.incoming(&start.request, start.query, now);
            let Some(extended) = &mut self.extended_queries else {
                return;
            };
            let outstanding = &mut extended.outstanding;
            let reply = outstanding.insert(start.number, &incoming, start.result_format);
            if self.dispatch(incoming, reply).await {
                continue;
            }
            if let Some(extended) = &mut self.extended_queries {
                let response = FinalResponse::Failed("the router is ending");
                let abandoned = extended.finish(start.number, response);
                self.withdraw(abandoned).await;
            }
        }
    }

    /// Puts the outputs that are due, up to the size of a write. Returns whether the client waits for one of them.
    fn put_outputs(&mut self, out: &mut Vec<u8>) -> bool {
        let Some(extended) = &mut self.extended_queries else {
            return false;
        };
        let mut is_flush_due = false;
        while out.len() < WRITE_SIZE
            && let Some(output) = extended.plan.pop_output()
        {
            if matches!(output, Output::Error(_)) {
                count(&self.shared.counters.invalid_statements);
            }
            is_flush_due |= extended.put_output(out, output);
        }
        is_flush_due
    }
}
