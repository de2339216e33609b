//! The balancer's actions as lines of the reply.

use reelrill_routing::{Action, Nanos};
use std::fmt;

/// An action of one router, displayed as its line.
pub struct ActionLine<'a> {
    /// The router's number.
    pub router: u64,
    /// What it does.
    pub action: &'a Action,
}

/// A span that may not be told.
struct OptionalNanos(Option<Nanos>);

impl fmt::Display for OptionalNanos {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(nanos) => write!(f, "{nanos}"),
            None => f.write_str("-"),
        }
    }
}

impl fmt::Display for ActionLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let router = self.router;
        match self.action {
            Action::Send {
                request,
                endpoint,
                limit,
                write_by: _,
            } => {
                let limit = OptionalNanos(*limit);
                write!(f, "RELAY\t{router}\t{request:016x}\t{endpoint}\t{limit}")
            }
            Action::Reject {
                request,
                reason: _,
                retry_after,
            } => {
                let after = OptionalNanos(*retry_after);
                write!(f, "NOT_NOW\t{router}\t{request:016x}\t{after}")
            }
            Action::Fail { request, reason: _ } => {
                write!(f, "RESPOND_ERROR\t{router}\t{request:016x}")
            }
            Action::Cancel { request, attempt } => {
                write!(f, "DROP_ATTEMPT\t{router}\t{request:016x}\t{attempt}")
            }
            Action::SetTimer { after, token } => write!(f, "SET_TIMER\t{router}\t{after}\t{token}"),
            Action::CheckHealth { endpoint } => write!(f, "PROBE\t{router}\t{endpoint}"),
            Action::Subscribe => write!(f, "WATCH\t{router}\t1"),
            Action::FetchList => write!(f, "REFRESH\t{router}"),
        }
    }
}
