//! Tests of the timer queue.

use super::{DeadlineEntry, DeadlineQueue, MIN_LENGTH_TO_COMPACT};

/// Guards against timers that fire early or in the wrong order.
#[test]
fn entries_expire_in_order_of_time_and_not_early() {
    let mut queue = DeadlineQueue::default();
    queue.add(30, DeadlineEntry::RequestDeadline(1));
    queue.add(10, DeadlineEntry::AttemptTimeout(1, 0));
    queue.add(10, DeadlineEntry::BalancerTimer(7));
    assert_eq!(queue.next_expiry(), Some(10));
    assert_eq!(queue.pop_expired(9), None);
    assert_eq!(queue.pop_expired(10), Some(DeadlineEntry::BalancerTimer(7)));
    assert_eq!(
        queue.pop_expired(10),
        Some(DeadlineEntry::AttemptTimeout(1, 0))
    );
    assert_eq!(queue.pop_expired(29), None);
    assert_eq!(
        queue.pop_expired(31),
        Some(DeadlineEntry::RequestDeadline(1))
    );
    assert_eq!(queue.next_expiry(), None);
}

/// Guards against memory that grows with each request that ends before its deadline (issue 43): its timer stayed until
/// then.
#[test]
fn timers_of_ended_requests_take_no_lasting_memory() {
    const PENDING: u64 = 100;
    let mut queue = DeadlineQueue::default();
    for id in 0..1_000_000 {
        queue.add(1000 + id, DeadlineEntry::RequestDeadline(id));
        queue.compact(|entry| matches!(entry, DeadlineEntry::RequestDeadline(id) if *id < PENDING));
        assert!(queue.entries.len() <= MIN_LENGTH_TO_COMPACT);
    }
    let expired = std::iter::from_fn(|| queue.pop_expired(u64::MAX));
    let pending = expired.filter(|e| matches!(e, DeadlineEntry::RequestDeadline(0..PENDING)));
    assert_eq!(pending.count() as u64, PENDING);
}
