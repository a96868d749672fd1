use {
    bytes::{Buf as _, Bytes, BytesMut},
    http_body_util::BodyExt as _,
    hyper::body::Body,
    std::{cell::Cell, fmt},
};

/// Memory for the bodies that a host is reading whole, together.
///
/// ```
/// use {bytes::Bytes, cassiafield_gateway::connection::BodyBudget, http_body_util::Full};
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// let budget = BodyBudget::new(1_000);
/// let body = Full::new(Bytes::from_static(b"answer"));
/// assert_eq!(budget.collect(body, 100).await.unwrap(), "answer");
/// assert!(budget.collect(Full::new(Bytes::from_static(b"answer")), 5).await.is_err());
/// # });
/// ```
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    used: Cell<usize>,
}

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum BodyError<E> {
    /// It is larger than its limit.
    TooLarge,
    /// The bodies that are being read fill the memory set aside for them.
    NoMemory,
    /// Its connection broke.
    Broken(E),
}

/// Returns a body's bytes to the budget when it has been read or given up.
struct BudgetShare<'a> {
    budget: &'a BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes` bytes.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self { max_bytes, used: Cell::new(0) }
    }

    /// Reads a body of at most `max_bytes` bytes to its end.
    ///
    /// # Errors
    ///
    /// Returns why the body was not read to its end. Its connection should be closed then.
    pub async fn collect<B>(
        &self,
        mut body: B,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError<B::Error>>
    where
        B: Body + Unpin,
    {
        let mut share = BudgetShare { budget: self, bytes: 0 };
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(mut data) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
            let length = data.remaining();
            if collected.len() + length > max_bytes {
                return Err(BodyError::TooLarge);
            }
            share.grow(length)?;
            collected.extend_from_slice(&data.copy_to_bytes(length));
        }
        Ok(collected.freeze())
    }
}

impl BudgetShare<'_> {
    fn grow<E>(&mut self, bytes: usize) -> Result<(), BodyError<E>> {
        let used = self.budget.used.get() + bytes;
        if used > self.budget.max_bytes {
            return Err(BodyError::NoMemory);
        }
        self.budget.used.set(used);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for BudgetShare<'_> {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}

impl<E: fmt::Display> fmt::Display for BodyError<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLarge => f.write_str("the body is larger than its limit"),
            BodyError::NoMemory => f.write_str("no memory is left for the body"),
            BodyError::Broken(error) => write!(f, "connection broken: {error}"),
        }
    }
}

impl<E: fmt::Debug + fmt::Display> std::error::Error for BodyError<E> {}
