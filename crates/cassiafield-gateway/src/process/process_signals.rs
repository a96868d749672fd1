use {
    anyhow::Context as _,
    tokio::{
        runtime::{Builder, Runtime},
        signal::unix::{signal, Signal, SignalKind},
    },
};

/// The signals that the platform sends to a process, and the runtime that receives them.
///
/// Both signals end a process that has no handler for them. The handlers stay installed until the
/// process exits, so signals during a stop change nothing.
pub struct ProcessSignals {
    pub(super) runtime: Runtime,
    pub(super) terminate: Signal,
    pub(super) reload: Signal,
}

impl ProcessSignals {
    /// Installs the handlers; the program calls this before anything that takes time.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot be created or a signal cannot be caught.
    pub fn install() -> anyhow::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let context = runtime.enter();
        let terminate = signal(SignalKind::terminate()).context("cannot catch SIGTERM")?;
        let reload = signal(SignalKind::hangup()).context("cannot catch SIGHUP")?;
        drop(context);
        Ok(Self { runtime, terminate, reload })
    }
}
