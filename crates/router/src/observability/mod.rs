//! Provides the router's output for operators: counters, the reason for which each connection ended, and the log.
//!
//! All other modules use it to count and to log. It has no influence on routing.

pub mod close_reason;
pub mod counters;
pub mod logging;
