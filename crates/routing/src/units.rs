//! Types for time and identifiers that events, actions and settings share.

use std::sync::Arc;

/// Point in time on the host's monotonic clock, nanoseconds since an arbitrary origin.
pub type Timestamp = u64;
/// Duration, nanoseconds.
pub type Nanos = u64;
/// Identifier of a client's request, unique within one balancer.
pub type RequestId = u64;
/// Name of an endpoint, such as `10.0.0.7:5432`: the same at every router, and unchanged when the
/// endpoint restarts.
pub type EndpointId = Arc<str>;
