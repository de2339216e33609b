//! Tests of `prepared`.

use super::*;

/// Guards against evicting a statement that is in use: the least recently used one must be evicted.
#[test]
fn evicts_the_least_recently_used_statement_when_full() {
    let mut prepared = PreparedStatements::new(2);
    for id in [1, 2] {
        assert_eq!(
            prepared.preparation(id),
            Preparation::Needed { evict: None }
        );
        prepared.insert(id);
    }
    assert_eq!(prepared.preparation(1), Preparation::NotNeeded);
    assert_eq!(
        prepared.preparation(3),
        Preparation::Needed { evict: Some(2) }
    );
    prepared.insert(3);
    assert_eq!(
        prepared.preparation(2),
        Preparation::Needed { evict: Some(1) }
    );
    prepared.remove(3);
    assert!(prepared.is_empty());
}
