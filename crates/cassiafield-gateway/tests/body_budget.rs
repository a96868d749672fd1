//! Bodies that are read whole: their own limit and the one that they share.

use {
    bytes::Bytes,
    cassiafield_gateway::connection::{BodyBudget, BodyError},
    http_body_util::{Full, StreamBody},
    hyper::body::{Body, Frame},
    std::{
        convert::Infallible,
        future::Future,
        pin::Pin,
        task::{Context, Poll, Waker},
    },
};

const PIECE: &[u8] = &[b'x'; 100];

/// Pieces without end, of which only the first `ready` are there so far.
struct EndlessPieces {
    ready: usize,
}

impl futures_core::Stream for EndlessPieces {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ready == 0 {
            return Poll::Pending;
        }
        self.ready -= 1;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(PIECE)))))
    }
}

fn endless(ready: usize) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    StreamBody::new(EndlessPieces { ready })
}

fn poll<F: Future + Unpin>(future: &mut F) -> Poll<F::Output> {
    Pin::new(future).poll(&mut Context::from_waker(Waker::noop()))
}

#[test]
fn a_body_larger_than_its_limit_is_given_up() {
    let budget = BodyBudget::new(10_000);
    let mut reading = Box::pin(budget.collect(endless(50), 1_000));
    assert!(matches!(poll(&mut reading), Poll::Ready(Err(BodyError::TooLarge))));
}

/// Guards against memory that many bodies without end fill together.
#[test]
fn bodies_that_are_read_at_the_same_time_share_a_budget() {
    let budget = BodyBudget::new(1_000);
    let mut first = Box::pin(budget.collect(endless(6), 1_000));
    assert!(poll(&mut first).is_pending());
    let mut second = Box::pin(budget.collect(endless(6), 1_000));
    assert!(matches!(poll(&mut second), Poll::Ready(Err(BodyError::NoMemory))));
    // The memory of a body that is given up is free again.
    drop((first, second));
    let mut third = Box::pin(budget.collect(Full::new(Bytes::from_static(PIECE)), 1_000));
    assert!(matches!(poll(&mut third), Poll::Ready(Ok(read)) if read == PIECE));
}
