use {
    crate::connection::HeaderNames,
    bytes::Bytes,
    cassiafield_core::ids::{Moment, OrganisationId},
    compact_str::CompactString,
    http::{header, HeaderMap, HeaderName, HeaderValue, Method},
    std::time::Duration,
};

/// A caller's request as the host has read it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifies this attempt of the caller.
    pub id: CompactString,
    /// When the host had read its head.
    pub arrived: Moment,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: CompactString,
    /// The headers to pass on, without those that concern one connection or that the host sets.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// How long the caller will wait, counted from `arrived`.
    pub deadline: Option<Duration>,
    /// The organisation that it counts for.
    pub organisation: Option<OrganisationId>,
}

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers that concern one connection only, also those that `Connection` names.
pub(super) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

impl CallerRequest {
    /// Returns the time left until the caller, or the route, gives up.
    #[must_use]
    pub fn remaining_time(&self, route_limit: Duration, now: Moment) -> Duration {
        let limit = self.deadline.map_or(route_limit, |deadline| deadline.min(route_limit));
        limit.saturating_sub(now.since(self.arrived))
    }

    /// Returns the caller's own time left, in milliseconds.
    #[must_use]
    pub fn remaining_deadline_ms(&self, now: Moment) -> Option<u64> {
        let left = self.deadline?.saturating_sub(now.since(self.arrived));
        Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the tokens of the prompt and the most tokens of the answer, if stated.
    #[must_use]
    pub fn token_counts(&self, names: &HeaderNames) -> Option<(u32, u32)> {
        let value = self.headers.get(&names.token_counts)?.to_str().ok()?;
        let (prompt, answer) = value.split_once(',')?;
        Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
    }

    /// Returns a header as a number.
    #[must_use]
    pub fn header_u64(&self, name: &HeaderName) -> Option<u64> {
        self.headers.get(name)?.to_str().ok()?.trim().parse().ok()
    }

    /// Returns the headers for an endpoint.
    #[must_use]
    pub fn outgoing_headers(&self, names: &HeaderNames, endpoint: &str, now: Moment) -> HeaderMap {
        let mut headers = self.headers.clone();
        if let Some(left_ms) = self.remaining_deadline_ms(now) {
            headers.insert(names.deadline.clone(), HeaderValue::from(left_ms));
        }
        if let Ok(value) = HeaderValue::from_str(endpoint) {
            headers.insert(names.expected_endpoint.clone(), value);
        }
        if let Some(organisation) = &self.organisation {
            if let Ok(value) = HeaderValue::from_str(organisation.as_str()) {
                headers.insert(names.organisation.clone(), value);
            }
        }
        headers
    }
}
