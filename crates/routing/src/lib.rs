//! The decisions of a read/write splitter for replicated database clusters, without any I/O.
//!
//! A router owns one [`Brain`] and feeds it [`Event`]s with its own clock; the balancer answers with
//! [`Action`]s, which the router carries out in order. See the README for a complete example.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod balancer;
pub mod interface;
mod samples;

pub use balancer::Balancer;
pub use interface::*;

#[doc = include_str!("../../../README.md")]
#[cfg(doctest)]
struct ReadmeExamples;
