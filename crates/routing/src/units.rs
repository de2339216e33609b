//! Time and identifiers that the interface's types share.

use std::sync::Arc;

/// A point in time on the host's monotonic clock, nanoseconds since an arbitrary origin.
pub type Timestamp = u64;
/// A length of time, nanoseconds.
pub type Nanos = u64;
/// Identifies a client's request; unique within one balancer.
pub type RequestId = u64;
/// An endpoint's name, such as `10.0.0.7:5432`; the same at every router, and kept over restarts.
pub type EndpointId = Arc<str>;
