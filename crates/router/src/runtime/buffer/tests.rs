//! Tests of how a buffer grows, compacts and releases its memory.

use super::*;

/// Guards against a buffer that grows although its consumed part has room, and against one that keeps the memory of a
/// large message after the message was consumed.
#[test]
fn compacts_before_growing_and_releases_memory_when_large_content_is_consumed() {
    let mut buffer = Buffer::new(&MemoryBudget::new(1 << 20));
    let initial = buffer.free_space().unwrap().len();
    buffer.end = initial;
    buffer.consume(initial / 2);
    buffer.free_space().unwrap();
    assert_eq!(
        (buffer.start, buffer.end, buffer.data.len()),
        (0, initial - initial / 2, initial)
    );
    while buffer.data.len() <= RETAINED_SIZE {
        buffer.end = buffer.data.len();
        buffer.free_space().unwrap();
    }
    buffer.end = buffer.data.len();
    buffer.consume(buffer.end);
    assert_eq!((buffer.bytes().len(), buffer.data.capacity()), (0, 0));
}

/// Guards against buffers that exceed their common budget, that keep memory of it after they are dropped or released,
/// and against an out-of-memory error of the system that is taken for an exhausted budget.
#[test]
fn buffers_together_stay_within_the_memory_budget() {
    let budget = MemoryBudget::new(64 * 1024);
    let fill = |buffer: &mut Buffer| {
        while buffer.free_space().is_ok() {
            buffer.end = buffer.data.len();
        }
        buffer.data.len()
    };
    let (mut first, mut second) = (Buffer::new(&budget), Buffer::new(&budget));
    assert_eq!(
        (fill(&mut first), fill(&mut second)),
        (64 * 1024, 2 * RETAINED_SIZE)
    );
    let error = first.free_space().unwrap_err();
    assert!(MemoryLimitReached::caused(&error));
    assert!(
        !MemoryLimitReached::caused(&io::ErrorKind::OutOfMemory.into()),
        "ENOMEM of a system call is not an exhausted budget"
    );
    drop(first);
    assert_eq!(fill(&mut second), 64 * 1024);
    second.release();
    assert_eq!(budget.used.get(), 0);
}

/// Guards against a message that is skipped and still takes memory, and against one whose rest is taken for the next
/// message.
#[test]
fn skipped_input_is_not_stored_and_ends_at_its_last_byte() {
    let mut buffer = Buffer::new(&MemoryBudget::new(0));
    let read = |buffer: &mut Buffer, input: &[u8]| {
        buffer.free_space().unwrap()[..input.len()].copy_from_slice(input);
        buffer.on_read(input.len());
    };
    read(&mut buffer, b"head");
    buffer.skip(4 + RETAINED_SIZE);
    for _ in 0..RETAINED_SIZE / 16 {
        assert!(buffer.is_skipping() && buffer.bytes().is_empty());
        read(&mut buffer, &[b'x'; 16]);
    }
    assert!(!buffer.is_skipping());
    read(&mut buffer, b"12next");
    buffer.skip(2);
    assert_eq!(
        (buffer.is_skipping(), buffer.bytes()),
        (false, &b"next"[..])
    );
}
