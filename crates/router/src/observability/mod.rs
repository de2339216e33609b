//! Provides the router's output for operators: counters, the reason for which each connection ended, and the log.
//!
//! The other modules count and log through it; nothing here influences routing.

pub mod close_reason;
pub mod counters;
pub mod logging;
