//! Tests of the parsing of load reports.

use super::parse_load_report;
use reelrill_routing::{ReplicationStatus, Role};

/// Guards against a rounded position that makes data appear newer than it is, and against a status from a text that is
/// not a load report.
#[test]
fn rounds_the_position_down_and_ignores_malformed_text() {
    let status = parse_load_report("x0=1767225600.25,x1=1,inflight=7,util=0.61");
    assert_eq!(status.role, Some(Role::Primary));
    assert!(
        status
            .applied_position
            .is_some_and(|at| at <= 1_767_225_600_249_000_000 && at > 1_767_225_600_248_000_000)
    );
    assert_eq!(parse_load_report("nonsense"), ReplicationStatus::default());
}
