use {
    crate::connection::{
        platform_codec::next_page_start, PlatformCodec, StoreCall, StoreCallError, StoreClient,
        StoreItem, StoreResponse,
    },
    cassiafield::process::LogEvent,
    prometheus::IntCounterVec,
    std::{
        future::Future,
        net::SocketAddrV4,
        pin::{pin, Pin},
        rc::Rc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// The answer to a read and the duration of the call that got it.
pub type TimedAnswer<T> = Result<(T, Duration), StoreCallError>;

/// Reads the platform's store, with a second call where the first one gets no answer.
///
/// A connection may be dead without a reset, and a connection that was idle for long is the first
/// to be. Reads have no effect, so the same call may be made twice.
pub struct StoreReader {
    codec: Rc<dyn PlatformCodec>,
    address: SocketAddrV4,
    calls: IntCounterVec,
    purpose: &'static str,
    client: StoreClient,
}

impl StoreReader {
    /// Creates a reader that connects on its first call.
    #[must_use]
    pub fn new(
        codec: Rc<dyn PlatformCodec>,
        address: SocketAddrV4,
        calls: IntCounterVec,
        purpose: &'static str,
    ) -> Self {
        let client = StoreClient::new(Rc::clone(&codec), address, calls.clone(), purpose);
        Self { codec, address, calls, purpose, client }
    }

    /// Makes a call that reads.
    ///
    /// If it has no answer after `second_call_delay` or its connection breaks, the call is made once
    /// more over a new connection, and the first answer of both counts. A refusal is an answer.
    ///
    /// # Errors
    ///
    /// Returns why neither call was answered with success.
    pub async fn read(
        &mut self,
        call: &StoreCall,
        second_call_delay: Option<Duration>,
    ) -> TimedAnswer<StoreResponse> {
        let Some(delay) = second_call_delay else { return self.client.timed_call(call).await };
        let mut second_client = StoreClient::new(
            Rc::clone(&self.codec),
            self.address,
            self.calls.clone(),
            self.purpose,
        );
        let (answer, is_second) = {
            let mut first = pin!(self.client.timed_call(call));
            let early = tokio::select! {
                biased;
                answer = &mut first => Some(answer),
                () = sleep(delay) => None,
            };
            match early {
                Some(Err(StoreCallError::Unreachable(_))) => {
                    (second_client.timed_call(call).await, true)
                }
                Some(answer) => (answer, false),
                None => {
                    LogEvent::StoreCallDelayed.log(format_args!(
                        "{}: {} without an answer for {} ms; the call is made once more",
                        self.purpose,
                        call.name(),
                        delay.as_millis(),
                    ));
                    first_answer(first, pin!(second_client.timed_call(call))).await
                }
            }
        };
        if is_second {
            self.client = second_client;
        }
        answer
    }

    /// Reads all items whose keys start with `prefix`, page by page.
    ///
    /// The duration is that of the slowest page.
    ///
    /// # Errors
    ///
    /// Returns the first error of a page.
    pub async fn list(
        &mut self,
        prefix: &str,
        second_call_delay: Option<Duration>,
    ) -> TimedAnswer<Vec<StoreItem>> {
        let mut found = Vec::new();
        let mut after = String::new();
        let mut longest = Duration::ZERO;
        loop {
            let prefix = prefix.to_owned();
            let call = StoreCall::List { prefix, after: after.clone(), allow_stale: false };
            let (response, duration) = self.read(&call, second_call_delay).await?;
            longest = longest.max(duration);
            match response {
                StoreResponse::Page { items, has_more } => {
                    let next = next_page_start(&after, &items, has_more)?;
                    found.extend(items);
                    match next {
                        Some(key) => after = key,
                        None => return Ok((found, longest)),
                    }
                }
                other => {
                    return Err(StoreCallError::Unreadable(format!("expected a page: {other:?}")))
                }
            }
        }
    }
}

/// Returns the first answer of two calls, and whether it is the second call's.
///
/// An unreachable store is no answer while the other call is pending.
async fn first_answer<T>(
    mut first: Pin<&mut impl Future<Output = TimedAnswer<T>>>,
    mut second: Pin<&mut impl Future<Output = TimedAnswer<T>>>,
) -> (TimedAnswer<T>, bool) {
    tokio::select! {
        answer = &mut first => match answer {
            Err(StoreCallError::Unreachable(_)) => (second.await, true),
            answer => (answer, false),
        },
        answer = &mut second => match answer {
            Err(StoreCallError::Unreachable(_)) => (first.await, false),
            answer => (answer, true),
        },
    }
}
