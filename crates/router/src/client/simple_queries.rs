//! A client's simple queries: carries out what its queue decides. The queue decides the order of requests and answers;
//! here are the bytes, the dispatcher's responses, and the watch over the client.

use super::connection::Client;
use super::outstanding::OutstandingRequests;
use super::reading::read_ahead;
use super::responses::{WRITE_SIZE, put_answer, put_failure};
use super::wakeup::{Wakeup, next_wakeup};
use crate::messages::FinalResponse;
use crate::observability::close_reason::CloseReason;
use crate::observability::counters::count;
use futures_lite::future::or;
use reelrill_pg_protocol::{Format, backend, frame, put_message, sqlstate};
use reelrill_pg_session::SessionError;
use reelrill_pg_session::endpoint_query::{EndpointQuery, SimpleQuery};
use reelrill_pg_session::queue::{Output, QueueLimits, SimpleQueryQueue};
use reelrill_pg_session::request::{RequestFields, ValidatedRequest};
use std::rc::Rc;

/// A response that needs no endpoint.
enum LocalResponse {
    /// The answer to an empty query. The load balancer in front sends clients once it has come: only a router that can
    /// serve gives it.
    EmptyQuery,
    Complete(&'static str),
    Error {
        code: &'static str,
        message: String,
    },
}

/// The simple queries of one client that have no answer yet.
pub struct SimpleQueries {
    queue: SimpleQueryQueue<FinalResponse, LocalResponse>,
    outstanding: OutstandingRequests,
}

impl SimpleQueries {
    /// No queries yet.
    pub fn new() -> SimpleQueries {
        let limits = QueueLimits::default();
        let outstanding = OutstandingRequests::new(limits.running * 2);
        SimpleQueries {
            queue: SimpleQueryQueue::new(limits),
            outstanding,
        }
    }

    fn finish(&mut self, part: u64, response: FinalResponse) {
        // A request that was cancelled is not outstanding any more; the queue knows it, too.
        let _ = self.outstanding.remove(part);
        self.queue.finish(part, response);
    }
}

impl Client {
    /// Serves simple queries until nothing waits; the buffer begins with one. What stands behind them that is none is
    /// left there.
    pub(super) async fn run_simple_queries(&mut self) -> Result<(), CloseReason> {
        self.state.on_request();
        self.cancellation.reset();
        let ended = self.serve_simple_queries().await;
        // Only a client that has gone, or does not read its answers, leaves requests behind.
        let abandoned = self.simple_queries.outstanding.abandon_all();
        self.withdraw(abandoned).await;
        ended
    }

    async fn serve_simple_queries(&mut self) -> Result<(), CloseReason> {
        let mut out = Vec::new();
        loop {
            self.take_simple_queries();
            // Its end may stand behind what it has sent: nothing is begun for one that has gone.
            self.read_available()?;
            if !self.simple_queries.queue.is_empty() && self.has_left() {
                return Err(CloseReason::DisconnectedWhileWaiting);
            }
            self.take_simple_queries();
            while let Some((part, response)) = self.simple_queries.outstanding.try_response() {
                self.simple_queries.finish(part, response);
            }
            self.start_simple_queries().await;
            self.put_simple_answers(&mut out);
            if !out.is_empty() {
                self.write(&out).await?;
                out.clear();
                // What came meanwhile is looked at before the next wait.
                continue;
            }
            if self.simple_queries.queue.is_empty() {
                return Ok(());
            }
            self.wait_on_simple_queries().await?;
        }
    }

    /// Waits for a response, a cancellation, more input, or for the router to become able to serve.
    async fn wait_on_simple_queries(&mut self) -> Result<(), CloseReason> {
        let became_ready = async {
            if self.shared.ready.is_raised() {
                std::future::pending::<()>().await;
            }
            self.shared.ready.wait().await;
            Ok(Wakeup::Progress)
        };
        let response = self.simple_queries.outstanding.response();
        let read = read_ahead(
            &self.shared,
            &mut self.buffer,
            &self.stream,
            &self.late_reading,
        );
        let wakeup = next_wakeup(response, &self.cancellation, read);
        match or(wakeup, became_ready).await? {
            Wakeup::Response(part, response) => self.simple_queries.finish(part, response),
            Wakeup::CancelRequested => self.cancel_simple_query().await,
            Wakeup::Progress => {}
        }
        Ok(())
    }

    /// Gives the queue the whole queries at the head of the buffer, until it is full or something else comes.
    fn take_simple_queries(&mut self) {
        let is_extended = self.extended_queries.is_some();
        while !self.simple_queries.queue.is_full() {
            let Ok(Some((b'Q', body, len))) =
                frame::parse_frontend(self.buffer.bytes(), is_extended)
            else {
                return;
            };
            let Some(text) = backend::parse_single_string(body) else {
                return;
            };
            let text = text.to_owned();
            self.buffer.consume(len);
            self.shared.last_arrival.set(self.shared.clock.now());
            self.on_simple_query(&text, len);
        }
    }

    fn on_simple_query(&mut self, text: &str, len: usize) {
        if let Some(extended) = &mut self.extended_queries {
            extended.on_simple_query();
        }
        let is_blank = |c: char| c.is_whitespace() || c == ';';
        if text.trim_matches(is_blank).is_empty() {
            return self
                .simple_queries
                .queue
                .push_local_response(LocalResponse::EmptyQuery);
        }
        match self.read_request(text) {
            Ok((admitted, ask)) => {
                let arrived = self.shared.clock.now();
                let queue = &mut self.simple_queries.queue;
                queue.push_request(admitted, ask, arrived, len);
            }
            Err(error) => {
                let response = self.local_response(text, &error);
                self.simple_queries.queue.push_local_response(response);
            }
        }
    }

    fn read_request(
        &self,
        text: &str,
    ) -> Result<(ValidatedRequest, Rc<EndpointQuery>), SessionError> {
        let (named, digits) = RequestFields::from_simple_query(text)?;
        let admitted = self.shared.session_resources.classes.validate(&named)?;
        let ask = EndpointQuery::Simple(SimpleQuery::new(text.as_bytes().to_vec(), digits));
        Ok((admitted, Rc::new(ask)))
    }

    /// The response to a query that is no request: a statement for the session, or wrong.
    fn local_response(&mut self, text: &str, error: &SessionError) -> LocalResponse {
        let extended = self.extended_queries.as_mut();
        match extended.and_then(|extended| extended.run_session_statement(text)) {
            Some(Ok(tag)) => LocalResponse::Complete(tag),
            Some(Err(error)) => LocalResponse::Error {
                code: error.sqlstate(),
                message: error.to_string(),
            },
            // Whatever it is, a simple query that is none of ours has this code.
            None => LocalResponse::Error {
                code: sqlstate::SYNTAX_ERROR,
                message: error.to_string(),
            },
        }
    }

    async fn start_simple_queries(&mut self) {
        while let Some(start) = self.simple_queries.queue.start_next() {
            let incoming = self.incoming(&start.request, start.query, start.received_at);
            let outstanding = &mut self.simple_queries.outstanding;
            let reply = outstanding.insert(start.number, &incoming, Format::Text);
            if !self.dispatch(incoming, reply).await {
                let response = FinalResponse::Failed("the router is ending");
                self.simple_queries.finish(start.number, response);
            }
        }
    }

    /// Its client cancels the first request without an answer: it fails at once, and the dispatcher owes it nothing
    /// any more. One that has not been started is only answered.
    async fn cancel_simple_query(&mut self) {
        let Some(part) = self.simple_queries.queue.first_pending() else {
            return;
        };
        let queue = &mut self.simple_queries.queue;
        queue.finish(part, FinalResponse::Cancelled);
        let abandoned = self.simple_queries.outstanding.abandon(&[part]);
        self.withdraw(abandoned).await;
    }

    /// Puts the answers that are due, up to the size of a write.
    fn put_simple_answers(&mut self, out: &mut Vec<u8>) {
        let is_ready = self.shared.ready.is_raised();
        let may_say = |r: &LocalResponse| is_ready || !matches!(r, LocalResponse::EmptyQuery);
        while out.len() < WRITE_SIZE
            && let Some(output) = self.simple_queries.queue.pop_output(may_say)
        {
            match output {
                Output::Response(FinalResponse::Served(answer)) => put_answer(out, &answer),
                Output::Response(other) => put_failure(out, &other),
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
