/// Bounds the orders for one run of a stream: one at a time, few in all, and none after one without an answer.
///
/// An order without an answer may be carried out at any later time, after newer ones too.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrderFence {
    sent: u32,
    is_pending: bool,
    is_closed: bool,
}

impl OrderFence {
    /// Maximum number of orders for one run of a stream; each has the endpoint read tokens again.
    const MAX_ORDERS: u32 = 3;

    /// Returns `true` if an order may be sent now.
    #[must_use]
    pub const fn may_order(&self) -> bool {
        !self.is_pending && !self.is_closed && self.sent < Self::MAX_ORDERS
    }

    /// Returns `true` while an order has neither an answer nor failed.
    #[must_use]
    pub const fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Records that an order is being sent.
    pub const fn record_order(&mut self) {
        self.sent += 1;
        self.is_pending = true;
    }

    /// Records that the endpoint answered the order, accepted or not.
    pub const fn record_answer(&mut self) {
        self.is_pending = false;
    }

    /// Records that the order was not sent at all.
    pub const fn record_unsent(&mut self) {
        self.is_pending = false;
    }

    /// Records that the order has no answer: no further one may follow for this run.
    pub const fn record_no_answer(&mut self) {
        self.is_pending = false;
        self.is_closed = true;
    }
}
