//! What the endpoint list says of one endpoint now.
//!
//! Shared by the pool's handle, which writes it, and the pool's tasks, which read it again before each write.

use crate::runtime::shared::Shared;
use reelrill_routing::Timestamp;
use std::cell::Cell;
use std::net::SocketAddr;

/// The endpoint's address, and since when it drains.
#[derive(Debug)]
pub struct EndpointStatus {
    address: Cell<SocketAddr>,
    draining_since: Cell<Option<Timestamp>>,
}

impl EndpointStatus {
    /// An endpoint that does not drain.
    pub fn new(address: SocketAddr) -> EndpointStatus {
        EndpointStatus {
            address: Cell::new(address),
            draining_since: Cell::new(None),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Takes over what the list says now, and returns whether the address has changed. A drain that is already known
    /// keeps its start.
    pub fn update(&self, address: SocketAddr, is_draining: bool, now: Timestamp) -> bool {
        let draining_since = self.draining_since.get().unwrap_or(now);
        self.draining_since
            .set(is_draining.then_some(draining_since));
        self.address.replace(address) != address
    }

    /// It drains, and no request may be written to it any more.
    pub fn is_closed_to_new(&self, shared: &Shared) -> bool {
        let cutoff = shared.config.site.settings.rules.drain_cutoff();
        self.draining_since
            .get()
            .is_some_and(|since| shared.clock.now() >= since.saturating_add(cutoff))
    }
}
