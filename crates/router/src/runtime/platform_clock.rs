//! The platform's time, estimated from what it tells.
//!
//! Positions and start times are Unix times by the platform's one clock; the router's own wall clock may have been
//! stepped by seconds or an hour just before the process started, and is read once. Spans are measured on the
//! monotonic clock alone, so only the offset between the two is in question. What is known of it:
//!
//! - A position is never in the future, and nor is a start: each is a lower bound of the platform's time when it is
//!   read. A clock that is behind shows at the first of them, and the estimate is raised.
//! - An upper bound is not told by anybody: positions of replicas trail by their lag, those of an idle or superseded
//!   primary by any span. A clock that is ahead is not corrected here: endpoints then look staler than they are, which
//!   keeps the rule on the age of data, but warmer, which does not keep slow start.
//!
//! A single endpoint may tell nonsense, and one hour too many would make every other endpoint look stale. So a position
//! ahead of the estimate counts once a second endpoint has told one, too; until then it tells nothing. Discovery is
//! one service for all and is believed.

use reelrill_routing::{EndpointId, Nanos, Timestamp};

/// Positions and starts are rounded to milliseconds; less than this ahead is no evidence of another clock.
const TOLERANCE: Nanos = 20_000_000;

/// Estimates the platform's time; it only ever moves forward.
#[derive(Debug, Default)]
pub struct PlatformClock {
    /// How far the platform's time is ahead of the router's own.
    ahead: Nanos,
    /// Who told last of a time ahead of the estimate, and how far that was ahead of the router's own.
    claim: Option<(EndpointId, Nanos)>,
}

impl PlatformClock {
    /// The platform's time at `own`, the router's.
    pub fn platform(&self, own: Timestamp) -> Timestamp {
        own.saturating_add(self.ahead)
    }

    /// The router's time at `platform`, the platform's.
    pub fn own(&self, platform: Timestamp) -> Timestamp {
        platform.saturating_sub(self.ahead)
    }

    /// What can be believed of a position that proves nothing: one that came with a malformed answer.
    pub fn plausible(&self, own: Timestamp, applied_position: Timestamp) -> Option<Timestamp> {
        (applied_position <= self.platform(own).saturating_add(TOLERANCE))
            .then_some(applied_position)
    }

    /// An endpoint has told its position. Returns what can be believed of it; `is_only`: no other endpoint is known
    /// that could confirm it.
    pub fn on_position(
        &mut self,
        own: Timestamp,
        address: &EndpointId,
        applied_position: Timestamp,
        is_only: bool,
    ) -> Option<Timestamp> {
        if let Some(applied_position) = self.plausible(own, applied_position) {
            return Some(applied_position);
        }
        let ahead = applied_position.saturating_sub(own);
        let confirmed = match &self.claim {
            _ if is_only => Some(ahead),
            Some((other, theirs)) if other != address => Some(ahead.min(*theirs)),
            _ => None,
        };
        if let Some(confirmed) = confirmed {
            self.ahead = self.ahead.max(confirmed);
        }
        self.claim = Some((address.clone(), ahead));
        self.plausible(own, applied_position)
    }

    /// Discovery has told when an endpoint started.
    pub fn on_start(&mut self, own: Timestamp, started: Timestamp) {
        if started > self.platform(own).saturating_add(TOLERANCE) {
            self.ahead = started.saturating_sub(own);
        }
    }
}

#[cfg(test)]
mod tests;
