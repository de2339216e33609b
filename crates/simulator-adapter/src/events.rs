//! Lines that become events of the balancer. Each function takes the fields behind the router's number.

use crate::endpoint_lists::EndpointNames;
use crate::error::LineError;
use crate::fields::{Fields, unknown_word};
use crate::replication;
use reelrill_routing::{AttemptEnded, AttemptOutcome, Event, Nanos, Request, Timestamp};
use std::sync::Arc;

/// Bits of a request's flags.
const HAS_WORK: u64 = 1;
const IS_RETRY: u64 = 2;
const MILLISECOND_NS: f64 = 1e6;

fn outcome(word: &str) -> Result<AttemptOutcome, LineError> {
    Ok(match word {
        "delivered" => AttemptOutcome::Served,
        "app_error" => AttemptOutcome::Error,
        "shed" => AttemptOutcome::Overloaded,
        "expired" => AttemptOutcome::TimedOut,
        "dial_failed" => AttemptOutcome::ConnectFailed,
        "dropped" => AttemptOutcome::ConnectionReset,
        "revoked" => AttemptOutcome::Cancelled,
        "unused" => AttemptOutcome::Abandoned,
        "empty" => AttemptOutcome::Misrouted,
        other => return unknown_word("ending", other),
    })
}

/// `ORDER`: a client's request.
pub fn request(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let id = fields.request_id("call")?;
    let session = fields.optional_text("clientKey")?.map(Arc::from);
    let since_write_ms: Option<f64> = fields.optional_number("sinceWriteMs")?;
    let replica_set = fields.number::<f64>("cluster")? as u32;
    let work: Option<Nanos> = fields.optional_number("work")?;
    let tenant = fields.optional_number("project")?;
    let class = fields.number("band")?;
    let flags: u64 = fields.number("flags")?;
    let time_left = fields.number("ttl")?;
    let has_written = since_write_ms.filter(|ms| *ms > 0.0);
    Ok(Event::Request(Request {
        id,
        class,
        replica_set,
        session,
        since_write: has_written.map(|ms| (ms * MILLISECOND_NS) as Nanos),
        tenant,
        expected_execution_time: work.filter(|work| flags & HAS_WORK != 0 && *work > 0),
        is_retry: flags & IS_RETRY != 0,
        time_left,
    }))
}

/// `OUTCOME`: the end of an attempt.
pub fn attempt_ended(
    fields: &mut Fields<'_>,
    names: &mut EndpointNames,
    origin: Result<Timestamp, LineError>,
) -> Result<Event, LineError> {
    let request = fields.request_id("call")?;
    let endpoint = names.id(fields.text("member")?);
    let outcome = outcome(fields.text("ending")?)?;
    let note: Option<u64> = fields.optional_number("stand")?;
    let latency = fields.number("took")?;
    let attempt = fields.number("n")?;
    let closed = fields.flag("doneFlag")?;
    let origin = origin?;
    let report = replication::report(fields.optional_text("feedback")?, origin)?;
    Ok(Event::AttemptEnded(AttemptEnded {
        request,
        endpoint,
        attempt,
        outcome,
        replication: replication::note(note.unwrap_or(0), origin),
        report,
        latency,
        is_request_complete: closed,
    }))
}

/// `SAMPLED`: the result of a probe.
pub fn probe_ended(
    fields: &mut Fields<'_>,
    names: &mut EndpointNames,
    origin: Result<Timestamp, LineError>,
) -> Result<Event, LineError> {
    let endpoint = names.id(fields.text("member")?);
    let outcome = outcome(fields.text("ending")?)?;
    fields.number::<u64>("took")?;
    let text = fields.optional_text("feedback")?;
    let report = replication::report(text, origin?)?;
    Ok(Event::HealthCheckEnded {
        endpoint,
        outcome,
        report,
    })
}

/// `FLOWING`: a streamed answer has begun.
pub fn response_started(
    fields: &mut Fields<'_>,
    names: &mut EndpointNames,
) -> Result<Event, LineError> {
    let request = fields.request_id("call")?;
    fields.number::<u64>("took")?;
    let attempt = fields.number("n")?;
    let endpoint = names.id(fields.text("member")?);
    Ok(Event::ResponseStarted {
        request,
        attempt,
        endpoint,
    })
}

/// `CLIENT_LEFT`.
pub fn client_left(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let request = fields.request_id("call")?;
    Ok(Event::ClientDisconnected { request })
}

/// `DEADLINE_HIT`: a timer is due.
pub fn timer(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let token = fields.number("ref")?;
    Ok(Event::Timer { token })
}
