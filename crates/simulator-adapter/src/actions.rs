//! Formats the balancer's actions as lines of the reply.

use reelrill_routing::{Action, Nanos};
use std::fmt;

/// Displays an action of one router as a line of the reply, with its line end. An action that the simulator does not need
/// is empty.
pub struct ActionLine<'a> {
    /// The router's id.
    pub router_id: u64,
    /// The action.
    pub action: &'a Action,
}

/// Displays a duration in nanoseconds, or `-` if there is none.
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
        let router_id = self.router_id;
        match self.action {
            // The simulator counts an attempt as written in the instant in which it is sent.
            Action::Withdraw { .. } => return Ok(()),
            Action::Send {
                request,
                endpoint,
                limit,
                write_by: _,
            } => {
                let limit = OptionalNanos(*limit);
                write!(f, "RELAY\t{router_id}\t{request:016x}\t{endpoint}\t{limit}")
            }
            Action::Reject {
                request,
                reason: _,
                retry_after,
            } => {
                let retry_after = OptionalNanos(*retry_after);
                write!(f, "NOT_NOW\t{router_id}\t{request:016x}\t{retry_after}")
            }
            Action::Fail { request, reason: _ } => {
                write!(f, "RESPOND_ERROR\t{router_id}\t{request:016x}")
            }
            Action::Cancel { request, attempt } => {
                write!(f, "DROP_ATTEMPT\t{router_id}\t{request:016x}\t{attempt}")
            }
            Action::SetTimer { after, token } => {
                write!(f, "SET_TIMER\t{router_id}\t{after}\t{token}")
            }
            Action::CheckHealth { endpoint } => write!(f, "PROBE\t{router_id}\t{endpoint}"),
            Action::Subscribe => write!(f, "WATCH\t{router_id}\t1"),
            Action::FetchList => write!(f, "REFRESH\t{router_id}"),
        }?;
        writeln!(f)
    }
}
