//! Regression tests of the balancer alone, by module: each guards against one failure that
//! occurred.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod endpoint_list;
mod outlier_detection;
mod primary_tracking;
mod processor_share;
mod replica_selection;
mod retry;
mod session_consistency;
mod slow_start;
