//! Executes a client's extended queries. The client's [`ExtendedSession`] decides the order of requests and responses,
//! and which commands are skipped. This module parses and encodes messages, exchanges requests and responses with the
//! dispatcher, and detects that the client disconnects.

use super::connection::ClientConnection;
use super::outstanding::OutstandingRequests;
use super::reading::read_ahead;
use super::responses::{WRITE_BATCH_SIZE, put_error};
use super::turn_end::ProcessorUse;
use super::wakeup::{
    Wakeup, next_wakeup, wait_for_memory, wait_for_rejection, wait_for_start_gate,
    wait_for_write_due,
};
use crate::messages::FinalResponse;
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::shared::Shared;
use futures_lite::future::or;
use reelrill_pg_protocol::backend::{self, Column};
use reelrill_pg_protocol::frontend::{self, Command};
use reelrill_pg_protocol::{Format, frame, put_message};
use reelrill_pg_session::SessionError;
use reelrill_pg_session::endpoint_query::convert_format;
use reelrill_pg_session::extended::{ExtendedSession, Output};
use reelrill_routing::RequestId;
use std::borrow::Cow;

/// The capacity of a client's response channel, in responses for each read that may run at once.
const RESPONSES_PER_READ: usize = 4;
/// The additional capacity of the channel for the responses to writes.
const EXTRA_RESPONSES: usize = 16;

/// The length of a Sync message in bytes.
const SYNC_LENGTH: usize = 1 + 4;

/// The prepared statements and the pipeline of one client.
pub struct ExtendedQueries {
    session: ExtendedSession<FinalResponse>,
    outstanding: OutstandingRequests,
    /// The OID of the type of the one result column.
    data_type: u32,
}

impl ExtendedQueries {
    /// Creates a session without prepared statements and with an empty pipeline.
    pub fn new(shared: &Shared) -> ExtendedQueries {
        let capacity = shared.session_resources.limits.reads * RESPONSES_PER_READ + EXTRA_RESPONSES;
        ExtendedQueries {
            session: ExtendedSession::new(shared.session_resources.clone()),
            outstanding: OutstandingRequests::new(capacity),
            data_type: shared.config.extensions.extended.data_type.oid(),
        }
    }

    /// Returns whether the client would lose state if the connection were closed now.
    pub fn has_state(&self) -> bool {
        self.session.statement_count() > 0 || self.session.has_open_segment()
    }

    /// Returns whether the client is in the middle of a request, between two of its messages.
    pub fn has_unfinished_request(&self) -> bool {
        self.session.has_unfinished_request()
    }

    /// Handles the receipt of a simple query: it removes the unnamed statement and all portals.
    pub fn on_simple_query(&mut self) {
        self.session.on_simple_query();
    }

    /// Runs a simple query that is a utility statement, which only affects the session's prepared statements, and
    /// returns its command tag. Returns `None` for any other query.
    ///
    /// # Errors
    /// Fails if the statement is not supported or names an unknown prepared statement.
    pub fn run_utility_query(&mut self, text: &str) -> Option<Result<&'static str, SessionError>> {
        self.session.run_utility_query(text)
    }

    /// Returns the response with its value in the format that the client requested.
    fn convert_response(&self, response: FinalResponse, requested: Format) -> FinalResponse {
        let FinalResponse::Served(mut result) = response else {
            return response;
        };
        let received = result.column.as_ref().map_or(requested, |c| c.format);
        let Some(value) = convert_format(&result.value, self.data_type, received, requested) else {
            return FinalResponse::Failed(
                "it has run; its value can't be given in the format asked for",
            );
        };
        if let Cow::Owned(value) = value {
            result.value = value;
        }
        FinalResponse::Served(result)
    }

    /// Processes the response to the request with this number. Returns the ids of requests whose responses are not
    /// needed any more.
    fn finish(
        &mut self,
        number: u64,
        response: FinalResponse,
        processor_use: &mut ProcessorUse,
    ) -> Vec<RequestId> {
        let Some(request) = self.outstanding.remove(number) else {
            return Vec::new();
        };
        processor_use.on_response(&response, request.processing_time);
        let response = self.convert_response(response, request.result_format);
        let is_served = matches!(response, FinalResponse::Served(_));
        let bytes = response.memory_bytes();
        let abandoned = self.session.finish(number, response, is_served, bytes);
        self.outstanding.abandon(&abandoned)
    }

    /// Cancels the first request without a response, as the client requested. Returns the ids of requests whose
    /// responses are not needed any more.
    fn cancel_first(&mut self, processor_use: &mut ProcessorUse) -> Vec<RequestId> {
        let Some((number, _)) = self.session.first_pending() else {
            return Vec::new();
        };
        let Some(request) = self.outstanding.cancel(number) else {
            // The request has not been started, and neither has any later one.
            self.session
                .finish(number, FinalResponse::Cancelled, false, 0);
            return Vec::new();
        };
        let mut abandoned = vec![request];
        abandoned.extend(self.finish(number, FinalResponse::Cancelled, processor_use));
        abandoned
    }

    /// Passes the complete commands at the start of `bytes` to the session, until it is full or a message follows that
    /// must be processed after the pipeline. Returns the number of bytes processed.
    fn queue_commands(&mut self, bytes: &[u8]) -> usize {
        let mut rest = bytes;
        while !self.session.is_full() {
            let Ok(Some((tag, body, len))) = frame::parse_frontend(rest, true) else {
                break;
            };
            match frontend::parse_command(tag, body) {
                Ok(Command::Terminate | Command::Query(_)) | Err(_) => break,
                Ok(command) => self.session.on_command(&command, rand::random()),
            }
            rest = &rest[len..];
        }
        bytes.len() - rest.len()
    }

    /// Appends one output. Returns whether it must be sent now: it is the response to a Sync or a Flush, or an error.
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
            } => return put_execute_response(out, &response, is_suspended),
            Output::Error(error) => {
                backend::put_error_response(out, false, error.sqlstate(), &error.to_string(), None);
                return true;
            }
            Output::Rejection => {
                put_error(out, &FinalResponse::Rejected { retry_after: None });
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

/// Appends the response to an Execute. Returns whether it must be sent now, as any error must.
fn put_execute_response(out: &mut Vec<u8>, response: &FinalResponse, is_suspended: bool) -> bool {
    let FinalResponse::Served(result) = response else {
        put_error(out, response);
        return true;
    };
    backend::put_data_row(out, &result.value);
    if is_suspended {
        put_message(out, b's', &[]);
    } else {
        backend::put_command_complete(out, &result.command_tag);
    }
    false
}

impl ClientConnection {
    /// Runs a pipeline until all its commands have been responded to. The buffer begins with one of its commands;
    /// messages after the pipeline stay in the buffer.
    pub(super) async fn run_pipeline(&mut self) -> Result<(), CloseReason> {
        self.state.on_request();
        self.cancellation.reset();
        let ended = self.serve_pipeline().await;
        // Requests are still queued or outstanding only if the connection must be closed.
        if let Some(extended) = &mut self.extended_queries {
            extended.session.clear();
            self.shared.pipeline_memory_released.wake_next();
            let abandoned = extended.outstanding.abandon_all();
            self.notify_cancelled(abandoned).await;
        }
        ended
    }

    async fn serve_pipeline(&mut self) -> Result<(), CloseReason> {
        let mut out = Vec::new();
        let mut is_flush_due = false;
        loop {
            self.end_turn().await;
            self.pause_after_rejections().await;
            self.queue_commands();
            // The end of input may follow the commands, and no request must be started for a client that has
            // disconnected.
            self.read_available()?;
            if self.has_disconnected() && !self.is_pipeline_idle() {
                return Err(CloseReason::DisconnectedWhileWaiting);
            }
            self.queue_commands();
            self.finish_responses().await;
            self.start_pipelined_requests().await;
            self.assign_local_commands();
            self.shared.pipeline_memory_released.wake_next();
            // Consecutive messages are sent in one write, such as a BindComplete with the response that follows it.
            is_flush_due |= self.put_outputs(&mut out);
            let is_idle = self.is_pipeline_idle();
            if !out.is_empty() && (is_flush_due || is_idle || out.len() >= WRITE_BATCH_SIZE) {
                self.write(&std::mem::take(&mut out)).await?;
                is_flush_due = false;
                if let Some(extended) = &mut self.extended_queries {
                    extended.session.on_written();
                }
                // Input and responses that arrived during the write are processed before the next wait.
                continue;
            }
            if !is_idle {
                self.wait_on_pipeline().await?;
            } else if self.rejection.is_in_progress() {
                self.wait_for_input().await?;
            } else {
                return Ok(());
            }
        }
    }

    fn is_pipeline_idle(&self) -> bool {
        let extended = self.extended_queries.as_ref();
        extended.is_none_or(|extended| extended.session.is_idle())
    }

    /// Waits for a response, a cancellation, memory, more input, or the time from which a graceful shutdown rejects
    /// commands. Pipelined input stays in the buffer, whose growth is bounded by the read-ahead limit.
    async fn wait_on_pipeline(&mut self) -> Result<(), CloseReason> {
        let Some(extended) = &mut self.extended_queries else {
            return Ok(());
        };
        let rejection_started = wait_for_rejection(&self.shared, !self.buffer.bytes().is_empty());
        let read = read_ahead(
            &self.shared,
            &mut self.buffer,
            &self.stream,
            &self.shutdown_read_limit,
            &self.backlog,
        );
        let is_waiting_for_memory = extended.session.is_waiting_for_memory();
        let memory_released = wait_for_memory(&self.shared, is_waiting_for_memory);
        let response = extended.outstanding.response();
        let wakeup = next_wakeup(response, &self.cancellation, read);
        let gate_opened = wait_for_start_gate(&self.shared, &self.start_gate);
        let write_due = wait_for_write_due(&self.shared, &self.start_gate, &self.backlog);
        let client_may_have_left = or(gate_opened, write_due);
        let capacity_changed = or(or(memory_released, rejection_started), client_may_have_left);
        let abandoned = match or(wakeup, capacity_changed).await? {
            Wakeup::Response(number, response) => {
                extended.finish(number, response, &mut self.processor_use)
            }
            Wakeup::CancelRequested => extended.cancel_first(&mut self.processor_use),
            Wakeup::WriteDue => return self.write_without_effect().await,
            Wakeup::Progress => Vec::new(),
        };
        self.notify_cancelled(abandoned).await;
        Ok(())
    }

    /// Passes the complete commands at the start of the buffer to the session. Late in a graceful shutdown, rejects them
    /// instead.
    fn queue_commands(&mut self) {
        if self.buffer.is_skipping() {
            return;
        }
        if self.rejection.finish() {
            self.reject_command();
        }
        if self.shared.should_reject_new_requests() {
            return self.reject_commands();
        }
        let Some(extended) = &mut self.extended_queries else {
            return;
        };
        let len = extended.queue_commands(self.buffer.bytes());
        if len > 0 {
            self.buffer.consume(len);
            self.shared.last_arrival.set(self.shared.clock.now());
        }
    }

    /// Rejects the commands at the start of the input, until a message follows that must be processed after the pipeline.
    /// They are not stored, as with simple queries.
    fn reject_commands(&mut self) {
        while !self.buffer.is_skipping() {
            if self.rejection.finish() {
                self.reject_command();
            }
            let header = frame::parse_frontend_header(self.buffer.bytes(), true);
            let Ok(Some((tag, length))) = header else {
                return;
            };
            match tag {
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' => self.start_rejection(tag, length),
                b'S' if length == SYNC_LENGTH && self.reject_until_sync() => {
                    self.buffer.consume(length);
                }
                _ => return,
            }
        }
    }

    /// Assigns the processor time of commands that have led to no request.
    fn assign_local_commands(&mut self) {
        let extended = self.extended_queries.as_ref();
        if extended.is_some_and(|extended| extended.outstanding.is_empty()) {
            self.on_local_message();
        }
    }

    fn reject_command(&mut self) {
        let extended = self.extended_queries.as_mut();
        if extended.is_some_and(|extended| extended.session.reject_command()) {
            self.count_rejection();
        }
    }

    /// Passes the Sync of rejected commands to the session. Returns whether the session has processed it.
    fn reject_until_sync(&mut self) -> bool {
        let extended = self.extended_queries.as_mut();
        extended.is_some_and(|extended| extended.session.reject_until_sync())
    }

    async fn finish_responses(&mut self) {
        while let Some(extended) = &mut self.extended_queries
            && let Some((number, response)) = extended.outstanding.try_response()
        {
            let abandoned = extended.finish(number, response, &mut self.processor_use);
            self.notify_cancelled(abandoned).await;
        }
    }

    async fn start_pipelined_requests(&mut self) {
        if !self.may_start_requests() {
            return;
        }
        while let Some(start) = self
            .extended_queries
            .as_mut()
            .and_then(|e| e.session.start_next())
        {
            let now = self.shared.clock.now();
            let request = self.client_request(&start.request, start.query, now);
            self.start_gate.on_started();
            let processing_time = self.on_request_started();
            let Some(extended) = &mut self.extended_queries else {
                return;
            };
            let outstanding = &mut extended.outstanding;
            let response_target =
                outstanding.insert(start.number, &request, start.result_format, processing_time);
            if self.dispatch(request, response_target).await {
                continue;
            }
            if let Some(extended) = &mut self.extended_queries {
                let response = FinalResponse::Failed("the router is ending");
                let abandoned = extended.finish(start.number, response, &mut self.processor_use);
                self.notify_cancelled(abandoned).await;
            }
        }
    }

    /// Appends the outputs that are available, up to the size of a write. Returns whether one of them must be sent now.
    fn put_outputs(&mut self, out: &mut Vec<u8>) -> bool {
        let Some(extended) = &mut self.extended_queries else {
            return false;
        };
        let mut is_flush_due = false;
        while out.len() < WRITE_BATCH_SIZE
            && let Some(output) = extended.session.pop_output()
        {
            if matches!(output, Output::Error(_)) {
                count(&self.shared.counters.invalid_statements);
            }
            is_flush_due |= extended.put_output(out, output);
        }
        is_flush_due
    }
}
