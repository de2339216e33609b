//! How a buffer grows, compacts and gives its memory back.

use super::*;

#[test]
fn it_compacts_before_it_grows_and_gives_large_memory_back() {
    let mut b = Buffer::new(&MemoryBudget::new(1 << 20));
    let n = b.room().unwrap().len();
    b.end = n;
    b.consume(n / 2);
    b.room().unwrap();
    assert_eq!((b.start, b.end, b.data.len()), (0, n - n / 2, n));
    while b.data.len() <= RETAINED_SIZE {
        b.end = b.data.len();
        b.room().unwrap();
    }
    b.end = b.data.len();
    b.consume(b.end);
    assert_eq!((b.bytes().len(), b.data.capacity()), (0, 0));
}

#[test]
fn all_together_stay_within_their_memory() {
    let memory = MemoryBudget::new(64 * 1024);
    let fill = |b: &mut Buffer| {
        while b.room().is_ok() {
            b.end = b.data.len();
        }
        b.data.len()
    };
    let (mut one, mut other) = (Buffer::new(&memory), Buffer::new(&memory));
    assert_eq!((fill(&mut one), fill(&mut other)), (64 * 1024, 32 * 1024));
    let error = one.room().unwrap_err();
    assert!(MemoryLimitReached::caused(&error));
    assert!(
        !MemoryLimitReached::caused(&io::ErrorKind::OutOfMemory.into()),
        "ENOMEM of a system call"
    );
    drop(one);
    assert_eq!(fill(&mut other), 64 * 1024);
    other.release();
    assert_eq!(memory.large.get(), 0);
}
