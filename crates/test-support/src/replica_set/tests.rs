//! Tests of `group`.

use super::*;

const WRITE: &str = "INSERT INTO facts (code, data) VALUES ('a''b', 'v') RETURNING data /* id=00000000000000a1,d=5,k=k1 */";

#[test]
fn a_repeat_is_dropped_within_the_window_and_counted_beyond_it() {
    let group = FakeReplicaSet::new("p", Duration::ZERO, Duration::from_secs(100));
    assert_eq!(
        group.execute("r", WRITE),
        Err(("25006", "this is not the primary"))
    );
    assert_eq!(group.execute("p", WRITE).map(|o| o.0), Ok("v".to_owned()));
    assert!(group.execute("p", WRITE).is_ok());
    assert_eq!(
        group.with_execution_log(|l| (
            l.suppressed_duplicates,
            l.keys_executed_more_than_once().len()
        )),
        (1, 0)
    );
    let group = FakeReplicaSet::new("p", Duration::ZERO, Duration::ZERO);
    assert!(group.execute("p", WRITE).is_ok() && group.execute("p", WRITE).is_ok());
    assert_eq!(
        group.with_execution_log(|l| l.keys_executed_more_than_once().len()),
        1
    );
    let read = WRITE.replace(
        "INSERT INTO facts (code, data) VALUES ('a''b', 'v') RETURNING data",
        "SELECT 'a''b'",
    );
    assert_eq!(group.execute("r", &read).map(|o| o.0), Ok("v".to_owned()));
}
