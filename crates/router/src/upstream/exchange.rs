//! Runs one attempt or one health check on its connection, as a task of its own.
//!
//! Each task sends one result to the dispatcher, and returns the connection to the pool if it can be used again.

use super::connection::UpstreamConnection;
use super::endpoint_status::EndpointStatus;
use super::fault::ExchangeError;
use super::load_report::parse_load_report;
use super::pool::PoolEvent;
use super::response::Response;
use super::statement_writer::WriteConditions;
use crate::messages::{Attempt, AttemptResult, Message};
use crate::observability::counters::count;
use crate::runtime::shared::Shared;
use crate::write_permit::WritePermit;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future::or;
use reelrill_routing::{AttemptOutcome, EndpointId, Nanos};
use std::rc::Rc;
use std::time::Duration;

/// The shortest timeout of a health check in nanoseconds.
const MIN_HEALTH_CHECK_TIMEOUT: Nanos = 100_000_000;
/// The query for an endpoint's load report.
const LOAD_REPORT_QUERY: &[u8] = b"SHOW gauges";

impl Attempt {
    /// Returns whether the attempt's result is still of use. It is not if the dispatcher has ended the attempt, or
    /// the client has disconnected or cancelled the request.
    pub(super) fn is_still_needed(&self) -> bool {
        !self.permit.has_ended() && !self.request_cancelled.is_raised()
    }

    /// Returns the time that is left for the response if the request is written now, in nanoseconds, or `None` if the
    /// request must not be written any more. Must be called immediately before each write, because the attempt may have
    /// waited for a connection or for room in the socket.
    fn time_left(&self, shared: &Shared, status: &EndpointStatus) -> Option<Nanos> {
        let now = shared.clock.now();
        let is_late =
            now >= self.deadline || self.write_deadline.is_some_and(|deadline| now >= deadline);
        let can_be_written =
            self.is_still_needed() && !is_late && !status.has_drain_grace_expired(shared);
        can_be_written.then(|| self.deadline - now)
    }

    /// Returns the message that reports this attempt's result to the dispatcher.
    pub(super) fn ended_message(&self, result: AttemptResult) -> Message {
        Message::AttemptEnded {
            request: self.request,
            attempt: self.number,
            result,
        }
    }
}

/// Makes an attempt, and reports its result to the dispatcher. If the dispatcher ends the attempt, the connection is
/// dropped, because no request waits for a late response.
pub async fn run_attempt(
    shared: Rc<Shared>,
    status: Rc<EndpointStatus>,
    pool: Sender<PoolEvent>,
    mut connection: UpstreamConnection,
    attempt: Box<Attempt>,
) {
    let time_left = || attempt.time_left(&shared, &status);
    let Some(response_time) = time_left() else {
        return_to_pool(&pool, connection).await;
        if attempt.is_still_needed() {
            let not_sent = AttemptResult::from_outcome(AttemptOutcome::NotSent);
            notify_dispatcher(&shared, attempt.ended_message(not_sent)).await;
        }
        return;
    };
    let ended = async {
        attempt.permit.ended().await;
        None
    };
    let conditions = WriteConditions {
        permit: &attempt.permit,
        time_left: &time_left,
    };
    let exchange = async {
        let response = connection.execute(&attempt.statement, response_time, &conditions);
        Some(response.await)
    };
    let Some(response) = or(exchange, ended).await else {
        return;
    };
    if matches!(response, Err(ExchangeError::Withdrawn)) && !attempt.is_still_needed() {
        return;
    }
    let result = match response {
        Err(error) => AttemptResult::from_outcome(error.outcome()),
        Ok(response) => finish_response(&pool, connection, response).await,
    };
    notify_dispatcher(&shared, attempt.ended_message(result)).await;
}

/// Queries an endpoint's load report, and reports the result to the dispatcher.
pub async fn run_health_check(
    shared: Rc<Shared>,
    pool: Sender<PoolEvent>,
    mut connection: UpstreamConnection,
    endpoint: EndpointId,
) {
    count(&shared.counters.health_checks);
    let connect_timeout = shared.config.routing.settings.limits.connect_timeout;
    let limit = Duration::from_nanos(connect_timeout.max(MIN_HEALTH_CHECK_TIMEOUT));
    let timed_out = async {
        Timer::after(limit).await;
        None
    };
    let conditions = WriteConditions {
        permit: &WritePermit::unrestricted(),
        time_left: &|| Some(Nanos::MAX),
    };
    let exchange = async { Some(connection.query(LOAD_REPORT_QUERY, &conditions).await) };
    let result = match or(exchange, timed_out).await {
        None => AttemptResult::from_outcome(AttemptOutcome::TimedOut),
        Some(Err(_)) => AttemptResult::from_outcome(AttemptOutcome::ConnectionReset),
        Some(Ok(response)) => {
            let report = response.text().map(parse_load_report).unwrap_or_default();
            let result = finish_response(&pool, connection, response).await;
            AttemptResult {
                report,
                query_result: None,
                ..result
            }
        }
    };
    notify_dispatcher(&shared, Message::HealthCheckEnded { endpoint, result }).await;
}

/// Converts a response into the result, and returns the connection to the pool if it is ready for another request.
async fn finish_response(
    pool: &Sender<PoolEvent>,
    connection: UpstreamConnection,
    response: Response,
) -> AttemptResult {
    let is_ready = response.is_ready;
    let replication = response.replication;
    let report = response.report;
    let (outcome, query_result) = response.into_outcome();
    if is_ready {
        return_to_pool(pool, connection).await;
    }
    AttemptResult {
        outcome,
        replication,
        report,
        query_result: query_result.map(Box::new),
    }
}

/// Returns a connection to its pool. If the pool has ended, the connection is closed.
async fn return_to_pool(pool: &Sender<PoolEvent>, connection: UpstreamConnection) {
    let _ = pool.send(PoolEvent::Returned(Box::new(connection))).await;
}

/// Sends a message to the dispatcher. The dispatcher outlives all pools, so a failed send is ignored.
pub async fn notify_dispatcher(shared: &Shared, message: Message) {
    let _ = shared.dispatcher.send(message).await;
}
