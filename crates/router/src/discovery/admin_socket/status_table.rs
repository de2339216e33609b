//! Formats the table of endpoints for operators: one line for each endpoint, followed by one line for each claim.
//!
//! Operators' tools parse the table, so its format must not change.

use reelrill_routing::Timestamp;
use reelrill_service_discovery::{
    ClaimedState, EndpointRegistry, EndpointStatus, EndpointView, SourceId, StoredClaim,
};
use std::fmt::Write as _;

const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// Returns the table; `source_name` returns the name of a source.
pub fn format_table(
    endpoints: &EndpointRegistry,
    now: Timestamp,
    source_name: impl Fn(SourceId) -> String,
) -> String {
    let mut table = String::new();
    for status in endpoints.endpoint_statuses() {
        let _ = writeln!(table, "{}", endpoint_line(&status, now));
        for stored in &status.claims {
            let unreachable_since = endpoints.unreachable_since(stored.source);
            let name = source_name(stored.source);
            let _ = writeln!(
                table,
                "{}",
                claim_line(stored, &name, unreachable_since, now)
            );
        }
    }
    let counters = endpoints.counters();
    let _ = writeln!(
        table,
        "{} members, {} contradicted, {} ambiguous, {} refused",
        endpoints.len(),
        counters.state_conflicts,
        counters.ambiguous_names,
        counters.rejected_claims
    );
    table
}

fn endpoint_line(status: &EndpointStatus, now: Timestamp) -> String {
    let state = match &status.listed {
        None => "-",
        Some(view) if view.state == ClaimedState::Ready => "ready",
        Some(_) => "draining",
    };
    let listed_fields = status
        .listed
        .as_ref()
        .map_or_else(String::new, listed_fields);
    let last_response = match status.last_response_at {
        Some(at) => age(now, at) + " ago",
        None => "never".to_owned(),
    };
    format!(
        "{} {state}{listed_fields} rule {:?} answered {last_response}",
        status.endpoint, status.rule
    )
}

fn listed_fields(view: &EndpointView) -> String {
    format!(
        " {} group {} zone {} weight {}",
        view.address, view.replica_set, view.zone, view.weight
    )
}

fn claim_line(
    stored: &StoredClaim,
    source: &str,
    unreachable_since: Option<Timestamp>,
    now: Timestamp,
) -> String {
    let stale = if stored.is_stale { " stale" } else { "" };
    let unreachable =
        unreachable_since.map_or_else(String::new, |at| format!(" silent {}", age(now, at)));
    format!(
        "    {source} says {:?} {} start {} told {} ago, the same for {}{stale}{unreachable}",
        stored.claim.state,
        stored.claim.address,
        stored.claim.started_at / NANOS_PER_MILLISECOND,
        age(now, stored.renewed_at),
        age(now, stored.unchanged_since),
    )
}

/// Returns the time from `at` to `now` as text, in seconds with one decimal place.
fn age(now: Timestamp, at: Timestamp) -> String {
    let seconds = now.saturating_sub(at) as f64 / NANOS_PER_SECOND;
    format!("{seconds:.1}s")
}
