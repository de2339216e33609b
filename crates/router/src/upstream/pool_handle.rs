//! The dispatcher's handle of an endpoint pool.

use super::endpoint_status::EndpointStatus;
use super::pool::EndpointPool;
use crate::messages::Attempt;
use crate::observability::counters::count;
use crate::runtime::shared::Shared;
use crate::runtime::turn::{self, TaskKind};
use async_channel::Sender;
use async_executor::LocalExecutor;
use reelrill_routing::{EndpointId, Timestamp};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The capacity of a pool's mailbox, which allocates all of its slots at once.
const COMMAND_CAPACITY: usize = 256;

/// A command to a pool.
pub enum PoolCommand {
    /// Makes this attempt on one of the pool's connections.
    Attempt(Box<Attempt>),
    /// Queries the endpoint's load report.
    HealthCheck,
    /// Closes the connections to the endpoint's previous address.
    AddressChanged,
}

/// The sender to the mailbox of the running pool; `None` while no pool is running.
pub type CommandSender = RefCell<Option<Sender<PoolCommand>>>;

/// Controls the pool of a listed endpoint, and starts it when needed. When the handle is dropped, the pool ends:
/// attempts that still wait for a connection are not sent.
pub struct PoolHandle {
    status: Rc<EndpointStatus>,
    commands: Rc<CommandSender>,
}

/// The error of a command that the pool did not accept, because its mailbox is full.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the pool's mailbox is full")]
pub struct PoolBusy;

impl PoolHandle {
    /// Creates the handle of an endpoint that is not draining, without a running pool.
    pub fn new(address: SocketAddr) -> PoolHandle {
        PoolHandle {
            status: Rc::new(EndpointStatus::new(address)),
            commands: Rc::default(),
        }
    }

    /// Updates the endpoint's state from the endpoint list. If the endpoint is already draining, the recorded start of
    /// the drain is kept.
    pub fn update(&self, address: SocketAddr, is_draining: bool, now: Timestamp) {
        let has_moved = self.status.update(address, is_draining, now);
        if has_moved && let Some(commands) = &*self.commands.borrow() {
            // If the mailbox is full, the command is dropped. The pool is about to run anyway, and checks the address
            // of each connection that is returned to it.
            let _ = commands.try_send(PoolCommand::AddressChanged);
        }
    }

    /// Ends the pool of an endpoint that was removed from the list. Requests that are being written to the endpoint are
    /// completed only within the drain grace.
    pub fn remove(self, now: Timestamp) {
        self.status.on_removed(now);
    }

    /// Sends a command to the pool, and starts a pool if none is running.
    ///
    /// # Errors
    /// Fails if the pool's mailbox is full.
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
        turn::spawn(shared, executor, TaskKind::Upstream, pool.run(commands));
        sender
    }
}
