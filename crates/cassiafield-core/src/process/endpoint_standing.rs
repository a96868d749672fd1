use {crate::ids::Moment, std::fmt};

/// Whether an endpoint can take a part of a request, or why it is left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointStanding {
    /// A path may use it.
    Usable,
    /// It accepts no new work.
    Leaving,
    /// It has failed this request, or the caller of the planner left it out.
    Excluded,
    /// It has asked for a pause.
    Paused {
        /// When the pause ends.
        until: Moment,
    },
    /// It has failed lately; it is used only if there is no other path.
    Suspect,
    /// It holds no layers of the model, or its accelerator is unknown.
    NoLayers,
    /// It has just refused a request for lack of memory.
    Full,
    /// Its memory does not suffice for one layer of the request.
    NoMemory,
    /// It has no free slot; a path may use it but not start at it.
    NoSlot,
    /// It takes a limited rate of requests; a path may use it but not start at it.
    NoTurn {
        /// When it has a turn free.
        until: Moment,
    },
}

impl EndpointStanding {
    /// Returns the name of the standing, which does not change between releases.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            EndpointStanding::Usable => "usable",
            EndpointStanding::Leaving => "leaving",
            EndpointStanding::Excluded => "excluded",
            EndpointStanding::Paused { .. } => "paused",
            EndpointStanding::Suspect => "suspect",
            EndpointStanding::NoLayers => "no-layers",
            EndpointStanding::Full => "full",
            EndpointStanding::NoMemory => "no-memory",
            EndpointStanding::NoSlot => "no-slot",
            EndpointStanding::NoTurn { .. } => "no-turn",
        }
    }

    /// Returns when the standing ends, if that is known.
    #[must_use]
    pub const fn until(self) -> Option<Moment> {
        match self {
            EndpointStanding::Paused { until } | EndpointStanding::NoTurn { until } => Some(until),
            _ => None,
        }
    }
}

impl fmt::Display for EndpointStanding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
