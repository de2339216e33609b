//! The decisions of a read/write splitter for replicated database clusters, without any I/O.
//!
//! A proxy owns one [`Brain`] and feeds it [`Event`]s with its own clock; the brain answers with
//! [`Action`]s, which the proxy carries out in order. See the README for a complete example.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod brain;
pub mod interface;
mod samples;

pub use brain::Brain;
pub use interface::*;

#[doc = include_str!("../../../README.md")]
#[cfg(doctest)]
struct ReadmeExamples;
