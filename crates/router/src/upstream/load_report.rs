//! Parses an endpoint's load report, such as `x0=1767225600.25,x1=1,inflight=7`.
//!
//! The router reads the applied position (`x0`, Unix time in seconds) and the role (`x1`, 1 for the primary). Other
//! fields and malformed ones are ignored.

use reelrill_routing::{ReplicationStatus, Role};

const NANOS_PER_SECOND: f64 = 1e9;
/// The largest rounding error of a reported position in nanoseconds: endpoints round to milliseconds.
const ROUNDING_ERROR_NANOS: f64 = 1e6;

/// Returns the replication status in a load report. Its position is lowered by a millisecond, because it may have been
/// rounded up, and data must not appear newer than it is.
pub fn parse_load_report(text: &str) -> ReplicationStatus {
    let mut status = ReplicationStatus::default();
    let fields = text
        .split(',')
        .filter_map(|field| field.trim().split_once('='));
    for (name, value) in fields {
        match (name, value.parse::<f64>()) {
            ("x0", Ok(seconds)) if seconds > 0.0 => {
                let nanos = seconds * NANOS_PER_SECOND - ROUNDING_ERROR_NANOS;
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
