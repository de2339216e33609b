//! Tests that the schedule fits into the time between SIGTERM and the kill.

use super::*;
use rstest::rstest;

/// The time from the longest deadline until the process may be killed.
const KILL_AFTER_DEADLINE: Nanos = 700 * MILLISECOND;
/// The time after SIGTERM during which new connections arrive.
const NEW_CONNECTIONS_WINDOW: Nanos = 400 * MILLISECOND;
/// The longest delay of the process between reading its clock and writing a response.
const PROCESS_DELAY: Nanos = 150 * MILLISECOND;

/// Guards against a window that ends earlier than the platform allows, or after the kill. Each window depends on the
/// longest deadline, so deadlines from 0 to 30 s are tested.
#[rstest]
fn schedule_fits_between_signal_and_kill_for_any_deadline(
    #[values(0, 1, 50, 100, 300, 1000, 2999, 3000, 30_000)] deadline_ms: Nanos,
) {
    let deadline = deadline_ms * MILLISECOND;
    let schedule = ShutdownSchedule::new(deadline);
    let kill = deadline.min(MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE;
    assert!(
        schedule.response_window + PROCESS_DELAY < kill,
        "{schedule:?}"
    );
    assert!(
        schedule.forward_window < schedule.response_window,
        "{schedule:?}"
    );
    assert!(
        schedule.read_window >= 700 * MILLISECOND && schedule.read_window <= kill,
        "{schedule:?}"
    );
    assert!(
        schedule.guarantee_window >= 700 * MILLISECOND
            && schedule.guarantee_window <= schedule.read_window,
        "{schedule:?}"
    );
    assert!(
        schedule.backlog_window >= schedule.guarantee_window
            && schedule.backlog_window <= schedule.read_window,
        "{schedule:?}"
    );
    assert!(
        schedule.min_duration > NEW_CONNECTIONS_WINDOW && schedule.min_duration < kill,
        "{schedule:?}"
    );
}
