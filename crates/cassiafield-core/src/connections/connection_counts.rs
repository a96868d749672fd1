use {crate::connections::ConnectionPurpose, std::fmt};

/// What became of an idle connection that no request used again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdleOutcome {
    /// Its idle timeout passed.
    Expired,
    /// The endpoint closed it.
    Closed,
    /// Another one was worth more.
    Evicted,
}

/// Connections to endpoints since the last report, by what they were opened for and how they ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionCounts {
    opened: [u32; ConnectionPurpose::ALL.len()],
    reused: [u32; ConnectionPurpose::ALL.len()],
    idle_ends: [u32; 3],
}

impl ConnectionCounts {
    /// Records that a connection was opened for a purpose.
    pub fn record_open(&mut self, purpose: ConnectionPurpose) {
        self.opened[purpose as usize] += 1;
    }

    /// Records that an idle connection was used again for a purpose.
    pub fn record_reuse(&mut self, purpose: ConnectionPurpose) {
        self.reused[purpose as usize] += 1;
    }

    /// Records the end of an idle connection that no request used again.
    pub fn record_idle_end(&mut self, outcome: IdleOutcome) {
        self.idle_ends[outcome as usize] += 1;
    }

    /// Returns `true` if no connection was opened.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.opened.iter().all(|count| *count == 0)
    }
}

impl fmt::Display for ConnectionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("opened")?;
        for purpose in ConnectionPurpose::ALL {
            let (opened, reused) = (self.opened[purpose as usize], self.reused[purpose as usize]);
            if opened + reused > 0 {
                write!(f, " {purpose} {opened} of {}", opened + reused)?;
            }
        }
        let [expired, closed, evicted] = self.idle_ends;
        write!(f, "; idle ones expired {expired}, closed {closed}, evicted {evicted}")
    }
}
