//! The root logger. A thread of its own writes the lines to standard error, so that a slow reader of the log never
//! delays a request.

use slog::{Drain as _, Logger, o};

/// Names the least severe level that is logged.
const LEVEL_VARIABLE: &str = "RELAY_LOG";
const DEFAULT_LEVEL: slog::Level = slog::Level::Info;
/// Lines that may wait for the writing thread; further ones are dropped, and their number is logged.
const QUEUE_LENGTH: usize = 4096;

/// Starts the writing thread. Returns the root logger, which adds the router's `name` to each line, and a guard that
/// writes what is still queued when it is dropped.
///
/// `RELAY_LOG` sets the level; without it, or with one that is unknown, it is `info`.
pub fn start(name: &str) -> (Logger, slog_async::AsyncGuard) {
    let level = std::env::var(LEVEL_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_LEVEL);
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let format = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build()
        .fuse();
    let (queue, flush_guard) = slog_async::Async::new(format)
        .chan_size(QUEUE_LENGTH)
        .build_with_guard();
    let filter = slog::LevelFilter::new(queue.fuse(), level).fuse();
    (
        Logger::root(filter, o!("router" => name.to_owned())),
        flush_guard,
    )
}
