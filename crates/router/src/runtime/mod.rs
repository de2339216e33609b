//! What all tasks of the one thread share: buffers, the clock, the descriptor budget and the shutdown phase.

pub mod accept;
pub mod buffer;
pub mod interrupted;
pub mod platform_clock;
pub mod shared;
pub mod shutdown;
