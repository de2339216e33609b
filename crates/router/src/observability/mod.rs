//! What operators see of the router: counters, the reason for which each connection ended, and the log.
//!
//! Nothing here decides anything; the other modules count and log through it.

pub mod close_reason;
pub mod counters;
pub mod logging;
