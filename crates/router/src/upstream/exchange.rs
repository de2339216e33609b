//! One attempt or one health check on its connection, as a task of its own.
//!
//! Each tells the dispatcher its one result, and gives the connection back to the pool if it is of further use.

use super::connection::UpstreamConnection;
use super::endpoint_status::EndpointStatus;
use super::load_report::parse_load_report;
use super::pool::PoolEvent;
use super::response::Response;
use crate::messages::{Attempt, AttemptProgress, AttemptResult, Message};
use crate::observability::counters::count;
use crate::runtime::shared::Shared;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future::or;
use reelrill_routing::{AttemptOutcome, EndpointId, Nanos};
use std::rc::Rc;
use std::time::Duration;

/// The shortest time that an endpoint has for its load report.
const MIN_HEALTH_CHECK_TIME: Nanos = 100_000_000;
/// What asks an endpoint for its load report.
const REPORT_QUERY: &[u8] = b"SHOW gauges";

impl Attempt {
    /// Neither abandoned by the dispatcher nor left by its client.
    pub(super) fn is_wanted(&self) -> bool {
        !self.abandoned.is_closed() && !self.request_cancelled.is_raised()
    }

    /// How long the endpoint may take if the request is written now, in nanoseconds; none: it must not be written any
    /// more. Asked in the step that writes, since the attempt may have waited for its turn, and again for each further
    /// write.
    fn time_left(&self, shared: &Shared, status: &EndpointStatus) -> Option<Nanos> {
        let now = shared.clock.now();
        let is_late = now >= self.deadline || self.write_deadline.is_some_and(|by| now >= by);
        let may_be_written = self.is_wanted() && !is_late && !status.is_closed_to_new(shared);
        may_be_written.then(|| self.deadline - now)
    }

    /// The message that tells the dispatcher of this attempt's result.
    pub(super) fn ended(&self, result: AttemptResult) -> Message {
        Message::AttemptEnded {
            request: self.request,
            attempt: self.number,
            result,
        }
    }
}

/// Makes an attempt. Once it is abandoned, it drops the connection: a late answer has nowhere to go.
pub async fn run_attempt(
    shared: Rc<Shared>,
    status: Rc<EndpointStatus>,
    pool: Sender<PoolEvent>,
    mut connection: UpstreamConnection,
    attempt: Box<Attempt>,
) {
    let time_left = || attempt.time_left(&shared, &status);
    let Some(wait) = time_left() else {
        give_back(&pool, connection).await;
        if attempt.is_wanted() {
            let not_sent = AttemptResult::from_outcome(AttemptOutcome::NotSent);
            tell_dispatcher(&shared, attempt.ended(not_sent)).await;
        }
        return;
    };
    let abandoned = async {
        // Nothing is ever sent: it ends when the dispatcher drops its end.
        let _ = attempt.abandoned.recv().await;
        None
    };
    let exchange = async {
        let response = connection.execute(&attempt.statement, wait, time_left, &attempt.progress);
        Some(response.await)
    };
    let Some(response) = or(exchange, abandoned).await else {
        return;
    };
    let result = match response {
        Err(error) => AttemptResult::from_outcome(error.outcome()),
        Ok(response) => finish(&pool, connection, response).await,
    };
    tell_dispatcher(&shared, attempt.ended(result)).await;
}

/// Asks an endpoint for its load report.
pub async fn run_health_check(
    shared: Rc<Shared>,
    pool: Sender<PoolEvent>,
    mut connection: UpstreamConnection,
    endpoint: EndpointId,
) {
    count(&shared.counters.health_checks);
    let connect_timeout = shared.config.site.settings.limits.connect_timeout;
    let limit = Duration::from_nanos(connect_timeout.max(MIN_HEALTH_CHECK_TIME));
    let timed_out = async {
        Timer::after(limit).await;
        None
    };
    let progress = AttemptProgress::default();
    let exchange = async { Some(connection.query(REPORT_QUERY, &progress).await) };
    let result = match or(exchange, timed_out).await {
        None => AttemptResult::from_outcome(AttemptOutcome::TimedOut),
        Some(Err(_)) => AttemptResult::from_outcome(AttemptOutcome::ConnectionReset),
        Some(Ok(response)) => {
            let report = response.text().map(parse_load_report).unwrap_or_default();
            let result = finish(&pool, connection, response).await;
            AttemptResult {
                report,
                query_result: None,
                ..result
            }
        }
    };
    tell_dispatcher(&shared, Message::HealthCheckEnded { endpoint, result }).await;
}

/// Turns a response into the result, and gives the connection back if it is ready for another request.
async fn finish(
    pool: &Sender<PoolEvent>,
    connection: UpstreamConnection,
    response: Response,
) -> AttemptResult {
    let is_ready = response.is_ready;
    let replication = response.replication;
    let report = response.report;
    let (outcome, query_result) = response.into_outcome();
    if is_ready {
        give_back(pool, connection).await;
    }
    AttemptResult {
        outcome,
        replication,
        report,
        query_result,
    }
}

/// A connection that no pool takes any more ends with its log line.
async fn give_back(pool: &Sender<PoolEvent>, connection: UpstreamConnection) {
    let _ = pool.send(PoolEvent::Returned(Box::new(connection))).await;
}

/// The dispatcher ends last; without it there is nobody to tell.
pub async fn tell_dispatcher(shared: &Shared, message: Message) {
    let _ = shared.dispatcher.send(message).await;
}
