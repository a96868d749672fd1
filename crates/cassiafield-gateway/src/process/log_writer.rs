use {
    std::{io, sync::OnceLock},
    tracing::Subscriber,
    tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::{
        fmt::{fmt, MakeWriter},
        util::SubscriberInitExt as _,
    },
};

/// Maximum number of buffered lines; further ones are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Counts the lines that the writer of the process has dropped.
static DROP_COUNTER: OnceLock<ErrorCounter> = OnceLock::new();

/// Starts a non-blocking JSON log on standard output, written by its own thread.
///
/// Dropping the guard flushes buffered lines. A log that was started earlier stays in place.
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

/// Returns a subscriber that formats events as JSON lines.
pub fn json_subscriber<W>(writer: W) -> impl Subscriber + Send + Sync
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let builder = fmt().json().flatten_event(true).with_target(false).with_writer(writer);
    builder.with_max_level(tracing::Level::INFO).finish()
}

/// Returns the number of log lines that the process has dropped.
#[must_use]
pub fn dropped_line_count() -> usize {
    DROP_COUNTER.get().map_or(0, ErrorCounter::dropped_lines)
}
