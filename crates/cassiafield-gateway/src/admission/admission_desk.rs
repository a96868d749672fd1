use {
    crate::{
        admission::{
            zone_room::{HeldMemory, ZoneRoom},
            GrantorReply, WaitingPlace,
        },
        process::GatewayState,
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        admission::{
            AdmissionGrantor, AdmissionNews, AdmissionReport, AdmissionSource, AdmissionTicket,
            HostAdmission, WaitVerdict, WaitingRequest,
        },
        ids::{HostId, Moment, ServiceId},
        process::LoadReservation,
        returns::{RecoverySchedule, ReturnSchedule},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// The requests of this host that wait for room, and what it grants as the leader of its zone.
pub struct AdmissionDesk {
    pub(super) host: RefCell<HostAdmission<LoadReservation>>,
    pub(super) grantor: RefCell<AdmissionGrantor<HeldMemory>>,
    /// Returns of callers that this host refuses by itself.
    returns: RefCell<ReturnSchedule>,
    /// Returns of callers that it refuses since it can't know yet.
    recovery: RefCell<RecoverySchedule>,
    wakers: RefCell<HashMap<AdmissionTicket, Rc<Notify>>>,
    /// Wakes streams under way that look for room by themselves.
    room_freed: Notify,
    /// Streams of this host that have ended.
    ends: Cell<u32>,
    /// Wakes the exchange with the grantor.
    pub(super) work_due: Notify,
    /// Whether a report is due at once.
    pub(super) is_report_due: Cell<bool>,
    /// Whether the grantor answers.
    last_source: Cell<Option<AdmissionSource>>,
}

impl Default for AdmissionDesk {
    fn default() -> Self {
        Self {
            host: RefCell::new(HostAdmission::new(fastrand::u64(1..))),
            grantor: RefCell::default(),
            returns: RefCell::default(),
            recovery: RefCell::default(),
            wakers: RefCell::default(),
            room_freed: Notify::new(),
            ends: Cell::new(0),
            work_due: Notify::new(),
            is_report_due: Cell::new(false),
            last_source: Cell::new(None),
        }
    }
}

impl AdmissionDesk {
    /// Time between two looks for room of a stream under way; other hosts' usage arrives meanwhile.
    const RECHECK_INTERVAL: Duration = Duration::from_millis(40);

    /// Records that a stream of this host has ended, whose memory is free or kept for a waiting request.
    pub(crate) fn record_stream_end(
        &self,
        reservation: LoadReservation,
        tokens: u32,
        state: &GatewayState,
    ) {
        let now = state.now();
        self.returns.borrow_mut().record_end(now);
        self.ends.set(self.ends.get().wrapping_add(1));
        self.grantor.borrow_mut().record_ends(1, now);
        let freed = self.host.borrow_mut().keep(tokens, reservation, now);
        if let Some(reservation) = freed {
            state.load.borrow_mut().release(reservation);
        }
        self.room_freed.notify_waiters();
        if self.host.borrow().knows_shortage(now) {
            self.request_report();
        }
        self.wake_first();
    }

    /// Has the next report sent at once.
    pub(super) fn request_report(&self) {
        self.is_report_due.set(true);
        self.work_due.notify_one();
    }

    /// Returns `true` if a new request of a service joins those that wait.
    pub(crate) fn must_wait(&self, service: &ServiceId, now: Moment) -> bool {
        self.host.borrow().must_wait(service, now)
    }

    /// Adds a request that waits; `None` if too many wait.
    pub(crate) fn enter(
        &self,
        request: WaitingRequest,
        max_wait: Duration,
        state: &Rc<GatewayState>,
    ) -> Option<WaitingPlace> {
        let now = state.now();
        let mut host = self.host.borrow_mut();
        let ticket = host.enter(request, max_wait, now)?;
        state.metrics.admission.count_waiting(host.source(now));
        drop(host);
        let waker = Rc::new(Notify::new());
        self.wakers.borrow_mut().insert(ticket, Rc::clone(&waker));
        self.request_report();
        Some(WaitingPlace::new(Rc::clone(state), ticket, waker))
    }

    /// Removes a request that was served, refused or is gone.
    pub(super) fn leave(&self, ticket: AdmissionTicket, now: Moment) {
        self.wakers.borrow_mut().remove(&ticket);
        if self.host.borrow_mut().leave(ticket, now) {
            self.request_report();
        }
        self.wake_first();
    }

    pub(super) fn verdict(&self, ticket: AdmissionTicket, now: Moment) -> WaitVerdict {
        self.host.borrow_mut().verdict(ticket, now)
    }

    pub(super) fn wake(&self, tickets: &[AdmissionTicket]) {
        let wakers = self.wakers.borrow();
        for waker in tickets.iter().filter_map(|ticket| wakers.get(ticket)) {
            waker.notify_one();
        }
    }

    /// Wakes the first waiting request of this host, which may use the room of its own streams.
    fn wake_first(&self) {
        if let Some(first) = self.host.borrow().first() {
            self.wake(&[first]);
        }
    }

    /// Waits until a stream of this host ends, or for a short time.
    pub(crate) async fn wait_for_room(&self) {
        // The caller checks again in either case.
        drop(timeout(Self::RECHECK_INTERVAL, self.room_freed.notified()).await);
    }

    /// Returns `true` if one more request that looks for room by itself may wait for up to `max_wait`.
    pub(crate) fn has_capacity(&self, max_wait: Duration, now: Moment) -> bool {
        let expected = self.returns.borrow().expected_ends(max_wait, now);
        (self.host.borrow().waiting() as f64) < expected.max(1.0)
    }

    /// Returns after which delay the next refused caller should return, at most `max_delay`.
    pub(crate) fn next_return(&self, max_delay: Duration, now: Moment) -> Duration {
        self.returns.borrow_mut().next_return(now, max_delay)
    }

    /// Returns what [`next_return`](Self::next_return) would, without promising it to anyone.
    pub(crate) fn expected_return(&self, max_delay: Duration, now: Moment) -> Duration {
        self.returns.borrow().clone().next_return(now, max_delay)
    }

    /// Returns the number of requests of this host that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.host.borrow().waiting()
    }

    /// Returns after which delay a caller returns that is refused since this host can't know yet.
    ///
    /// `is_alone` says that other hosts are likely to serve it.
    pub(crate) fn next_recovery(&self, is_alone: bool, now: Moment) -> Duration {
        self.recovery.borrow_mut().next_return(is_alone, now)
    }

    /// Records a message of a host of the zone; returns `false` if a newer one has overtaken it.
    pub(crate) fn record_news(
        &self,
        host: &HostId,
        news: Option<&AdmissionNews>,
        now: Moment,
    ) -> bool {
        let ended = self.host.borrow_mut().record_news(host, news, now);
        self.grantor.borrow_mut().record_ends(ended.unwrap_or(0), now);
        ended.is_some()
    }

    /// Applies decisions of the host that this one takes grants of.
    pub(crate) fn apply_reply(&self, reply: &GrantorReply, now: Moment) {
        let GrantorReply { grantor, reply } = reply;
        let woken = self.host.borrow_mut().apply_reply(grantor, reply, now);
        self.wake(&woken);
    }

    /// Records a report of a host that takes grants of this one; its usage has been recorded.
    pub(crate) fn record_report(
        &self,
        host: &HostId,
        report: AdmissionReport,
        state: &GatewayState,
    ) {
        let mut room = ZoneRoom { state };
        self.grantor.borrow_mut().record_report(host, report, &mut room, state.now());
        self.work_due.notify_one();
    }

    /// Records who leads the zone, and returns the news for the next message to its hosts.
    pub(crate) fn refresh(&self, state: &GatewayState) -> AdmissionNews {
        self.refresh_lead(state);
        let short = self.grantor.borrow().short_services().into_iter().collect();
        self.host.borrow_mut().news(self.ends.get(), short)
    }

    pub(super) fn refresh_lead(&self, state: &GatewayState) {
        let now = state.now();
        let leader = state.zone_leader();
        let is_leader = leader == state.settings.host;
        let mut host = self.host.borrow_mut();
        host.follow(&leader, is_leader);
        let reach = host.reach(&state.settings.host, state.zone_hosts(), now);
        let mut grantor = self.grantor.borrow_mut();
        grantor.record_lead(is_leader, reach, &mut ZoneRoom { state }, now);
        if is_leader {
            let short: Vec<ServiceId> = grantor.short_services().into_iter().collect();
            host.record_short(&short, now);
        }
        let mut load = state.load.borrow_mut();
        for kept in host.expired_share(now) {
            load.release(kept);
        }
        let source = host.source(now);
        let former = self.last_source.replace(Some(source));
        if former == Some(AdmissionSource::Grantor) && source == AdmissionSource::Share {
            state.metrics.admission.count_grantor_loss();
            LogEvent::GrantorSilent.log(format_args!(
                "{leader} has not answered for {} ms; {} requests wait",
                host.silence(now).as_millis(),
                host.waiting()
            ));
        } else if former == Some(AdmissionSource::Share) && source == AdmissionSource::Grantor {
            LogEvent::GrantorBack.log(&leader);
        }
    }

    /// Prepares the use of a grant: the room that this host itself holds for it, if it is the grantor, is
    /// free for the request right after.
    pub(super) fn begin_use(&self, ticket: AdmissionTicket, state: &GatewayState) {
        let Some(number) = self.host.borrow().grant_of(ticket) else { return };
        let own = &state.settings.host;
        self.grantor.borrow_mut().settle(own, number, &mut ZoneRoom { state });
    }

    /// Frees what this host's own streams have left, for a request that uses it right after.
    pub(super) fn release_share(&self, ticket: AdmissionTicket, state: &GatewayState) {
        let mut load = state.load.borrow_mut();
        for kept in self.host.borrow_mut().take_share(ticket) {
            load.release(kept);
        }
    }

    pub(super) fn return_grant(&self, ticket: AdmissionTicket, now: Moment) {
        self.host.borrow_mut().return_grant(ticket, now);
        self.request_report();
    }
}
