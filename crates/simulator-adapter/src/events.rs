//! Parses messages into events of the balancer. Each function reads the fields after the router's id.

use crate::endpoint_lists::EndpointIds;
use crate::error::LineError;
use crate::fields::{Fields, unknown_value};
use crate::replication;
use reelrill_routing::{AttemptEnded, AttemptOutcome, Event, Nanos, Request, Timestamp};
use std::sync::Arc;

/// The bit of a request's flags which states that the `work` field is valid.
const FLAG_HAS_EXPECTED_EXECUTION_TIME: u64 = 1;
/// The bit of a request's flags which states that the client marked the request as a retry.
const FLAG_IS_RETRY: u64 = 2;
const NANOS_PER_MILLISECOND: f64 = 1e6;

/// Parses the outcome of an attempt or a health check.
fn parse_outcome(text: &str) -> Result<AttemptOutcome, LineError> {
    Ok(match text {
        "delivered" => AttemptOutcome::Served,
        "app_error" => AttemptOutcome::Error,
        "shed" => AttemptOutcome::Overloaded,
        "expired" => AttemptOutcome::TimedOut,
        "dial_failed" => AttemptOutcome::ConnectFailed,
        "dropped" => AttemptOutcome::ConnectionReset,
        "revoked" => AttemptOutcome::Cancelled,
        "unused" => AttemptOutcome::Abandoned,
        "empty" => AttemptOutcome::Misrouted,
        other => return unknown_value("ending", other),
    })
}

/// Parses `ORDER`: a client's request.
pub fn request(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let id = fields.request_id("call")?;
    let session = fields.optional_text("clientKey")?.map(Arc::from);
    let since_write_ms: Option<f64> = fields.optional_number("sinceWriteMs")?;
    let replica_set = fields.number::<f64>("cluster")? as u32;
    let execution_time: Option<Nanos> = fields.optional_number("work")?;
    let tenant = fields.optional_number("project")?;
    let class = fields.number("band")?;
    let flags: u64 = fields.number("flags")?;
    let time_left = fields.number("ttl")?;
    // 0 means that the session has not written anything.
    let positive_since_write_ms = since_write_ms.filter(|ms| *ms > 0.0);
    Ok(Event::Request(Request {
        id,
        class,
        replica_set,
        session,
        since_write: positive_since_write_ms.map(|ms| (ms * NANOS_PER_MILLISECOND) as Nanos),
        tenant,
        expected_execution_time: execution_time
            .filter(|time| flags & FLAG_HAS_EXPECTED_EXECUTION_TIME != 0 && *time > 0),
        is_retry: flags & FLAG_IS_RETRY != 0,
        time_left,
    }))
}

/// Parses `OUTCOME`: the end of an attempt. `position_origin` is an error if the router is unknown; errors in the
/// fields before the load report take precedence over it.
pub fn attempt_ended(
    fields: &mut Fields<'_>,
    endpoint_ids: &mut EndpointIds,
    position_origin: Result<Timestamp, LineError>,
) -> Result<Event, LineError> {
    let request = fields.request_id("call")?;
    let endpoint = endpoint_ids.id(fields.text("member")?);
    let outcome = parse_outcome(fields.text("ending")?)?;
    let encoded_status: Option<u64> = fields.optional_number("stand")?;
    let latency = fields.number("took")?;
    let attempt = fields.number("n")?;
    let is_complete = fields.flag("doneFlag")?;
    let position_origin = position_origin?;
    let report =
        replication::parse_load_report(fields.optional_text("feedback")?, position_origin)?;
    Ok(Event::AttemptEnded(AttemptEnded {
        request,
        endpoint,
        attempt,
        outcome,
        replication: replication::decode_response_status(
            encoded_status.unwrap_or(0),
            position_origin,
        ),
        report,
        latency,
        is_request_complete: is_complete,
    }))
}

/// Parses `SAMPLED`: the end of a health check. `position_origin` is as in [`attempt_ended`].
pub fn health_check_ended(
    fields: &mut Fields<'_>,
    endpoint_ids: &mut EndpointIds,
    position_origin: Result<Timestamp, LineError>,
) -> Result<Event, LineError> {
    let endpoint = endpoint_ids.id(fields.text("member")?);
    let outcome = parse_outcome(fields.text("ending")?)?;
    fields.number::<u64>("took")?;
    let report_text = fields.optional_text("feedback")?;
    let report = replication::parse_load_report(report_text, position_origin?)?;
    Ok(Event::HealthCheckEnded {
        endpoint,
        outcome,
        report,
    })
}

/// Parses `FLOWING`: the start of a streamed response.
pub fn response_started(
    fields: &mut Fields<'_>,
    endpoint_ids: &mut EndpointIds,
) -> Result<Event, LineError> {
    let request = fields.request_id("call")?;
    fields.number::<u64>("took")?;
    let attempt = fields.number("n")?;
    let endpoint = endpoint_ids.id(fields.text("member")?);
    Ok(Event::ResponseStarted {
        request,
        attempt,
        endpoint,
    })
}

/// Parses `CLIENT_LEFT`: the disconnection of a client.
pub fn client_disconnected(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let request = fields.request_id("call")?;
    Ok(Event::ClientDisconnected { request })
}

/// Parses `DEADLINE_HIT`: a timer that is due.
pub fn timer(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let token = fields.number("ref")?;
    Ok(Event::Timer { token })
}
