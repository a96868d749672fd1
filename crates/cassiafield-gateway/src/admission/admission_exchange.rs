use {
    crate::{
        admission::zone_room::ZoneRoom,
        process::{encode_extended, GatewayState, PeerExtension, PeerLink, PeerMessage},
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        admission::{AdmissionReply, HostAdmission},
        ids::{HostId, Moment},
        process::LoadReservation,
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        time::{sleep, timeout},
    },
};

/// A grantor's reply with its name.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct GrantorReply {
    pub(crate) grantor: HostId,
    pub(crate) reply: AdmissionReply,
}

/// Sends this host's reports to the grantor, and the decisions of this host if it is the grantor.
pub(crate) struct AdmissionExchange<'a> {
    state: &'a Rc<GatewayState>,
    link: &'a PeerLink,
    socket: &'a UdpSocket,
}

impl<'a> AdmissionExchange<'a> {
    /// Time between two rounds; what happens meanwhile goes together.
    const MIN_PAUSE: Duration = Duration::from_millis(5);
    /// Time between two decisions of the grantor while requests wait: usage of hosts arrives that nobody
    /// reports at once.
    const DECISION_INTERVAL: Duration = Duration::from_millis(20);
    /// Time between two rounds while nothing waits.
    const IDLE_INTERVAL: Duration = Duration::from_secs(1);

    pub(crate) const fn new(
        state: &'a Rc<GatewayState>,
        link: &'a PeerLink,
        socket: &'a UdpSocket,
    ) -> Self {
        Self { state, link, socket }
    }

    /// Sends and decides whenever something waits; never returns.
    pub(crate) async fn run(self) {
        let desk = &self.state.admission;
        let mut reported_at = Moment::ORIGIN;
        loop {
            // A round is due in either case.
            drop(timeout(self.pause(reported_at), desk.work_due.notified()).await);
            desk.refresh_lead(self.state);
            let now = self.state.now();
            let interval = HostAdmission::<LoadReservation>::REPORT_INTERVAL;
            let is_due = desk.is_report_due.take()
                || desk.host.borrow().is_active(now) && now.since(reported_at) >= interval;
            if is_due {
                reported_at = now;
                self.report(now).await;
            }
            self.decide().await;
            sleep(Self::MIN_PAUSE).await;
        }
    }

    fn pause(&self, reported_at: Moment) -> Duration {
        let desk = &self.state.admission;
        let now = self.state.now();
        let decision = if desk.grantor.borrow().waiting() > 0 {
            Self::DECISION_INTERVAL
        } else {
            Self::IDLE_INTERVAL
        };
        if desk.host.borrow().is_active(now) {
            let interval = HostAdmission::<LoadReservation>::REPORT_INTERVAL;
            return decision.min(interval.saturating_sub(now.since(reported_at)));
        }
        decision
    }

    async fn report(&self, now: Moment) {
        let desk = &self.state.admission;
        let Some(leader) = desk.host.borrow().leader().cloned() else { return };
        let report = desk.host.borrow_mut().report(now);
        if leader == self.state.settings.host {
            desk.record_report(&leader, report, self.state);
            return;
        }
        let Some(address) = self.state.peer_address(&leader) else { return };
        self.state.metrics.admission.count_report();
        let news = Some(desk.refresh(self.state));
        let extension = PeerExtension { news, admission: Some(report), ..self.link.extension() };
        self.send(&extension, &self.link.host_message(), address).await;
    }

    async fn decide(&self) {
        let (state, desk) = (self.state, &self.state.admission);
        let now = state.now();
        let own = &state.settings.host;
        let reach = desk.host.borrow().reach(own, state.zone_hosts(), now);
        let had_shortage = desk.host.borrow().knows_shortage(now);
        let (replies, decisions) =
            desk.grantor.borrow_mut().decide(&mut ZoneRoom { state }, reach, now);
        for decision in decisions {
            state.metrics.admission.count_decision(&decision.outcome);
            LogEvent::AdmissionDecided.log(format_args!(
                "request {} of {}: {}; {} wait, {} of {} hosts follow",
                decision.ticket,
                decision.host,
                decision.outcome,
                decision.waiting,
                reach.followers,
                reach.hosts
            ));
        }
        for (host, reply) in replies {
            if &host == own {
                let woken = desk.host.borrow_mut().apply_reply(own, &reply, now);
                desk.wake(&woken);
            } else if let Some(address) = state.peer_address(&host) {
                let reply = GrantorReply { grantor: own.clone(), reply };
                let extension =
                    PeerExtension { admission_reply: Some(reply), ..PeerExtension::default() };
                // Releases without grants drop an answer to no question.
                let message = PeerMessage::ReachReply { nonce: 0, is_reached: false };
                self.send(&extension, &message, address).await;
            }
        }
        if !had_shortage && desk.grantor.borrow().waiting() > 0 {
            desk.refresh_lead(state);
            state.urgent_message.notify_one();
        }
    }

    async fn send(&self, extension: &PeerExtension, message: &PeerMessage, address: SocketAddr) {
        let Some(bytes) = encode_extended(extension, message) else { return };
        if let Err(error) = self.socket.send_to(&bytes, address).await {
            LogEvent::PeerFailed.log(format_args!("peer {address}: {error}"));
        }
    }
}
