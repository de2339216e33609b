//! What the registry takes from its host.

use super::claim::{Claim, SourceId, SourceKind, Withdrawal};
use std::collections::HashSet;
use std::sync::Arc;

/// One input of the registry.
#[derive(Debug, Clone)]
pub enum RegistryInput {
    /// A source is there from now on.
    SourceAdded {
        /// Its number.
        source: SourceId,
        /// What it is.
        kind: SourceKind,
    },
    /// A source was taken out of the configuration: its claims no longer count.
    SourceRemoved {
        /// Its number.
        source: SourceId,
    },
    /// A source names an endpoint, or states something else about it.
    Claimed {
        /// The source.
        source: SourceId,
        /// The endpoint, as the source names it.
        name: Arc<str>,
        /// What it states.
        claim: Claim,
    },
    /// A source names an endpoint no longer.
    Withdrawn {
        /// The source.
        source: SourceId,
        /// The endpoint, as the source names it.
        name: Arc<str>,
        /// How.
        withdrawal: Withdrawal,
    },
    /// These are all that the source names.
    Snapshot {
        /// The source.
        source: SourceId,
        /// As the source names them.
        names: HashSet<Arc<str>>,
    },
    /// A source can't be reached: it answered with a failure, or not at all.
    SourceFailed {
        /// The source.
        source: SourceId,
    },
    /// An endpoint responded to a request: its heartbeat.
    EndpointResponded {
        /// The endpoint.
        endpoint: Arc<str>,
        /// It states that it is draining.
        is_draining: bool,
    },
}
