//! Service discovery without I/O: the watch of the endpoint list, the DNS-SD browser, and the registry that merges
//! several sources into one endpoint list. The caller passes in the claims of the sources, the endpoints' heartbeats
//! and the time, and receives the changes of the merged list.
//!
//! ```
//! use reelrill_service_discovery::{Claim, EndpointRegistry, RegistryInput, RegistrySettings, SourceKind};
//!
//! let mut endpoints = EndpointRegistry::new(RegistrySettings::default(), 0);
//! endpoints.handle(0, RegistryInput::SourceAdded { source: 0, kind: SourceKind::EndpointList }, &mut Vec::new());
//! let claim = Claim::new("s-1", "127.0.0.1:7001".parse().unwrap(), 1);
//! let mut changes = Vec::new();
//! endpoints.handle(0, RegistryInput::Claimed { source: 0, name: "s-1".into(), claim }, &mut changes);
//! assert_eq!(changes[0].endpoint(), "s-1");
//! ```
//!
//! `docs/design/membership.md` lists the merge rules; [`ListingRule`] identifies the rule that decided about an
//! endpoint.
#![forbid(unsafe_code)]

pub mod browse;
mod registry;
pub mod watch;
pub mod wheel;

pub use registry::{
    Claim, ClaimedState, EndpointRegistry, EndpointStatus, EndpointView, ListChange, ListingRule,
    RegistryCounters, RegistryInput, RegistrySettings, SourceId, SourceKind, StateMarker,
    StoredClaim, Withdrawal,
};
