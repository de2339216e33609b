//! The limits and durations by which the registry merges claims.

use reelrill_routing::Nanos;

const SECOND: Nanos = 1_000_000_000;

/// Limits and durations, in nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RegistrySettings {
    /// How long an endpoint's response counts as its heartbeat, and its own statement that it is draining binds.
    pub heartbeat_ttl: Nanos,
    /// How long an endpoint that nobody names is remembered, so that an outdated claim about it is recognized.
    pub retention: Nanos,
    /// The most endpoints; claims of others are not taken in, and counted.
    pub max_endpoints: usize,
    /// Only a newer claim lifts a drain. Off only to show that a check finds it.
    pub has_sticky_drains: bool,
    /// A failure of a source takes nothing away. Off only to show that a check finds it.
    pub should_keep_claims_of_failed_sources: bool,
    /// An endpoint that one source no longer names stays as long as others name it or it responds. Off only to show
    /// that a check finds it.
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
