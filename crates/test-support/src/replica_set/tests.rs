//! Tests of the fake replica set.

use super::*;

const WRITE: &str = "INSERT INTO facts (code, data) VALUES ('a''b', 'v') RETURNING data /* id=00000000000000a1,d=5,k=k1 */";

/// Guards the tests that search for writes executed twice: a fault in the deduplication would hide a second execution,
/// or report one that did not happen.
#[test]
fn write_is_executed_again_only_when_its_key_repeats_outside_the_window() {
    let replica_set = FakeReplicaSet::new("p", Duration::ZERO, Duration::from_secs(100));
    assert_eq!(
        replica_set.execute("r", WRITE),
        Err(("25006", "endpoint is not the primary"))
    );
    assert_eq!(
        replica_set.execute("p", WRITE).map(|result| result.0),
        Ok("v".to_owned())
    );
    assert!(replica_set.execute("p", WRITE).is_ok());
    assert_eq!(
        replica_set.with_execution_log(|log| (
            log.suppressed_duplicates,
            log.keys_executed_more_than_once().len()
        )),
        (1, 0)
    );
    let replica_set = FakeReplicaSet::new("p", Duration::ZERO, Duration::ZERO);
    assert!(replica_set.execute("p", WRITE).is_ok() && replica_set.execute("p", WRITE).is_ok());
    assert_eq!(
        replica_set.with_execution_log(|log| log.keys_executed_more_than_once().len()),
        1
    );
    let read = WRITE.replace(
        "INSERT INTO facts (code, data) VALUES ('a''b', 'v') RETURNING data",
        "SELECT 'a''b'",
    );
    assert_eq!(
        replica_set.execute("r", &read).map(|result| result.0),
        Ok("v".to_owned())
    );
}
