//! The table of endpoints as operators see it: one line for each endpoint, and one below it for each claim.

use reelrill_routing::Timestamp;
use reelrill_service_discovery::{
    ClaimedState, EndpointRegistry, EndpointStatus, EndpointView, SourceId, StoredClaim,
};
use std::fmt::Write as _;

const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// The table; `source_name` gives a source's name.
pub fn table(
    endpoints: &EndpointRegistry,
    now: Timestamp,
    source_name: impl Fn(SourceId) -> String,
) -> String {
    let mut table = String::new();
    for status in endpoints.endpoint_statuses() {
        let _ = writeln!(table, "{}", endpoint_line(&status, now));
        for held in &status.claims {
            let silent_since = endpoints.unreachable_since(held.source);
            let name = source_name(held.source);
            let _ = writeln!(table, "{}", claim_line(held, &name, silent_since, now));
        }
    }
    let counts = endpoints.counters();
    let _ = writeln!(
        table,
        "{} members, {} contradicted, {} ambiguous, {} refused",
        endpoints.len(),
        counts.state_conflicts,
        counts.ambiguous_names,
        counts.rejected_claims
    );
    table
}

fn endpoint_line(status: &EndpointStatus, now: Timestamp) -> String {
    let state = match &status.listed {
        None => "-",
        Some(view) if view.state == ClaimedState::Ready => "ready",
        Some(_) => "draining",
    };
    let place = status.listed.as_ref().map_or_else(String::new, place);
    let answered = match status.last_response_at {
        Some(at) => age(now, at) + " ago",
        None => "never".to_owned(),
    };
    format!(
        "{} {state}{place} rule {:?} answered {answered}",
        status.endpoint, status.rule
    )
}

fn place(view: &EndpointView) -> String {
    format!(
        " {} group {} zone {} weight {}",
        view.address, view.replica_set, view.zone, view.weight
    )
}

fn claim_line(
    held: &StoredClaim,
    source: &str,
    silent_since: Option<Timestamp>,
    now: Timestamp,
) -> String {
    let stale = if held.is_stale { " stale" } else { "" };
    let silent = silent_since.map_or_else(String::new, |at| format!(" silent {}", age(now, at)));
    format!(
        "    {source} says {:?} {} start {} told {} ago, the same for {}{stale}{silent}",
        held.claim.state,
        held.claim.address,
        held.claim.started_at / NANOS_PER_MILLISECOND,
        age(now, held.renewed_at),
        age(now, held.unchanged_since),
    )
}

/// How long ago `at` was, in seconds.
fn age(now: Timestamp, at: Timestamp) -> String {
    let seconds = now.saturating_sub(at) as f64 / NANOS_PER_SECOND;
    format!("{seconds:.1}s")
}
