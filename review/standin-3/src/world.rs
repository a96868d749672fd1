//! A small deployment: the store, its configuration, servers and hosts.

use {
    crate::{
        http::{Channel, Message},
        play::{bounds, Host, HostPlan, Play},
        store::Store,
    },
    std::{
        io,
        net::{SocketAddrV4, TcpListener},
        sync::Arc,
        thread,
        time::Duration,
    },
};

/// What a server does with one request; `false` ends the connection.
pub type Handler = dyn Fn(&Message, &mut Channel) -> bool + Send + Sync;

/// Starts a server that gives each request to `handler`.
pub fn serve(address: SocketAddrV4, handler: Arc<Handler>) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let mut channel = Channel::new(stream);
                while let Ok(request) = channel.read(true) {
                    if !handler(&request, &mut channel) {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// A route of the configuration.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u32,
    pub attempts: u32,
    /// Further fields, each after a comma.
    pub more: &'a str,
}

/// Returns a configuration as the operator writes it; `services` and `more` are JSON.
pub fn configuration(version: u32, routes: &[Route<'_>], services: &str, more: &str) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { prefix, kind, service, timeout_ms, attempts, more } = route;
            format!(
                "{{\"name\":\"r{}\",\"host\":\"a.example\",\"prefix\":\"{prefix}\",\
                 \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"slo_ms\":500,\"priority\":1,\
                 \"service\":\"{service}\",\"attempts\":{attempts}{more}}}",
                prefix.replace('/', "-")
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{services}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}{more}}}",
        routes.join(",")
    )
}

/// Returns a plain service of the configuration.
pub fn plain_service(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":110}}")
}

/// Returns a service of model servers whose model has four layers.
pub fn model_service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":1078,\"engine\":{{\
         \"slots\":192,\"kv_capacity\":100000,\"kv_token_bytes\":918000,\"link_mbps\":400000.0,\
         \"stride\":3,\"models\":[{{\"name\":\"m\",\"pace\":1.0,\"load_s\":14.0}}],\
         \"step_ms\":1.02,\"per_seq_ms\":0.00714,\"context_per_k\":0.00956,\
         \"read_per_s\":105000.0,\"pairs_per_m\":0.309,\"chunk\":512,\"report_lag_ms\":200.0,\
         \"usual\":{{\"prompt\":774,\"answer\":204}},\"layers\":4,\"layer_mb\":1750.0,\
         \"act_bytes\":45900,\"pipe_mbps\":22000.0,\"delays\":[],\
         \"kinds\":[{{\"name\":\"a100\",\"mb\":72000.0,\"pace\":2.4,\"read_x\":3.2}}]}}}}"
    )
}

/// What an entry of a model server that holds all layers says besides.
pub const MODEL_ENTRY: &str =
    ",\"kind\":\"a100\",\"layers\":{\"from\":0,\"target\":4,\"version\":1},\"stage\":\"both\"";

/// The report of a model server that holds all layers and has much memory left.
pub const REPORT: &str = "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\
    \"adapters\":[]}],\"busy\":false,\"seq\":0,\"queued\":0,\"active\":0,\"kv_used\":0,\
    \"kv_total\":400000,\"handles\":0,\"pace\":1.0,\"kind\":\"a100\",\
    \"layers\":{\"from\":0,\"target\":4,\"version\":1},\"born\":1765100000000}";

/// Starts one host on a store with its content, and waits until it is ready.
pub fn start_one(play: &Play, store: SocketAddrV4) -> io::Result<Host> {
    let plan = HostPlan::new(play, "front-1", 2, store);
    let host = play.start_host(&plan, &bounds(202))?;
    if !play.wait_ready(&host, Duration::from_secs(10)) {
        return Err(io::Error::other("the host did not get ready"));
    }
    Ok(host)
}

/// Starts the store with a configuration.
pub fn start_store(play: &Play, text: &str) -> io::Result<(Arc<Store>, SocketAddrV4)> {
    let address = play.address(1);
    let store = Store::start(address)?;
    store.put("op/config", text);
    Ok((store, address))
}
