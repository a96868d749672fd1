use {
    crate::resources::{segment_buffer::SegmentBuffer, MemoryCharge},
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
    /// Size from which the buffers of a body's connection grow with it, in bytes.
    const LARGE_SIZE: usize = 64 * 1_024;
    /// The grown buffers of a connection, in bytes: one is filled while the other one is read.
    const CONNECTION_BYTES: usize = 2 * 64 * 1_024;
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
        let mut collected = SegmentBuffer::default();
        if let Some(stated) = stated {
            let length = usize::try_from(stated).unwrap_or(usize::MAX);
            if length > max_bytes {
                return Err(HoldError::TooLarge);
            }
            if !charge.grow(length) {
                return Err(HoldError::NoRoom);
            }
            collected = SegmentBuffer::with_capacity(length);
        }
        {
            let mut evicted = pin!(charge.wait_evicted());
            let (mut progress, mut is_large) = (0, false);
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
                let buffers = if length > Self::LARGE_SIZE && !is_large {
                    is_large = true;
                    Self::CONNECTION_BYTES
                } else {
                    0
                };
                let added = buffers + collected.next_segment(data.remaining()).unwrap_or(0);
                if added > 0 && !charge.grow(added) {
                    return Err(HoldError::NoRoom);
                }
                progress += data.remaining();
                let count = data.remaining();
                collected.push(&data.copy_to_bytes(count));
                if progress >= Self::PROGRESS_STEP {
                    charge.record_progress(std::mem::take(&mut progress));
                }
            }
        }
        // The host works on it now.
        charge.set_waiting(false);
        Ok(Self { bytes: collected.into_bytes(), charge: Some(Rc::new(charge)) })
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
