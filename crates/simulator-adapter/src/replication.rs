//! Decodes the replication status of endpoints in the simulator's input. Positions there are relative to the settings'
//! `originTime`.

use crate::error::LineError;
use reelrill_routing::{Nanos, ReplicationStatus, Role, Timestamp};

/// The resolution of positions in load reports, which have three decimals of a second. It is subtracted, so that
/// rounding never makes an endpoint seem more recent than it is.
const REPORT_ROUNDING_NS: f64 = 1e6;
const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
/// The number of role codes. A response's status is an integer with the role code in its lowest two bits and the
/// position in milliseconds above them.
const ROLE_CODES: u64 = 4;

/// Parses a load report: pairs of name and value, such as `x0:12.5,x1:1`. `x0` is the position in seconds, and `x1` is
/// 1 at a primary; other names are ignored. Without a report the status is empty.
///
/// # Errors
/// Fails if an item is not a pair, or its value is not a number.
pub fn parse_load_report(
    text: Option<&str>,
    position_origin: Timestamp,
) -> Result<ReplicationStatus, LineError> {
    let mut status = ReplicationStatus::default();
    let pairs = text.unwrap_or("").split(',');
    for pair in pairs.filter(|pair| !pair.is_empty()) {
        let Some((name, value)) = pair.split_once(':') else {
            return Err(LineError::InvalidReportPair(pair.to_owned()));
        };
        let Ok(value) = value.parse::<f64>() else {
            return Err(LineError::InvalidReportValue(value.to_owned()));
        };
        match name {
            "x0" => {
                let since_origin =
                    (value * NANOS_PER_SECOND - REPORT_ROUNDING_NS).max(0.0) as Nanos;
                status.applied_position = Some(position_origin.saturating_add(since_origin));
            }
            "x1" if value == 1.0 => status.role = Some(Role::Primary),
            "x1" => status.role = Some(Role::Replica),
            _ => {}
        }
    }
    Ok(status)
}

/// Decodes the status that a response carries; 0 is an empty status.
pub fn decode_response_status(
    encoded_status: u64,
    position_origin: Timestamp,
) -> ReplicationStatus {
    let role = match encoded_status % ROLE_CODES {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    };
    let position_ms = encoded_status / ROLE_CODES;
    let since_origin = position_ms.saturating_mul(NANOS_PER_MILLISECOND);
    ReplicationStatus {
        role,
        applied_position: (position_ms > 0).then(|| position_origin.saturating_add(since_origin)),
    }
}
