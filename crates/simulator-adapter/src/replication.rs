//! What endpoints tell of themselves, on the simulator's wire: positions are counted from the settings' origin.

use crate::error::LineError;
use reelrill_routing::{Nanos, ReplicationStatus, Role, Timestamp};

/// A report's position has three digits behind the point of a second: it is taken one millisecond staler.
const REPORT_ROUNDING_NS: f64 = 1e6;
const SECOND_NS: f64 = 1e9;
const MILLISECOND: Nanos = 1_000_000;
/// An answer's note holds the role in its last two bits, and the position in milliseconds above them.
const ROLES: u64 = 4;

/// Reads a load report: pairs of name and value, such as `x0:12.5,x1:1`. `x0` is the position in seconds, and `x1` is 1
/// at a primary; other names are passed over.
pub fn report(text: Option<&str>, origin: Timestamp) -> Result<ReplicationStatus, LineError> {
    let mut status = ReplicationStatus::default();
    let pairs = text.unwrap_or("").split(',');
    for pair in pairs.filter(|pair| !pair.is_empty()) {
        let Some((name, value)) = pair.split_once(':') else {
            return Err(LineError::ReportPair(pair.to_owned()));
        };
        let Ok(value) = value.parse::<f64>() else {
            return Err(LineError::ReportNumber(value.to_owned()));
        };
        match name {
            "x0" => {
                let since_origin = (value * SECOND_NS - REPORT_ROUNDING_NS).max(0.0) as Nanos;
                status.applied_position = Some(origin.saturating_add(since_origin));
            }
            "x1" if value == 1.0 => status.role = Some(Role::Primary),
            "x1" => status.role = Some(Role::Replica),
            _ => {}
        }
    }
    Ok(status)
}

/// Reads the note that comes with an answer; 0 tells nothing.
pub fn note(note: u64, origin: Timestamp) -> ReplicationStatus {
    let role = match note % ROLES {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    };
    let position_ms = note / ROLES;
    let since_origin = position_ms.saturating_mul(MILLISECOND);
    ReplicationStatus {
        role,
        applied_position: (position_ms > 0).then(|| origin.saturating_add(since_origin)),
    }
}
