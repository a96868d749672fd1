use bytes::Bytes;

/// Bytes of a body of unknown length, in segments of few sizes.
///
/// One buffer that grows moves again and again, and leaves gaps in the heap that nothing else fits into:
/// many of them at once take twice the memory of their bytes.
#[derive(Debug, Default)]
pub(super) struct SegmentBuffer {
    segments: Vec<Vec<u8>>,
    len: usize,
}

impl SegmentBuffer {
    /// Smallest segment, in bytes.
    const MIN_SEGMENT_BYTES: usize = 1_024;
    /// Largest segment, in bytes; the allocator reuses the room of freed ones of this size.
    const MAX_SEGMENT_BYTES: usize = 64 * 1_024;
    /// Part of the bytes so far that a new segment adds.
    const GROWTH_DIVISOR: usize = 8;

    /// Creates a buffer with one segment of `bytes` bytes.
    pub(super) fn with_capacity(bytes: usize) -> Self {
        let mut segment = Vec::new();
        segment.reserve_exact(bytes);
        Self { segments: vec![segment], len: 0 }
    }

    /// Returns the number of bytes.
    pub(super) const fn len(&self) -> usize {
        self.len
    }

    /// Returns the size of the segment that is needed to take `bytes` more, if one is.
    pub(super) fn next_segment(&self, bytes: usize) -> Option<usize> {
        let missing = bytes.checked_sub(self.spare()).filter(|missing| *missing > 0)?;
        let growth = ((self.len + bytes) / Self::GROWTH_DIVISOR).next_power_of_two();
        Some(missing.max(growth.clamp(Self::MIN_SEGMENT_BYTES, Self::MAX_SEGMENT_BYTES)))
    }

    /// Adds bytes, and a segment of the size that [`next_segment`](Self::next_segment) names if one is
    /// needed.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        let next = self.next_segment(bytes.len());
        let (first, rest) = bytes.split_at(bytes.len().min(self.spare()));
        if let Some(last) = self.segments.last_mut() {
            last.extend_from_slice(first);
        }
        if let Some(size) = next {
            let mut segment = Vec::new();
            segment.reserve_exact(size);
            segment.extend_from_slice(rest);
            self.segments.push(segment);
        }
        self.len += bytes.len();
    }

    /// Joins the segments.
    pub(super) fn into_bytes(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            return Bytes::from(self.segments.pop().unwrap_or_default());
        }
        let mut joined = Vec::new();
        joined.reserve_exact(self.len);
        for segment in self.segments {
            joined.extend_from_slice(&segment);
        }
        Bytes::from(joined)
    }

    fn spare(&self) -> usize {
        self.segments.last().map_or(0, |last| last.capacity() - last.len())
    }
}
