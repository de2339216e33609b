//! Service discovery without I/O: the endpoint list's watch, the DNS-SD browser, and the merge of several sources into
//! one list. Claims of the sources, the endpoints' heartbeats and the time come in as arguments, changes of the list
//! come out.
//!
//! ```
//! use reelrill_service_discovery::{Claim, EndpointRegistry, RegistryInput, RegistrySettings, SourceKind};
//! let mut endpoints = EndpointRegistry::new(RegistrySettings::default(), 0);
//! endpoints.handle(0, RegistryInput::SourceAdded { source: 0, kind: SourceKind::EndpointList }, &mut Vec::new());
//! let claim = Claim::new("s-1", "127.0.0.1:7001".parse().unwrap(), 1);
//! let mut changes = Vec::new();
//! endpoints.handle(0, RegistryInput::Claimed { source: 0, name: "s-1".into(), claim }, &mut changes);
//! assert_eq!(changes[0].endpoint(), "s-1");
//! ```
//!
//! The rules ([`ListingRule`] names the one that decided) are written out in `docs/design/membership.md`.
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
