//! The dispatcher's end of an endpoint's pool.

use super::endpoint_status::EndpointStatus;
use super::pool::EndpointPool;
use crate::messages::Attempt;
use crate::observability::counters::count;
use crate::runtime::shared::Shared;
use async_channel::Sender;
use async_executor::LocalExecutor;
use reelrill_routing::{EndpointId, Timestamp};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Commands that may wait for a pool. The channel allocates all of its slots at once.
const COMMAND_CAPACITY: usize = 256;

/// What a pool is to do.
pub enum PoolCommand {
    /// Make this attempt on one of its connections.
    Attempt(Box<Attempt>),
    /// Ask the endpoint for its load report.
    HealthCheck,
    /// Close the connections to the address that the endpoint had before.
    AddressChanged,
}

/// Where a running pool takes its commands; empty while none is running.
pub type CommandSender = RefCell<Option<Sender<PoolCommand>>>;

/// A listed endpoint. Dropping the handle ends the pool: attempts that still wait are not sent.
pub struct PoolHandle {
    status: Rc<EndpointStatus>,
    commands: Rc<CommandSender>,
}

/// A pool's mailbox is full: the command was not taken.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the pool's mailbox is full")]
pub struct PoolBusy;

impl PoolHandle {
    /// The handle of an endpoint that does not drain; no pool is running.
    pub fn new(address: SocketAddr) -> PoolHandle {
        PoolHandle {
            status: Rc::new(EndpointStatus::new(address)),
            commands: Rc::default(),
        }
    }

    /// Takes over what the list says now. A drain that is already known keeps its start.
    pub fn update(&self, address: SocketAddr, is_draining: bool, now: Timestamp) {
        let has_moved = self.status.update(address, is_draining, now);
        if has_moved && let Some(commands) = &*self.commands.borrow() {
            // A full mailbox means that the pool is about to look anyway.
            let _ = commands.try_send(PoolCommand::AddressChanged);
        }
    }

    /// Hands a command to the pool, which is started if none is running. Fails while its mailbox is full.
    pub fn send(
        &self,
        shared: &Rc<Shared>,
        executor: &Rc<LocalExecutor<'static>>,
        endpoint: &EndpointId,
        command: PoolCommand,
    ) -> Result<(), PoolBusy> {
        let mut commands = self.commands.borrow_mut();
        let commands = commands.get_or_insert_with(|| self.start(shared, executor, endpoint));
        commands.try_send(command).map_err(|_| PoolBusy)
    }

    fn start(
        &self,
        shared: &Rc<Shared>,
        executor: &Rc<LocalExecutor<'static>>,
        endpoint: &EndpointId,
    ) -> Sender<PoolCommand> {
        count(&shared.counters.pools_started);
        let (sender, commands) = async_channel::bounded(COMMAND_CAPACITY);
        let pool = EndpointPool::new(
            shared.clone(),
            executor.clone(),
            endpoint.clone(),
            self.status.clone(),
            Rc::downgrade(&self.commands),
        );
        executor.spawn(pool.run(commands)).detach();
        sender
    }
}
