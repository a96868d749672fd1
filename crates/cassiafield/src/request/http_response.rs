use {
    crate::request::RequestRefusal,
    serde_json::Value,
    tiny_http::{Header, Request, Response, StatusCode},
};

/// Responds with a complete body; a write error is ignored, since the caller has disconnected.
pub(crate) fn respond(
    request: Request,
    status: u16,
    content_type: &str,
    body: Vec<u8>,
    headers: &[(&str, &str)],
) {
    let mut response = Response::from_data(body).with_status_code(StatusCode(status));
    for (name, value) in
        std::iter::once(("Content-Type", content_type)).chain(headers.iter().copied())
    {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    }
    let _ = request.respond(response);
}

/// Responds with a JSON document.
pub(crate) fn respond_json(request: Request, status: u16, document: &Value) {
    respond(request, status, "application/json", document.to_string().into_bytes(), &[]);
}

/// Responds with the problem document of a refusal (RFC 9457).
pub(crate) fn respond_refusal(request: Request, refusal: &RequestRefusal) {
    let body = refusal.problem_document().to_string().into_bytes();
    let verdict = refusal.verdict.to_string();
    let retry_after = refusal.retry_after_seconds().map(|seconds| seconds.to_string());
    let mut headers = vec![("Cassiafield-Verdict", verdict.as_str())];
    if let Some(retry_after) = &retry_after {
        headers.push(("Retry-After", retry_after));
    }
    respond(request, refusal.cause.status(), "application/problem+json", body, &headers);
}

/// Returns the value of a request header.
pub(crate) fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = request.headers().iter().find(|header| header.field.equiv(name));
    found.map(|header| header.value.as_str())
}
