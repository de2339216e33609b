//! The messages of the discovery tasks.

use crate::extensions::DiscoverySettings;
use crate::messages::ListedEndpoint;
use reelrill_routing::{EndpointId, ListKind};
use reelrill_service_discovery::SourceId;

/// What the list watch is asked for.
#[derive(Debug, Clone, Copy)]
pub enum EndpointListRequest {
    /// Changes, from now on.
    Subscribe,
    /// The complete list, once.
    Fetch,
}

/// What the endpoint registry takes in.
pub enum RegistryEvent {
    /// How a poll of the endpoint list ended.
    EndpointList {
        /// Complete, changes only, or failed.
        kind: ListKind,
        /// The list's entries.
        listed: Vec<ListedEndpoint>,
        /// The list's version; 0 if the poll failed.
        version: u64,
    },
    /// An endpoint responded to a request.
    EndpointResponded {
        /// The endpoint.
        endpoint: EndpointId,
        /// It stated that it is draining.
        is_draining: bool,
    },
    /// What came for a DNS query.
    DnsResponse {
        /// The service that is browsed.
        source: SourceId,
        /// The query's number.
        query: u64,
        /// None: the query could not be sent, or its connection broke.
        bytes: Option<Vec<u8>>,
    },
    /// The settings have been read again.
    SettingsReloaded(DiscoverySettings),
}
