//! Defines the messages to the discovery tasks.

use crate::extensions::DiscoverySettings;
use crate::messages::ListedEndpoint;
use reelrill_routing::{EndpointId, ListKind};
use reelrill_service_discovery::SourceId;

/// A request to the list watch.
#[derive(Debug, Clone, Copy)]
pub enum EndpointListRequest {
    /// Requests all changes from now on.
    Subscribe,
    /// Requests the complete list, once.
    Fetch,
}

/// An event that the endpoint registry handles.
pub enum RegistryEvent {
    /// A poll of the endpoint list has ended.
    EndpointList {
        /// Whether `listed` is the complete list or only changes, or whether the poll failed.
        kind: ListKind,
        /// The list's entries; none if the poll failed.
        listed: Vec<ListedEndpoint>,
        /// The list's version; 0 if the poll failed.
        version: u64,
    },
    /// An endpoint responded to a request.
    EndpointResponded {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the response stated that the endpoint is draining.
        is_draining: bool,
    },
    /// A response to a DNS query has arrived, or the query failed.
    DnsResponse {
        /// The number of the browsed service among the sources.
        source: SourceId,
        /// The query's number.
        query: u64,
        /// The bytes of the response; `None` if the query could not be sent, or its connection broke.
        bytes: Option<Vec<u8>>,
    },
    /// The project's own settings have been reloaded.
    SettingsReloaded(DiscoverySettings),
}
