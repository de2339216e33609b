//! The wheel on made-up time, beside a plain ordered map.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const MS: u64 = 1 << TICK;

#[test]
fn a_handle_of_a_timer_that_has_gone_finds_nothing() {
    let mut wheel = TimerWheel::new(0);
    let (a, b) = (wheel.insert(5 * MS, 'a'), wheel.insert(9 * MS, 'b'));
    let mut due = Vec::new();
    wheel.expire(5 * MS, &mut due);
    assert_eq!(
        (&due[..], wheel.cancel(a), wheel.len()),
        (&['a'][..], None, 1)
    );
    let c = wheel.insert(u64::MAX, 'c');
    assert!(!wheel.reset(a, MS) && wheel.reset(b, 7 * MS) && a != c);
    assert_eq!(wheel.next_due(), Some(7 * MS));
    assert_eq!(
        (wheel.cancel(b), wheel.cancel(c), wheel.is_empty()),
        (Some('b'), Some('c'), true)
    );
    assert_eq!(wheel.next_due(), None);
}

#[derive(Debug, Clone)]
enum Op {
    Insert(u64),
    Reset(usize, u64),
    Cancel(usize),
    Turn(u64),
}

fn op() -> impl Strategy<Value = Op> {
    // Times from a tick to centuries, so that all levels are used.
    let span = || (0u32..62).prop_flat_map(|bits| 0..(1u64 << bits));
    prop_oneof![
        4 => span().prop_map(Op::Insert),
        2 => (any::<usize>(), span()).prop_map(|(i, s)| Op::Reset(i, s)),
        1 => any::<usize>().prop_map(Op::Cancel),
        3 => span().prop_map(Op::Turn),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The same as a map that is searched through: what is due, when, and when to look again.
    #[test]
    fn it_gives_what_a_plain_map_gives(ops in proptest::collection::vec(op(), 1..80)) {
        let (mut now, mut wheel) = (1u64 << 40, TimerWheel::new(1 << 40));
        let mut plain: BTreeMap<u64, (u64, TimerHandle)> = BTreeMap::new();
        for (id, op) in ops.into_iter().enumerate() {
            let nth = |i: usize| plain.keys().nth(i % plain.len().max(1)).copied();
            match op {
                Op::Insert(span) => {
                    let at = now.saturating_add(span);
                    plain.insert(id as u64, (at, wheel.insert(at, id as u64)));
                }
                Op::Reset(i, span) => if let Some(key) = nth(i) {
                    let (_, handle) = plain[&key];
                    let at = now.saturating_add(span);
                    prop_assert!(wheel.reset(handle, at));
                    plain.insert(key, (at, handle));
                },
                Op::Cancel(i) => if let Some(key) = nth(i) {
                    let handle = plain.remove(&key).unwrap().1;
                    prop_assert_eq!(wheel.cancel(handle), Some(key));
                },
                Op::Turn(span) => {
                    now = now.saturating_add(span);
                    let mut due = Vec::new();
                    wheel.expire(now, &mut due);
                    due.sort_unstable();
                    let is_due = |(at, _): &(u64, TimerHandle)| ticks(*at) <= now >> TICK;
                    let wanted: Vec<u64> = plain.iter().filter(|(_, p)| is_due(p)).map(|(k, _)| *k).collect();
                    plain.retain(|_, p| !is_due(p));
                    prop_assert_eq!(due, wanted);
                }
            }
            prop_assert_eq!(wheel.len(), plain.len());
            let first = plain.values().map(|p| ticks(p.0)).min();
            match (wheel.next_due(), first) {
                (Some(look), Some(first)) => prop_assert!(look >> TICK <= first.max(now >> TICK)),
                (look, first) => prop_assert_eq!(look.is_none(), first.is_none()),
            }
        }
    }
}
