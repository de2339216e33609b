//! The text of an endpoint's load report, such as `x0=1767225600.25,x1=1,inflight=7`.
//!
//! Of it the router reads the applied position (`x0`, in seconds since 1970) and the role (`x1`, 1 for the primary).
//! Whatever else it says, or says wrongly, is left out.

use reelrill_routing::{ReplicationStatus, Role};

const NANOS_PER_SECOND: f64 = 1e9;
/// The position was rounded to milliseconds, and must not be taken for a newer one than it is.
const ROUNDING_NANOS: f64 = 1e6;

/// Reads what a load report says of replication. The position is taken a millisecond staler, since it was rounded.
pub fn parse_load_report(text: &str) -> ReplicationStatus {
    let mut status = ReplicationStatus::default();
    let fields = text.split(',').filter_map(|f| f.trim().split_once('='));
    for (name, value) in fields {
        match (name, value.parse::<f64>()) {
            ("x0", Ok(seconds)) if seconds > 0.0 => {
                let nanos = seconds * NANOS_PER_SECOND - ROUNDING_NANOS;
                status.applied_position = Some(nanos.max(0.0) as u64);
            }
            ("x1", Ok(role)) => {
                let is_primary = role == 1.0;
                status.role = Some(if is_primary {
                    Role::Primary
                } else {
                    Role::Replica
                });
            }
            _ => {}
        }
    }
    status
}

#[cfg(test)]
mod tests;
