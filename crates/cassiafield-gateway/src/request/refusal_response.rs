use {
    crate::request::ResponseBody,
    bytes::Bytes,
    cassiafield_core::request::RefusalCause,
    http::{header, HeaderValue, Response, StatusCode},
    std::time::Duration,
};

/// Returns the answer to a request that is refused or has failed, with when to retry.
pub(super) fn refusal_response(
    cause: RefusalCause,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(cause.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    text_response(status, cause.name(), retry_after)
}

/// Returns an answer of the host's own with a short text.
pub(super) fn text_response(
    status: StatusCode,
    text: &'static str,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from_bytes(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(value) = retry_after
        .and_then(|pause| HeaderValue::from_str(&format!("{:.2}", pause.as_secs_f64())).ok())
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}
