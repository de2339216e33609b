//! Tests the timer wheel on simulated time, also against an ordered map as a reference.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const TICK: u64 = 1 << TICK_SHIFT;

/// Guards against a stale handle that cancels or moves another timer, since the nodes of expired timers are reused.
#[test]
fn handle_of_expired_timer_has_no_effect_when_its_node_is_reused() {
    let mut wheel = TimerWheel::new(0);
    let (first, second) = (wheel.insert(5 * TICK, 'a'), wheel.insert(9 * TICK, 'b'));
    let mut due = Vec::new();
    wheel.expire(5 * TICK, &mut due);
    assert_eq!(
        (&due[..], wheel.cancel(first), wheel.len()),
        (&['a'][..], None, 1)
    );
    let third = wheel.insert(u64::MAX, 'c');
    assert!(!wheel.reset(first, TICK) && wheel.reset(second, 7 * TICK) && first != third);
    assert_eq!(wheel.next_due(), Some(7 * TICK));
    assert_eq!(
        (wheel.cancel(second), wheel.cancel(third), wheel.is_empty()),
        (Some('b'), Some('c'), true)
    );
    assert_eq!(wheel.next_due(), None);
}

#[derive(Debug, Clone)]
enum Operation {
    Insert(u64),
    Reset(usize, u64),
    Cancel(usize),
    Advance(u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    // Spans from less than a tick to 73 years, so that timers are spread over many levels.
    let span = || (0u32..62).prop_flat_map(|bits| 0..(1u64 << bits));
    prop_oneof![
        4 => span().prop_map(Operation::Insert),
        2 => (any::<usize>(), span()).prop_map(|(index, span)| Operation::Reset(index, span)),
        1 => any::<usize>().prop_map(Operation::Cancel),
        3 => span().prop_map(Operation::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against timers that are lost, early or late: the due timers and the next due time must be those of a
    /// reference that searches an ordered map.
    #[test]
    fn wheel_expires_the_same_timers_as_an_ordered_map(operations in proptest::collection::vec(operation(), 1..80)) {
        let (mut now, mut wheel) = (1u64 << 40, TimerWheel::new(1 << 40));
        let mut reference: BTreeMap<u64, (u64, TimerHandle)> = BTreeMap::new();
        for (id, operation) in operations.into_iter().enumerate() {
            let nth = |index: usize| reference.keys().nth(index % reference.len().max(1)).copied();
            match operation {
                Operation::Insert(span) => {
                    let at = now.saturating_add(span);
                    reference.insert(id as u64, (at, wheel.insert(at, id as u64)));
                }
                Operation::Reset(index, span) => if let Some(key) = nth(index) {
                    let (_, handle) = reference[&key];
                    let at = now.saturating_add(span);
                    prop_assert!(wheel.reset(handle, at));
                    reference.insert(key, (at, handle));
                },
                Operation::Cancel(index) => if let Some(key) = nth(index) {
                    let handle = reference.remove(&key).unwrap().1;
                    prop_assert_eq!(wheel.cancel(handle), Some(key));
                },
                Operation::Advance(span) => {
                    now = now.saturating_add(span);
                    let mut due = Vec::new();
                    wheel.expire(now, &mut due);
                    due.sort_unstable();
                    let is_due = |(at, _): &(u64, TimerHandle)| ticks_rounded_up(*at) <= now >> TICK_SHIFT;
                    let expected: Vec<u64> =
                        reference.iter().filter(|(_, timer)| is_due(timer)).map(|(key, _)| *key).collect();
                    reference.retain(|_, timer| !is_due(timer));
                    prop_assert_eq!(due, expected);
                }
            }
            prop_assert_eq!(wheel.len(), reference.len());
            let first = reference.values().map(|timer| ticks_rounded_up(timer.0)).min();
            match (wheel.next_due(), first) {
                (Some(next_due), Some(first)) => prop_assert!(next_due >> TICK_SHIFT <= first.max(now >> TICK_SHIFT)),
                (next_due, first) => prop_assert_eq!(next_due.is_none(), first.is_none()),
            }
        }
    }
}
