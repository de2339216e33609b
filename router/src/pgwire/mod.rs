//! Version 3 of the PostgreSQL protocol, as far as clients and instances speak it here.

pub mod codec;
pub mod comment;
