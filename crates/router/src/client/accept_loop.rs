//! Accepts the clients' connections, and starts a task for each.
//!
//! Must never accept a connection without a descriptor for it: until there is one it waits in the kernel's backlog.

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

/// How often a permit is asked for again, and somebody asked to make room, while there is none.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts until the process ends. Without a free descriptor, connections wait in the kernel's backlog.
pub async fn accept_connections(
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
) {
    loop {
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

/// Waits for a descriptor. Where there is none, an expendable connection goes, or the one idle longest; else one has to
/// end by itself.
async fn acquire_permit(shared: &Rc<Shared>) -> DescriptorPermit {
    loop {
        if let Some(permit) = shared.client_descriptors.try_acquire() {
            return permit;
        }
        shared
            .client_descriptors
            .request_eviction_including_stateful();
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
    // Counted from here on, not from when its task first runs: in a burst that is many connections later, and a
    // connection in use would be asked to make room for those that say nothing.
    let unproven = shared.client_descriptors.count_unused();
    let task = serve(shared.clone(), stream, permit, unproven);
    executor.spawn(task).detach();
    if shared.client_descriptors.is_running_low() {
        // Ahead of the need: the next one must not wait in the backlog for room to be made.
        shared.client_descriptors.request_eviction();
    }
}
