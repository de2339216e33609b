//! The inputs of the endpoint registry.

use super::claim::{Claim, SourceId, SourceKind, Withdrawal};
use std::collections::HashSet;
use std::sync::Arc;

/// An event that the caller reports to the registry.
#[derive(Debug, Clone)]
pub enum RegistryInput {
    /// A source was added to the configuration.
    SourceAdded {
        /// The source's number.
        source: SourceId,
        /// The source's kind.
        kind: SourceKind,
    },
    /// A source was removed from the configuration. Its claims and markers are dropped.
    SourceRemoved {
        /// The source's number.
        source: SourceId,
    },
    /// A source lists an endpoint, or changes or renews its claim about it.
    Claimed {
        /// The source.
        source: SourceId,
        /// The name that the source uses for the endpoint.
        name: Arc<str>,
        /// The claim.
        claim: Claim,
    },
    /// A source withdraws its claim about an endpoint.
    Withdrawn {
        /// The source.
        source: SourceId,
        /// The name that the source uses for the endpoint.
        name: Arc<str>,
        /// Whether the endpoint was removed or is merely no longer listed.
        withdrawal: Withdrawal,
    },
    /// A source reports all endpoints that it lists. Its claims about any others are withdrawn.
    Snapshot {
        /// The source.
        source: SourceId,
        /// The names that the source uses for these endpoints.
        names: HashSet<Arc<str>>,
    },
    /// A source cannot be reached: it responded with a failure or not at all.
    SourceFailed {
        /// The source.
        source: SourceId,
    },
    /// An endpoint responded to a request. The response counts as its heartbeat.
    EndpointResponded {
        /// The endpoint's id.
        endpoint: Arc<str>,
        /// Whether the response states that the endpoint is draining.
        is_draining: bool,
    },
}
