//! Clients that use as much processor time as they get.

use crate::common::MS;
use reelrill_routing::{Allowance, Nanos, ProcessorShare, Timestamp};

/// The processor time of one turn.
const TURN: Nanos = MS / 5;

/// Lets clients use the thread whenever they may, for a second, one turn after the other. Returns the time that they have
/// used together.
fn used_in_a_second(clients: usize) -> Nanos {
    let start: Timestamp = 1_000 * MS;
    let mut share = ProcessorShare::new(1.0);
    let mut waiting: Vec<(Timestamp, Allowance)> = (0..clients)
        .map(|_| (start, Allowance::default()))
        .collect();
    let (mut now, mut used) = (start, 0);
    while now < start + 1_000 * MS {
        let next = waiting.iter_mut().min_by_key(|(may_run_at, _)| *may_run_at);
        let (may_run_at, allowance) = next.unwrap();
        now = now.max(*may_run_at) + TURN;
        used += TURN;
        *may_run_at = share.charge(now, allowance, TURN, clients);
    }
    used
}

/// Guards against clients that take the thread from the others (issue 43): however many send at full speed, about half of
/// its time is left.
#[test]
fn clients_that_never_pause_leave_half_of_the_thread() {
    for clients in [1, 6, 500] {
        let used = used_in_a_second(clients);
        assert!((300 * MS..650 * MS).contains(&used), "{clients}: {used}");
    }
}

/// Guards against pauses of a client that uses little, while others pay for their excess.
#[test]
fn client_within_its_allowance_never_pauses() {
    let mut share = ProcessorShare::new(0.5);
    let (mut flooding, mut modest) = (Allowance::default(), Allowance::default());
    for step in 1..1000 {
        let now = step * 10 * MS;
        share.charge(now, &mut flooding, 20 * MS, 7);
        assert_eq!(share.charge(now, &mut modest, MS / 10, 7), now);
    }
}
