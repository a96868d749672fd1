use {tracing_appender::non_blocking::WorkerGuard, tracing_subscriber::fmt};

/// Lines that wait to be written; further ones are dropped and counted.
const LINES_WAITING: usize = 4_096;

/// Writes the log as JSON lines to standard output from a thread of its own, never blocking.
///
/// Dropping the guard writes what is left.
pub fn start_json_log() -> WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(LINES_WAITING)
        .lossy(true)
        .finish(std::io::stdout());
    let subscriber = fmt().json().flatten_event(true).with_target(false).with_writer(writer);
    subscriber.with_max_level(tracing::Level::INFO).init();
    guard
}
