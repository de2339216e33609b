//! Estimates the platform's time from the positions that endpoints report and the start times that the discovery
//! service reports.
//!
//! Positions and start times are Unix times of the platform's one clock. The router reads its own system clock only
//! once, and that clock may have been stepped by seconds or an hour just before the process started. Durations are
//! measured on the monotonic clock alone, so only the offset between the two clocks is unknown. Two facts bound it:
//!
//! - A position or a start time is never in the future, so each is a lower bound of the platform's time when it is
//!   read. A router clock that is behind is detected at the first of them, and the estimate is raised.
//! - Nothing yields an upper bound: the positions of replicas trail by their lag, and those of an idle or superseded
//!   primary by any duration. A router clock that is ahead is therefore not corrected. Endpoints then look staler than
//!   they are, which does not violate a staleness bound, but also as if they had run for longer, which defeats slow
//!   start.
//!
//! A single endpoint may report a wrong position, and one that is an hour ahead would make every other endpoint look
//! stale. A position ahead of the estimate is therefore ignored until a second endpoint reports one as well. The
//! discovery service is the same for all endpoints, and its start times are accepted without confirmation.

use reelrill_routing::{EndpointId, Nanos, Timestamp};

/// The difference in nanoseconds up to which a time ahead of the estimate is no evidence of a clock offset: positions
/// and start times are rounded to milliseconds.
const TOLERANCE: Nanos = 20_000_000;

/// Estimates the offset between the platform's time and the router's. The offset only grows.
#[derive(Debug, Default)]
pub struct PlatformClock {
    /// The estimated offset: how far the platform's time is ahead of the router's.
    offset: Nanos,
    /// The endpoint that last reported a position ahead of the estimate, and how far that was ahead of the router's
    /// time.
    unconfirmed: Option<(EndpointId, Nanos)>,
}

impl PlatformClock {
    /// Converts the router's time to the platform's.
    pub fn to_platform_time(&self, router_time: Timestamp) -> Timestamp {
        router_time.saturating_add(self.offset)
    }

    /// Converts the platform's time to the router's.
    pub fn to_router_time(&self, platform_time: Timestamp) -> Timestamp {
        platform_time.saturating_sub(self.offset)
    }

    /// Returns the position if it is not ahead of the estimate, without changing the estimate. For the position in a
    /// malformed response, which is no evidence of the platform's time, only this method is used.
    pub fn plausible_position(
        &self,
        router_time: Timestamp,
        applied_position: Timestamp,
    ) -> Option<Timestamp> {
        (applied_position <= self.to_platform_time(router_time).saturating_add(TOLERANCE))
            .then_some(applied_position)
    }

    /// Updates the estimate with the position that an endpoint reported. Returns the position, or `None` if it is ahead
    /// of the estimate. If `is_only_endpoint`, no other endpoint can confirm the position, and it is accepted.
    pub fn on_position(
        &mut self,
        router_time: Timestamp,
        endpoint: &EndpointId,
        applied_position: Timestamp,
        is_only_endpoint: bool,
    ) -> Option<Timestamp> {
        if let Some(applied_position) = self.plausible_position(router_time, applied_position) {
            return Some(applied_position);
        }
        let offset = applied_position.saturating_sub(router_time);
        let confirmed = match &self.unconfirmed {
            _ if is_only_endpoint => Some(offset),
            Some((other, other_offset)) if other != endpoint => Some(offset.min(*other_offset)),
            _ => None,
        };
        if let Some(confirmed) = confirmed {
            self.offset = self.offset.max(confirmed);
        }
        self.unconfirmed = Some((endpoint.clone(), offset));
        self.plausible_position(router_time, applied_position)
    }

    /// Updates the estimate with the start time of an endpoint that the discovery service reported.
    pub fn on_start_time(&mut self, router_time: Timestamp, started: Timestamp) {
        if started > self.to_platform_time(router_time).saturating_add(TOLERANCE) {
            self.offset = started.saturating_sub(router_time);
        }
    }
}

#[cfg(test)]
mod tests;
