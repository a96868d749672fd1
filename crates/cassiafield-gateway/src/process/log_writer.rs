use {
    std::{io, sync::OnceLock},
    tracing::Subscriber,
    tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::{
        fmt::{fmt, MakeWriter},
        util::SubscriberInitExt as _,
    },
};

/// Lines that wait to be written; further ones are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Counts the lines that were dropped by the writer of the process.
static DROP_COUNTER: OnceLock<ErrorCounter> = OnceLock::new();

/// Writes the log as JSON lines to standard output from a thread of its own, never blocking.
///
/// Dropping the guard writes what is left. A log that was started before stays.
pub fn start_json_log() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(io::stdout());
    if DROP_COUNTER.set(writer.error_counter()).is_ok() {
        json_subscriber(writer).init();
    }
    guard
}

/// Returns what turns events into the lines of the log.
pub fn json_subscriber<W>(writer: W) -> impl Subscriber + Send + Sync
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let builder = fmt().json().flatten_event(true).with_target(false).with_writer(writer);
    builder.with_max_level(tracing::Level::INFO).finish()
}

/// Returns how many lines the process has dropped.
#[must_use]
pub fn dropped_line_count() -> usize {
    DROP_COUNTER.get().map_or(0, ErrorCounter::dropped_lines)
}
