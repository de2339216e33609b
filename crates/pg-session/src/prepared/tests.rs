//! Tests of `prepared`.

use super::*;

#[test]
fn the_one_not_used_for_longest_goes_first() {
    let mut p = PreparedStatements::new(2);
    for id in [1, 2] {
        assert_eq!(p.preparation(id), Preparation::Needed { evict: None });
        p.insert(id);
    }
    assert_eq!(p.preparation(1), Preparation::NotNeeded);
    assert_eq!(p.preparation(3), Preparation::Needed { evict: Some(2) });
    p.insert(3);
    assert_eq!(p.preparation(2), Preparation::Needed { evict: Some(1) });
    p.remove(3);
    assert!(p.is_empty());
}
