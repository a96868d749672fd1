use {crate::connection::StoreCallError, cassiafield::process::LogEvent};

/// Logs when the store becomes unreachable and when it recovers.
#[derive(Debug, Default)]
pub(super) struct StoreAvailability {
    is_unreachable: bool,
}

impl StoreAvailability {
    /// Records the outcome of a read of `what` and returns the response, if there is one.
    pub(super) fn record<T>(
        &mut self,
        response: Result<T, StoreCallError>,
        what: &str,
    ) -> Option<T> {
        match response {
            Ok(response) => {
                if std::mem::take(&mut self.is_unreachable) {
                    LogEvent::StoreBack.log(what);
                }
                Some(response)
            }
            Err(error) => {
                if !std::mem::replace(&mut self.is_unreachable, true) {
                    LogEvent::StoreUnreachable.log(format_args!("{what}: {error}"));
                }
                None
            }
        }
    }
}
