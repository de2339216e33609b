//! Tests of the timer queue.

use super::{DeadlineEntry, DeadlineQueue};

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
