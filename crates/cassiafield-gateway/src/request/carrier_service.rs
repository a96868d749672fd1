use {
    crate::{
        connection::{CallerConnection, CallerService},
        request::{HostService, ResponseBody},
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{ids::Moment, process::CloseReason},
    http::{Request, Response},
    hyper::body::Incoming,
    std::{future::Future, pin::Pin, rc::Rc, time::Duration},
};

/// Serves the requests that other hosts hand over.
///
/// They are admitted like those of callers: a host that is not of the fleet gains nothing by it.
pub struct CarrierService {
    service: Rc<HostService>,
}

impl CarrierService {
    /// Creates the service beside the one for callers.
    #[must_use]
    pub const fn new(service: Rc<HostService>) -> Self {
        Self { service }
    }
}

impl CallerService for CarrierService {
    fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<CallerConnection>,
    ) -> Pin<Box<dyn Future<Output = Response<ResponseBody>>>> {
        Box::pin(async move {
            let response = self.service.handle_carried(request, &connection).await;
            response.body().charge_to(&connection);
            response
        })
    }

    fn idle_timeout(&self) -> Duration {
        self.service.idle_timeout()
    }

    fn header_timeout(&self) -> Duration {
        self.service.header_timeout()
    }

    fn now(&self) -> Moment {
        CallerService::now(&*self.service)
    }

    fn max_header_bytes(&self) -> usize {
        self.service.max_header_bytes()
    }

    fn close_wish(&self) -> Option<CloseReason> {
        self.service.close_wish()
    }

    fn record_close(&self, connection: &CallerConnection, reason: CloseReason) {
        if connection.activity().has_open_request() {
            let request = connection.request();
            let id = request.as_ref().map_or("-", |request| &request.id);
            LogEvent::CarryFailed
                .log(format_args!("request {id} of another host was cut: {}", reason.name()));
        }
    }
}
