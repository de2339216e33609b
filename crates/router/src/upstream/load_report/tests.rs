use super::parse_load_report;
use reelrill_routing::{ReplicationStatus, Role};

#[test]
fn reports_are_read_towards_staler_data() {
    let r = parse_load_report("x0=1767225600.25,x1=1,inflight=7,util=0.61");
    assert_eq!(r.role, Some(Role::Primary));
    assert!(
        r.applied_position
            .is_some_and(|p| p <= 1_767_225_600_249_000_000 && p > 1_767_225_600_248_000_000)
    );
    assert_eq!(parse_load_report("nonsense"), ReplicationStatus::default());
}
