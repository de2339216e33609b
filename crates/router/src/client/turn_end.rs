//! Ends a client's turn on the router's thread, and pauses a client that uses more than its share of it for messages that
//! no endpoint serves.
//!
//! Every loop of a client's task over its input must call [`ClientConnection::end_turn`]: reads and writes that succeed at
//! once do not let other tasks run.

use super::connection::ClientConnection;
use super::socket::wait_for_disconnect;
use crate::messages::FinalResponse;
use crate::observability::counters::count;
use async_io::Timer;
use futures_lite::future::or;
use reelrill_routing::{Allowance, Nanos};

/// The shortest time that is charged, in nanoseconds: many times what it takes to charge it.
const MIN_CHARGE: Nanos = 200_000;

/// The processor time of one client's task, assigned to its messages. The client is charged for messages that the router
/// responds to by itself, and for requests that are rejected. How many others run is limited by the endpoints.
#[derive(Default)]
pub struct ProcessorUse {
    allowance: Allowance,
    /// The task's time up to which it has been assigned, in nanoseconds.
    assigned: Nanos,
    /// The time to charge, in nanoseconds.
    due: Nanos,
}

impl ProcessorUse {
    /// Returns the time since the last call, when the task has used `used` nanoseconds in all.
    fn assign(&mut self, used: Nanos) -> Nanos {
        let unassigned = used.saturating_sub(self.assigned);
        self.assigned = used;
        unassigned
    }

    /// Records the final response to a request that has taken `processing_time` nanoseconds.
    pub fn on_response(&mut self, response: &FinalResponse, processing_time: Nanos) {
        if matches!(response, FinalResponse::Rejected { .. }) {
            self.due += processing_time;
        }
    }
}

impl ClientConnection {
    /// Assigns the processor time since the last message to one that the router responds to by itself.
    pub(super) fn on_local_message(&mut self) {
        let used = self.meter.used(&self.shared.turns);
        self.processor_use.due += self.processor_use.assign(used);
    }

    /// Assigns the processor time since the last message to a request that is started now, and returns it.
    pub(super) fn on_request_started(&mut self) -> Nanos {
        self.processor_use
            .assign(self.meter.used(&self.shared.turns))
    }

    /// Lets other tasks run if the current turn has taken long enough. If the client has used more than its share of the
    /// processor time, pauses until others have had theirs, or until the client disconnects.
    pub(super) async fn end_turn(&mut self) {
        if self.processor_use.due < MIN_CHARGE {
            return self.shared.turns.yield_if_over().await;
        }
        let now = self.shared.clock.now();
        let charge = std::mem::take(&mut self.processor_use.due);
        let may_run_at = self.shared.processor_share.borrow_mut().charge(
            now,
            &mut self.processor_use.allowance,
            charge,
            self.shared.client_descriptors.used(),
        );
        if may_run_at <= now {
            return self.shared.turns.yield_if_over().await;
        }
        count(&self.shared.counters.client_pauses);
        let pause = async {
            Timer::at(self.shared.clock.instant(may_run_at)).await;
        };
        or(pause, wait_for_disconnect(self.stream.get_ref())).await;
    }
}
