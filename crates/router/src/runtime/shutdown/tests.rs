//! The schedule against what the platform grants.

use super::*;
use rstest::rstest;

/// From the longest deadline on, the process may be killed after this.
const KILL_AFTER_DEADLINE: Nanos = 700 * MILLISECOND;
/// New connections arrive for this long.
const NEW_CONNECTIONS: Nanos = 400 * MILLISECOND;
/// The process may be held up for this long between reading its clock and writing.
const HELD_UP: Nanos = 150 * MILLISECOND;

/// Guards all deployments, from the shortest deadlines to the longest.
#[rstest]
fn the_schedule_fits_between_the_signal_and_the_kill(
    #[values(0, 1, 50, 100, 300, 1000, 2999, 3000, 30_000)] deadline_ms: Nanos,
) {
    let deadline = deadline_ms * MILLISECOND;
    let schedule = ShutdownSchedule::new(deadline);
    let kill = deadline.min(LONGEST_DEADLINE) + KILL_AFTER_DEADLINE;
    assert!(schedule.last_answer + HELD_UP < kill, "{schedule:?}");
    assert!(schedule.last_forward < schedule.last_answer, "{schedule:?}");
    assert!(
        schedule.last_read >= 700 * MILLISECOND && schedule.last_read <= kill,
        "{schedule:?}"
    );
    assert!(
        schedule.last_owed >= 700 * MILLISECOND && schedule.last_owed <= schedule.last_read,
        "{schedule:?}"
    );
    assert!(
        schedule.min_drain > NEW_CONNECTIONS && schedule.min_drain < kill,
        "{schedule:?}"
    );
}
