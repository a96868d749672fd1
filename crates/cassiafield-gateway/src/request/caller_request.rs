use {
    crate::{connection::HeaderNames, resources::HeldBytes},
    cassiafield_core::{
        ids::{EventId, Moment, OrganisationId},
        request::{
            FingerprintSource, PromptPrefix, RequestFingerprint, RequestIdentity, StreamPosition,
        },
    },
    compact_str::CompactString,
    http::{header, HeaderMap, HeaderName, HeaderValue, Method},
    std::{
        hash::{DefaultHasher, Hash as _, Hasher as _},
        time::Duration,
    },
};

/// A parsed request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifies this attempt of the caller.
    pub id: CompactString,
    /// When the request head had been read.
    pub received_at: Moment,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: CompactString,
    /// Headers to forward, without hop-by-hop headers and those that the host sets.
    pub headers: HeaderMap,
    /// The caller's credentials, which no endpoint gets.
    pub credentials: Option<HeaderValue>,
    /// The body.
    pub body: HeldBytes,
    /// How long the caller waits, counted from `received_at`.
    pub timeout: Option<Duration>,
    /// The organisation that the request is accounted to.
    pub organisation: Option<OrganisationId>,
}

/// Hop-by-hop headers.
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

/// Removes hop-by-hop headers, including those that `Connection` lists.
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
    /// Returns the time until the caller or the route times out.
    #[must_use]
    pub fn remaining_time(&self, route_timeout: Duration, now: Moment) -> Duration {
        let timeout = self.timeout.map_or(route_timeout, |timeout| timeout.min(route_timeout));
        timeout.saturating_sub(now.since(self.received_at))
    }

    /// Returns the time until the caller's own deadline, in milliseconds.
    #[must_use]
    pub fn remaining_deadline_ms(&self, now: Moment) -> Option<u64> {
        let left = self.timeout?.saturating_sub(now.since(self.received_at));
        Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the number of prompt tokens and the maximum number of output tokens, if stated.
    #[must_use]
    pub fn token_counts(&self, names: &HeaderNames) -> Option<(u32, u32)> {
        let value = self.headers.get(&names.token_counts)?.to_str().ok()?;
        let (prompt, output) = value.split_once(',')?;
        Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
    }

    /// Returns what the request has in common with others, without its fingerprint.
    #[must_use]
    pub fn identity(&self, names: &HeaderNames) -> RequestIdentity {
        let value = self.headers.get(&names.prompt_parts).and_then(|value| value.to_str().ok());
        let prefix: PromptPrefix = value.and_then(|text| text.parse().ok()).unwrap_or_default();
        let mut hasher = DefaultHasher::new();
        self.id.hash(&mut hasher);
        RequestIdentity::new(prefix, hasher.finish())
    }

    /// Returns the fingerprint, which takes the whole body to compute.
    #[must_use]
    pub fn fingerprint(&self, names: &HeaderNames) -> RequestFingerprint {
        let header = |name: &HeaderName| self.headers.get(name).map_or(&[][..], |v| v.as_bytes());
        RequestFingerprint::from(FingerprintSource {
            method: self.method.as_str(),
            host: header(&header::HOST),
            target: &self.target,
            organisation: self.organisation.as_ref().map_or("", OrganisationId::as_str),
            prompt: header(&names.prompt_parts),
            body: self.body.bytes(),
        })
    }

    /// Returns the value of a numeric header.
    #[must_use]
    pub fn header_u64(&self, name: &HeaderName) -> Option<u64> {
        self.headers.get(name)?.to_str().ok()?.trim().parse().ok()
    }

    /// Returns the place from which the caller asks for a stream; an id that is no number names none.
    #[must_use]
    pub fn stream_position(&self, names: &HeaderNames) -> StreamPosition {
        let value = self.headers.get(&names.last_event_id).and_then(|value| value.to_str().ok());
        let last = value.and_then(|text| text.trim().parse::<EventId>().ok());
        last.map_or(StreamPosition::START, StreamPosition::after)
    }

    /// Returns the headers of the request to an endpoint.
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
