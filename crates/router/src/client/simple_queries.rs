//! Executes a client's simple queries. The client's [`SimpleQueryQueue`] decides the order of requests and responses.
//! This module parses and encodes messages, exchanges requests and responses with the dispatcher, and detects that the
//! client disconnects.

use super::connection::ClientConnection;
use super::outstanding::OutstandingRequests;
use super::reading::read_ahead;
use super::responses::{WRITE_BATCH_SIZE, put_error, put_result};
use super::turn_end::ProcessorUse;
use super::wakeup::{
    Wakeup, next_wakeup, wait_for_memory, wait_for_rejection, wait_for_start_gate,
    wait_for_write_due,
};
use crate::messages::FinalResponse;
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use crate::runtime::shared::Shared;
use futures_lite::future::{or, pending};
use reelrill_pg_protocol::{Format, backend, frame, put_message, sqlstate};
use reelrill_pg_session::SessionError;
use reelrill_pg_session::endpoint_query::{EndpointQuery, SimpleQuery};
use reelrill_pg_session::queue::{Output, QueueLimits, SimpleQueryQueue};
use reelrill_pg_session::request::{RequestFields, ValidatedRequest};
use std::rc::Rc;

/// A response that needs no endpoint.
enum LocalResponse {
    /// The response to an empty query. The load balancer in front sends clients to the router once it has received this
    /// response, so it is sent only when the router can serve requests.
    EmptyQuery,
    Complete(&'static str),
    Error {
        code: &'static str,
        message: String,
    },
}

impl LocalResponse {
    /// Returns the number of bytes that the response holds besides its fixed size.
    fn memory_bytes(&self) -> usize {
        match self {
            LocalResponse::Error { message, .. } => message.len(),
            LocalResponse::EmptyQuery | LocalResponse::Complete(_) => 0,
        }
    }
}

/// The simple queries of one client that have no response yet.
pub struct SimpleQueries {
    queue: SimpleQueryQueue<FinalResponse, LocalResponse>,
    outstanding: OutstandingRequests,
}

impl SimpleQueries {
    /// Creates an empty set of queries.
    pub fn new(shared: &Shared) -> SimpleQueries {
        let limits = QueueLimits::default();
        let memory = shared.session_resources.budgets.pipeline_bytes.clone();
        SimpleQueries {
            queue: SimpleQueryQueue::new(limits, memory),
            outstanding: OutstandingRequests::new(limits.running * 2),
        }
    }

    fn finish(&mut self, number: u64, response: FinalResponse, processor_use: &mut ProcessorUse) {
        // A request that was cancelled is not outstanding any more, and the queue ignores its response.
        if let Some(request) = self.outstanding.remove(number) {
            processor_use.on_response(&response, request.processing_time);
        }
        let bytes = response.memory_bytes();
        self.queue.finish(number, response, bytes);
    }
}

impl ClientConnection {
    /// Serves simple queries until all of them have been responded to. The buffer begins with one; messages of another
    /// kind after them stay in the buffer.
    pub(super) async fn run_simple_queries(&mut self) -> Result<(), CloseReason> {
        self.state.on_request();
        self.cancellation.reset();
        let ended = self.serve_simple_queries().await;
        // Requests are still queued or outstanding only if the client has disconnected or does not read its responses.
        self.simple_queries.queue.clear();
        self.shared.pipeline_memory_released.wake_next();
        let abandoned = self.simple_queries.outstanding.abandon_all();
        self.notify_cancelled(abandoned).await;
        ended
    }

    async fn serve_simple_queries(&mut self) -> Result<(), CloseReason> {
        let mut out = Vec::new();
        loop {
            self.end_turn().await;
            self.pause_after_rejections().await;
            self.queue_simple_queries();
            // The end of input may follow the queries, and no request must be started for a client that has
            // disconnected.
            self.read_available()?;
            if !self.simple_queries.queue.is_empty() && self.has_disconnected() {
                return Err(CloseReason::DisconnectedWhileWaiting);
            }
            self.queue_simple_queries();
            while let Some((number, response)) = self.simple_queries.outstanding.try_response() {
                self.simple_queries
                    .finish(number, response, &mut self.processor_use);
            }
            self.start_simple_queries().await;
            self.shared.pipeline_memory_released.wake_next();
            self.put_simple_responses(&mut out);
            if !out.is_empty() {
                self.write(&std::mem::take(&mut out)).await?;
                self.simple_queries.queue.on_written();
                // Input and responses that arrived during the write are processed before the next wait.
                continue;
            }
            if !self.simple_queries.queue.is_empty() {
                self.wait_on_simple_queries().await?;
            } else if self.rejection.is_in_progress() {
                self.wait_for_input().await?;
            } else {
                return Ok(());
            }
        }
    }

    /// Waits for a response, a cancellation, more input, memory, for the router to become ready to serve, or for the
    /// time from which a graceful shutdown rejects queries.
    async fn wait_on_simple_queries(&mut self) -> Result<(), CloseReason> {
        let became_ready = async {
            if self.shared.ready.is_raised() {
                pending::<()>().await;
            }
            self.shared.ready.wait().await;
            Ok(Wakeup::Progress)
        };
        let is_waiting_for_memory = self.simple_queries.queue.is_waiting_for_memory();
        let memory_released = wait_for_memory(&self.shared, is_waiting_for_memory);
        let rejection_started = wait_for_rejection(&self.shared, !self.buffer.bytes().is_empty());
        let response = self.simple_queries.outstanding.response();
        let read = read_ahead(
            &self.shared,
            &mut self.buffer,
            &self.stream,
            &self.shutdown_read_limit,
            &self.backlog,
        );
        let wakeup = next_wakeup(response, &self.cancellation, read);
        let gate_opened = wait_for_start_gate(&self.shared, &self.start_gate);
        let capacity_changed = or(memory_released, rejection_started);
        let write_due = wait_for_write_due(&self.shared, &self.start_gate, &self.backlog);
        let capacity_changed = or(
            became_ready,
            or(capacity_changed, or(gate_opened, write_due)),
        );
        match or(wakeup, capacity_changed).await? {
            Wakeup::Response(number, response) => {
                self.simple_queries
                    .finish(number, response, &mut self.processor_use);
            }
            Wakeup::CancelRequested => self.cancel_simple_query().await,
            Wakeup::WriteDue => self.write_without_effect().await?,
            Wakeup::Progress => {}
        }
        Ok(())
    }

    /// Passes the complete queries at the start of the buffer to the queue, until it is full or a message of another
    /// kind follows. Late in a graceful shutdown, rejects them instead.
    fn queue_simple_queries(&mut self) {
        while !self.buffer.is_skipping() {
            if self.rejection.finish() {
                self.simple_queries.queue.push_rejection();
                self.count_rejection();
            }
            let has_processed_query = if self.shared.should_reject_new_requests() {
                self.reject_next_query()
            } else {
                self.queue_next_query()
            };
            if !has_processed_query {
                return;
            }
        }
    }

    /// Queues the complete query at the start of the buffer. Returns `false` if there is none, or the queue is full.
    fn queue_next_query(&mut self) -> bool {
        if self.simple_queries.queue.is_full() {
            return false;
        }
        let is_extended = self.extended_queries.is_some();
        let Ok(Some((b'Q', body, length))) =
            frame::parse_frontend(self.buffer.bytes(), is_extended)
        else {
            return false;
        };
        if !self.simple_queries.queue.has_memory_for(length) {
            self.start_rejection(b'Q', length);
            return true;
        }
        let Some(text) = backend::parse_single_string(body) else {
            return false;
        };
        let text = text.to_owned();
        self.buffer.consume(length);
        self.shared.last_arrival.set(self.shared.clock.now());
        self.on_simple_query(&text, length);
        true
    }

    /// Starts the rejection of the query at the start of the input. Returns `false` if there is none. The query is not
    /// stored, so that all that a client has written can be read, however much it is, while its earlier queries wait for
    /// their responses.
    fn reject_next_query(&mut self) -> bool {
        let is_extended = self.extended_queries.is_some();
        let header = frame::parse_frontend_header(self.buffer.bytes(), is_extended);
        let Ok(Some((b'Q', length))) = header else {
            return false;
        };
        self.start_rejection(b'Q', length);
        true
    }

    fn on_simple_query(&mut self, text: &str, len: usize) {
        if let Some(extended) = &mut self.extended_queries {
            extended.on_simple_query();
        }
        let is_blank = |c: char| c.is_whitespace() || c == ';';
        if text.trim_matches(is_blank).is_empty() {
            return self.push_local_response(LocalResponse::EmptyQuery);
        }
        match self.parse_request(text) {
            Ok((request, query)) => {
                let received_at = self.shared.clock.now();
                let queue = &mut self.simple_queries.queue;
                queue.push_request(request, query, received_at, len);
            }
            Err(error) => {
                let response = self.local_response(text, &error);
                self.push_local_response(response);
            }
        }
    }

    fn push_local_response(&mut self, response: LocalResponse) {
        self.on_local_message();
        let bytes = response.memory_bytes();
        self.simple_queries
            .queue
            .push_local_response(response, bytes);
    }

    fn parse_request(
        &self,
        text: &str,
    ) -> Result<(ValidatedRequest, Rc<EndpointQuery>), SessionError> {
        let (fields, digits) = RequestFields::from_simple_query(text)?;
        let request = self.shared.session_resources.classes.validate(&fields)?;
        let query = EndpointQuery::Simple(SimpleQuery::new(text.as_bytes().to_vec(), digits));
        Ok((request, Rc::new(query)))
    }

    /// Returns the response to a query that is not a request, for the reason in `error`: either it is a utility
    /// statement, or it is invalid.
    fn local_response(&mut self, text: &str, error: &SessionError) -> LocalResponse {
        let extended = self.extended_queries.as_mut();
        match extended.and_then(|extended| extended.run_utility_query(text)) {
            Some(Ok(tag)) => LocalResponse::Complete(tag),
            Some(Err(error)) => LocalResponse::Error {
                code: error.sqlstate(),
                message: error.to_string(),
            },
            // Any other simple query is invalid, whatever the error, and is rejected with this SQLSTATE.
            None => LocalResponse::Error {
                code: sqlstate::SYNTAX_ERROR,
                message: error.to_string(),
            },
        }
    }

    async fn start_simple_queries(&mut self) {
        if !self.may_start_requests() {
            return;
        }
        while let Some(start) = self.simple_queries.queue.start_next() {
            let request = self.client_request(&start.request, start.query, start.received_at);
            self.start_gate.on_started();
            let processing_time = self.on_request_started();
            let outstanding = &mut self.simple_queries.outstanding;
            let response_target =
                outstanding.insert(start.number, &request, Format::Text, processing_time);
            if !self.dispatch(request, response_target).await {
                let response = FinalResponse::Failed("the router is ending");
                self.simple_queries
                    .finish(start.number, response, &mut self.processor_use);
            }
        }
    }

    /// Cancels the first request without a response, as the client requested. The request fails at once; if it has been
    /// started, the dispatcher is notified that no response to it is needed any more.
    async fn cancel_simple_query(&mut self) {
        let Some(number) = self.simple_queries.queue.first_pending() else {
            return;
        };
        let queue = &mut self.simple_queries.queue;
        queue.finish(number, FinalResponse::Cancelled, 0);
        let abandoned = self.simple_queries.outstanding.abandon(&[number]);
        self.notify_cancelled(abandoned).await;
    }

    /// Appends the responses that are available, up to the size of a write.
    fn put_simple_responses(&mut self, out: &mut Vec<u8>) {
        let is_ready = self.shared.ready.is_raised();
        let can_send =
            |local: &LocalResponse| is_ready || !matches!(local, LocalResponse::EmptyQuery);
        while out.len() < WRITE_BATCH_SIZE
            && let Some(output) = self.simple_queries.queue.pop_output(can_send)
        {
            match output {
                Output::Response(FinalResponse::Served(result)) => put_result(out, &result),
                Output::Response(response) => put_error(out, &response),
                Output::Rejection => {
                    put_error(out, &FinalResponse::Rejected { retry_after: None });
                }
                Output::LocalResponse(LocalResponse::EmptyQuery) => put_message(out, b'I', &[]),
                Output::LocalResponse(LocalResponse::Complete(tag)) => {
                    backend::put_command_complete(out, tag)
                }
                Output::LocalResponse(LocalResponse::Error { code, message }) => {
                    count(&self.shared.counters.invalid_statements);
                    backend::put_error_response(out, false, code, &message, None);
                }
            }
            backend::put_ready_for_query(out);
        }
    }
}
