use {crate::process::LogFormat, tracing_subscriber::fmt};

/// Starts logging to standard error.
///
/// Has no effect if a log was already started.
pub fn start_log(format: LogFormat, level: tracing::Level) {
    let builder = fmt().with_writer(std::io::stderr).with_max_level(level).with_target(false);
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
}
