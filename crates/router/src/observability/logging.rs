//! Sets up the root logger. A separate thread writes the lines to standard error, so that a slow reader of the log
//! never delays a request.

use slog::{Drain as _, Logger, o};

/// The environment variable that holds the least severe level that is logged.
const LEVEL_VARIABLE: &str = "RELAY_LOG";
const DEFAULT_LEVEL: slog::Level = slog::Level::Info;
/// The maximum number of lines queued for the writing thread; further ones are dropped, and their number is logged.
const QUEUE_LENGTH: usize = 4096;

/// Starts the writing thread. Returns the root logger, which adds the router's `name` to each line, and a guard that
/// writes the queued lines when it is dropped.
///
/// `RELAY_LOG` sets the level; if it is unset or not a known level, `info` applies.
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
