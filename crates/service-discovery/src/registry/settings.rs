//! Settings of the endpoint registry.

use reelrill_routing::Nanos;

const SECOND: Nanos = 1_000_000_000;

/// Limits, durations (in nanoseconds) and rule switches of the registry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RegistrySettings {
    /// The time for which a response of an endpoint counts as its heartbeat, and for which an endpoint that reported
    /// its own drain is listed as draining.
    pub heartbeat_ttl: Nanos,
    /// The time for which an unlisted endpoint without claims is remembered, so that an outdated claim about it is
    /// recognized.
    pub retention: Nanos,
    /// The maximum number of endpoints. Claims about further endpoints are rejected and counted.
    pub max_endpoints: usize,
    /// Whether only a newer claim lifts a drain. Only tests disable it, to verify that they detect the resulting
    /// faults.
    pub has_sticky_drains: bool,
    /// Whether the claims of a source that failed stay in force. Only tests disable it, to verify that they detect the
    /// resulting faults.
    pub should_keep_claims_of_failed_sources: bool,
    /// Whether an endpoint that one source no longer lists stays listed while another source lists it or it responds.
    /// Only tests disable it, to verify that they detect the resulting faults.
    pub should_require_all_sources_for_removal: bool,
}

impl Default for RegistrySettings {
    fn default() -> RegistrySettings {
        RegistrySettings {
            heartbeat_ttl: 30 * SECOND,
            retention: 600 * SECOND,
            max_endpoints: 65_536,
            has_sticky_drains: true,
            should_keep_claims_of_failed_sources: true,
            should_require_all_sources_for_removal: true,
        }
    }
}
