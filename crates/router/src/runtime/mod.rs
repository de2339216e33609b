//! Provides the infrastructure that all tasks of the router's one thread share: buffers, clocks, the descriptor budget,
//! the memory of pipelines, the turns of tasks, the cancellation registry and the schedule of a graceful shutdown.

pub mod accept;
pub mod buffer;
pub mod cancellation;
pub mod clock;
pub mod descriptor_budget;
pub mod flag;
pub mod interrupted;
pub mod pipeline_memory;
pub mod platform_clock;
pub mod shared;
pub mod shutdown;
pub mod turn;
