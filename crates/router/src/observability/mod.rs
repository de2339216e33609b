//! What operators see: counters, close reasons and the log.

pub mod counters;
pub mod log;
