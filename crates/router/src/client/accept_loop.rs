//! Accepts client connections, and starts a task for each.
//!
//! Must never accept a connection without a permit for its descriptor. Until a permit is available, new connections
//! wait in the kernel's backlog.

use super::connection::serve;
use crate::observability::counters::count;
use crate::runtime::accept;
use crate::runtime::shared::{DescriptorPermit, Shared};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;
use slog::warn;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The interval at which a permit and an eviction are requested again while no permit is available.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts connections until the process ends.
pub async fn accept_connections(
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
) {
    loop {
        shared.turns.yield_if_over().await;
        let permit = acquire_permit(&shared).await;
        match listener.accept().await {
            Ok((stream, _)) => start_connection(&shared, &executor, stream, permit),
            Err(e) => {
                count(&shared.counters.accept_errors);
                warn!(shared.log, "accept failed"; "error" => %e);
                if let Some(pause) = accept::pause_after(&e) {
                    Timer::after(pause).await;
                }
            }
        }
    }
}

/// Waits for a descriptor permit. While there is none, requests the eviction of an expendable connection, otherwise of
/// the one idle longest, otherwise of one with session state, otherwise of one in the middle of a request. If no
/// connection can be evicted, a permit is released only when a connection ends by itself.
async fn acquire_permit(shared: &Rc<Shared>) -> DescriptorPermit {
    loop {
        if let Some(permit) = shared.client_descriptors.try_acquire() {
            return permit;
        }
        shared.client_descriptors.request_any_eviction();
        let pause = async {
            Timer::after(PERMIT_RETRY_INTERVAL).await;
        };
        or(shared.client_descriptors.permit_released(), pause).await;
    }
}

/// Starts the task of a connection that has been accepted.
fn start_connection(
    shared: &Rc<Shared>,
    executor: &LocalExecutor<'static>,
    stream: Async<TcpStream>,
    permit: DescriptorPermit,
) {
    count(&shared.counters.clients);
    shared.last_arrival.set(shared.clock.now());
    // The connection counts as unused from here on, not from the first run of its task. In a burst, many more
    // connections are accepted before that run, and connections in use would be evicted in favour of unused ones.
    let unused = shared.client_descriptors.count_unused();
    executor
        .spawn(serve(shared.clone(), stream, permit, unused))
        .detach();
    if shared.client_descriptors.is_running_low() {
        // Frees a descriptor in advance, so that the next connection does not wait in the backlog for an eviction.
        shared.client_descriptors.request_eviction();
    }
}
