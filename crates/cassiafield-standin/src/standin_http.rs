use {
    anyhow::Context as _,
    cassiafield::connection::{HttpListener, ListenerLimits, RequestHandler},
    cassiafield_core::process::EndpointRecord,
    serde::de::DeserializeOwned,
    serde_json::Value,
    std::{
        net::{SocketAddr, TcpListener},
        sync::Arc,
    },
    tiny_http::{Header, Request, Response},
};

/// Limits the requests that a stand-in handles concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 4_096;

/// Binds `address` and serves requests on it; returns the listener and the bound address.
pub(crate) fn serve(
    address: &str,
    handler: Arc<dyn RequestHandler>,
) -> anyhow::Result<(HttpListener, SocketAddr)> {
    let socket = TcpListener::bind(address).with_context(|| format!("cannot bind {address}"))?;
    let limits = ListenerLimits { max_requests: MAX_CONCURRENT_REQUESTS };
    let listener = HttpListener::open(socket, limits, handler)?;
    let bound = listener.address()?;
    Ok((listener, bound))
}

/// Reads a request's whole body; a read error truncates it.
pub(crate) fn read_body(http: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    let _ = http.as_reader().read_to_end(&mut body);
    body
}

/// Reads a request's body as JSON.
pub(crate) fn read_json<T: DeserializeOwned>(http: &mut Request) -> anyhow::Result<T> {
    Ok(serde_json::from_slice(&read_body(http))?)
}

/// Sends a JSON response.
pub(crate) fn respond_json(http: Request, status: u16, body: &Value) {
    let mut response = Response::from_string(body.to_string()).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    let _ = http.respond(response);
}

/// Registers an endpoint with a platform stand-in.
pub(crate) fn register(platform_url: &str, record: &EndpointRecord) -> anyhow::Result<()> {
    let url = format!("{platform_url}/standin/endpoint");
    ureq::post(&url).send_json(record).context("cannot register the endpoint")?;
    Ok(())
}
