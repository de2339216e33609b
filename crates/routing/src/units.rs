//! Time and identifiers that the interface's types share.

use std::sync::Arc;

/// A point on the host's clock, nanoseconds. It starts at no special value and only goes forward.
pub type Timestamp = u64;
/// A length of time, nanoseconds.
pub type Nanos = u64;
/// Identifies a client's request; never given twice to one balancer.
pub type RequestId = u64;
/// An endpoint's own name, such as `10.0.0.7:5432`; the same at every router, and kept over restarts.
pub type EndpointId = Arc<str>;
