//! Tests of `prepared`.

use super::*;

#[test]
fn the_one_not_used_for_longest_goes_first() {
    let mut p = Prepared::new(2);
    for id in [1, 2] {
        assert_eq!(p.need(id), Need::Prepare { evict: None });
        p.confirmed(id);
    }
    assert_eq!(p.need(1), Need::Ready);
    assert_eq!(p.need(3), Need::Prepare { evict: Some(2) });
    p.confirmed(3);
    assert_eq!(p.need(2), Need::Prepare { evict: Some(1) });
    p.forgotten(3);
    assert!(p.is_empty());
}
