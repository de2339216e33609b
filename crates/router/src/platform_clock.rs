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

use reelrill_routing::{MemberId, Span, Time};

/// Positions and starts are rounded to milliseconds; less than this ahead is no evidence of another clock.
const TOLERANCE: Span = 20_000_000;

/// Estimates the platform's time; it only ever moves forward.
#[derive(Debug, Default)]
pub struct PlatformClock {
    /// How far the platform's time is ahead of the router's own.
    ahead: Span,
    /// Who told last of a time ahead of the estimate, and how far that was ahead of the router's own.
    claim: Option<(MemberId, Span)>,
}

impl PlatformClock {
    /// The platform's time at `own`, the router's.
    pub fn platform(&self, own: Time) -> Time {
        own.saturating_add(self.ahead)
    }

    /// The router's time at `platform`, the platform's.
    pub fn own(&self, platform: Time) -> Time {
        platform.saturating_sub(self.ahead)
    }

    /// What can be believed of a position that proves nothing: one that came with a malformed answer.
    pub fn plausible(&self, own: Time, position: Time) -> Option<Time> {
        (position <= self.platform(own).saturating_add(TOLERANCE)).then_some(position)
    }

    /// An endpoint has told its position. Returns what can be believed of it; `is_only`: no other endpoint is known
    /// that could confirm it.
    pub fn on_position(
        &mut self,
        own: Time,
        endpoint: &MemberId,
        position: Time,
        is_only: bool,
    ) -> Option<Time> {
        if let Some(position) = self.plausible(own, position) {
            return Some(position);
        }
        let ahead = position.saturating_sub(own);
        let confirmed = match &self.claim {
            _ if is_only => Some(ahead),
            Some((other, theirs)) if other != endpoint => Some(ahead.min(*theirs)),
            _ => None,
        };
        if let Some(confirmed) = confirmed {
            self.ahead = self.ahead.max(confirmed);
        }
        self.claim = Some((endpoint.clone(), ahead));
        self.plausible(own, position)
    }

    /// Discovery has told when an endpoint started.
    pub fn on_start(&mut self, own: Time, started: Time) {
        if started > self.platform(own).saturating_add(TOLERANCE) {
            self.ahead = started.saturating_sub(own);
        }
    }
}

#[cfg(test)]
mod tests;
