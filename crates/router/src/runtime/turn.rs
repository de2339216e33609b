//! Runs the router's tasks on its one thread, and measures their turns. A turn is the time from when a task is resumed
//! until it waits.
//!
//! A task that never waits keeps all others from running, so a loop over input that may be available at any time must
//! call [`TurnClock::yield_if_over`]. A turn that takes too long is counted and logged when it ends.

use super::clock::Clock;
use super::shared::Shared;
use crate::observability::counters::count;
use async_executor::LocalExecutor;
use futures_lite::future::yield_now;
use reelrill_routing::{Nanos, Timestamp};
use slog::warn;
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// The length of a turn after which a task lets the others run, in nanoseconds.
const MAX_TURN: Nanos = 1_000_000;
/// The longest part of a turn that counts as processor time, in nanoseconds. A longer turn was interrupted by the system.
const MAX_COUNTED_TURN: Nanos = 2_000_000;
/// The length of a turn from which it counts as slow, in nanoseconds.
const SLOW_TURN: Nanos = 20_000_000;
/// The shortest interval between two log lines about slow turns, in nanoseconds.
const SLOW_TURN_LOG_INTERVAL: Nanos = 1_000_000_000;

/// The part of the router that a task belongs to.
#[derive(Debug, Clone, Copy)]
pub enum TaskKind {
    Accept,
    Client,
    Dispatcher,
    Upstream,
    Discovery,
}

impl TaskKind {
    /// Returns the name that is written to the log.
    fn name(self) -> &'static str {
        match self {
            TaskKind::Accept => "accept",
            TaskKind::Client => "client",
            TaskKind::Dispatcher => "dispatcher",
            TaskKind::Upstream => "upstream",
            TaskKind::Discovery => "discovery",
        }
    }
}

/// Measures the turn of the task that is running.
pub struct TurnClock {
    clock: Clock,
    /// The time at which the current turn began.
    started_at: Cell<Timestamp>,
    /// The time of the last log line about a slow turn.
    slow_turn_logged_at: Cell<Timestamp>,
}

impl TurnClock {
    /// Creates the turn clock of the router's thread.
    pub fn new(clock: Clock) -> TurnClock {
        TurnClock {
            clock,
            started_at: Cell::new(clock.now()),
            slow_turn_logged_at: Cell::default(),
        }
    }

    /// Returns the time since the current turn began.
    pub fn elapsed(&self) -> Nanos {
        self.clock.now().saturating_sub(self.started_at.get())
    }

    /// Lets other tasks run if the current turn has taken long enough.
    pub async fn yield_if_over(&self) {
        if self.elapsed() >= MAX_TURN {
            yield_now().await;
        }
    }
}

/// The processor time that a task has used.
#[derive(Debug, Default)]
pub struct TaskMeter {
    used: Cell<Nanos>,
}

impl TaskMeter {
    /// Returns the time used in all turns, including the current one up to now. Must only be called by the task itself.
    pub fn used(&self, turns: &TurnClock) -> Nanos {
        self.used.get() + turns.elapsed().min(MAX_COUNTED_TURN)
    }

    fn add(&self, turn: Nanos) {
        self.used.set(self.used.get() + turn.min(MAX_COUNTED_TURN));
    }
}

/// Starts a task that measures its turns.
pub fn spawn(
    shared: &Rc<Shared>,
    executor: &LocalExecutor<'static>,
    kind: TaskKind,
    task: impl Future<Output = ()> + 'static,
) {
    let shared = shared.clone();
    let task = async move { run_metered(&shared, kind, &TaskMeter::default(), task).await };
    executor.spawn(task).detach();
}

/// Runs a task and adds the length of each of its turns to `meter`.
pub async fn run_metered<T>(
    shared: &Shared,
    kind: TaskKind,
    meter: &TaskMeter,
    task: impl Future<Output = T>,
) -> T {
    let mut task = pin!(task);
    poll_fn(|context| {
        let turns = &shared.turns;
        turns.started_at.set(turns.clock.now());
        let result = task.as_mut().poll(context);
        let turn = turns.elapsed();
        meter.add(turn);
        if turn >= SLOW_TURN {
            on_slow_turn(shared, kind, turn);
        }
        result
    })
    .await
}

fn on_slow_turn(shared: &Shared, kind: TaskKind, turn: Nanos) {
    count(&shared.counters.slow_turns);
    let now = shared.clock.now();
    let last_logged_at = &shared.turns.slow_turn_logged_at;
    if now.saturating_sub(last_logged_at.get()) >= SLOW_TURN_LOG_INTERVAL {
        last_logged_at.set(now);
        warn!(shared.log, "a task kept the others from running"; "task" => kind.name(),
              "ms" => Duration::from_nanos(turn).as_millis());
    }
}
