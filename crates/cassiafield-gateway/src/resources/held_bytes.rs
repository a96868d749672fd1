use {
    crate::resources::MemoryCharge,
    bytes::{Buf as _, Bytes},
    http_body_util::BodyExt as _,
    hyper::body::Body,
    std::{fmt, pin::pin, rc::Rc},
};

/// A body that was read whole and is charged to the host's account.
///
/// Only [`HeldBytes::collect`] creates one that is not empty.
#[derive(Clone, Debug, Default)]
pub struct HeldBytes {
    bytes: Bytes,
    charge: Option<Rc<MemoryCharge>>,
}

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum HoldError<E> {
    /// It is larger than its limit.
    TooLarge,
    /// There is no room for it.
    NoRoom,
    /// It arrived too slowly while others needed the room.
    Evicted,
    /// Its connection broke.
    Broken(E),
}

impl HeldBytes {
    /// Part of its size by which a buffer grows: what a body in small chunks costs beyond its bytes.
    const GROWTH_DIVISOR: usize = 16;
    /// Least growth of a buffer, in bytes.
    const MIN_GROWTH: usize = 1_024;
    /// Progress is recorded in steps of this size, in bytes.
    const PROGRESS_STEP: usize = 4 * 1_024;

    /// Reads a body of at most `max_bytes` bytes to its end; a body of stated length is charged at once.
    ///
    /// # Errors
    ///
    /// Returns why the body was not read to its end. Its connection should be closed then.
    pub async fn collect<B>(
        mut body: B,
        max_bytes: usize,
        charge: MemoryCharge,
    ) -> Result<Self, HoldError<B::Error>>
    where
        B: Body + Unpin,
    {
        let stated = body.size_hint().exact();
        if stated == Some(0) {
            return Ok(Self::default());
        }
        let mut collected = Vec::new();
        if let Some(stated) = stated {
            let length = usize::try_from(stated).unwrap_or(usize::MAX);
            if length > max_bytes {
                return Err(HoldError::TooLarge);
            }
            if !charge.grow(length) {
                return Err(HoldError::NoRoom);
            }
            collected.reserve_exact(length);
        }
        {
            let mut evicted = pin!(charge.wait_evicted());
            let mut progress = 0;
            loop {
                let frame = tokio::select! {
                    biased;
                    frame = body.frame() => frame,
                    () = evicted.as_mut() => return Err(HoldError::Evicted),
                };
                let Some(frame) = frame else { break };
                let Ok(mut data) = frame.map_err(HoldError::Broken)?.into_data() else { continue };
                let length = collected.len() + data.remaining();
                if length > max_bytes {
                    return Err(HoldError::TooLarge);
                }
                if length > collected.capacity() {
                    let growth = (length / Self::GROWTH_DIVISOR).max(Self::MIN_GROWTH);
                    let capacity = (length + growth).min(max_bytes);
                    if !charge.grow(capacity - collected.capacity()) {
                        return Err(HoldError::NoRoom);
                    }
                    collected.reserve_exact(capacity - collected.len());
                }
                progress += data.remaining();
                while data.has_remaining() {
                    let chunk = data.chunk();
                    collected.extend_from_slice(chunk);
                    let count = chunk.len();
                    data.advance(count);
                }
                if progress >= Self::PROGRESS_STEP {
                    charge.record_progress(std::mem::take(&mut progress));
                }
            }
        }
        // The host works on it now.
        charge.set_waiting(false);
        Ok(Self { bytes: Bytes::from(collected), charge: Some(Rc::new(charge)) })
    }

    /// Returns the bytes, which must not outlive this value.
    #[must_use]
    pub const fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns `true` if there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes and their charge, for a response that is written in pieces.
    pub(crate) fn into_parts(self) -> (Bytes, Option<Rc<MemoryCharge>>) {
        (self.bytes, self.charge)
    }
}

impl<E: fmt::Display> fmt::Display for HoldError<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HoldError::TooLarge => f.write_str("the body is larger than its limit"),
            HoldError::NoRoom => f.write_str("no memory is left for the body"),
            HoldError::Evicted => f.write_str("the body came too slowly while room was short"),
            HoldError::Broken(error) => write!(f, "connection broken: {error}"),
        }
    }
}

impl<E: fmt::Debug + fmt::Display> std::error::Error for HoldError<E> {}
