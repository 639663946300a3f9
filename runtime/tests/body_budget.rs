//! Tests of reading bodies within the memory of the process.

use bytes::Bytes;
use fulmarhead_lib::{clock::SharedClock, limits::STALL_TIME};
use fulmarhead_runtime::http::{
    BodyBudget, BodyBuffer, BodyLimits, BodyReadError, EventMemory, HeldBody,
};
use futures::{StreamExt, stream};
use http_body_util::{Full, StreamBody};
use hyper::body::{Body, Frame, SizeHint};
use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use testutils::{ManualClock, cases};
use tokio::{
    runtime::Builder,
    task::{JoinHandle, yield_now},
};

/// Size of the bodies. A process without memory has 8 MiB for all bodies and 6 MiB for large ones.
const LARGE: usize = 4 << 20;

const LIMITS: BodyLimits = BodyLimits { bytes: LARGE, time: Duration::from_secs(60), copies: 1 };

fn block_on<T>(test: impl Future<Output = T>) -> T {
    Builder::new_current_thread().enable_all().build().unwrap().block_on(test)
}

fn new_budget() -> (BodyBudget, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::default());
    (BodyBudget::new(0, Arc::clone(&clock) as SharedClock), clock)
}

/// Returns a body of `bytes` bytes in frames of `size` bytes, without an announced length. If it
/// `stalls`, it does not end.
fn framed(
    bytes: usize,
    size: usize,
    stalls: bool,
) -> impl Body<Data = Bytes, Error = Infallible> + Unpin + Send {
    let frame = move |_| Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'x'; size])));
    let frames = stream::iter(0..bytes / size).map(frame);
    let end = if stalls { stream::pending().left_stream() } else { stream::empty().right_stream() };
    StreamBody::new(frames.chain(end))
}

fn announced(bytes: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![b'x'; bytes]))
}

fn check_read(body: impl Body<Data = Bytes> + Unpin, expected: Result<usize, BodyReadError>) {
    block_on(async {
        let (budget, _) = new_budget();
        let body = budget.read_request(body, LIMITS).await.map(HeldBody::into_bytes);
        assert_eq!(body.as_ref().map(Bytes::len).map_err(|error| *error), expected);
        assert_eq!(budget.held(), expected.unwrap_or(0));
        let clone = body.clone();
        drop(body);
        assert_eq!(budget.held(), expected.unwrap_or(0));
        drop(clone);
        assert_eq!(budget.held(), 0);
    });
}

/// Body that fails the test when it is read.
fn unreadable(announced_bytes: usize) -> impl Body<Data = Bytes> + Unpin {
    struct Unreadable(u64);
    impl Body for Unreadable {
        type Data = Bytes;
        type Error = Infallible;
        fn poll_frame(
            self: Pin<&mut Self>,
            _: &mut Context<'_>,
        ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
            panic!("the body is read")
        }
        fn size_hint(&self) -> SizeHint {
            SizeHint::with_exact(self.0)
        }
    }
    Unreadable(announced_bytes as u64)
}

cases! {
    check_read {
        /// Guards against refusing a body that is alone, and against losing account of its memory
        /// while the request may be retried.
        largest_announced_body: (announced(LARGE), Ok(LARGE)),
        largest_chunked_body: (framed(LARGE, 1 << 16, false), Ok(LARGE)),
        empty_body: (announced(0), Ok(0)),
        /// Guards against chunks that cost more than their bytes.
        tiny_chunks: (framed(1 << 16, 2, false), Ok(1 << 16)),
        /// Guards against reading a body whose announced length is over the limit.
        announced_over_the_limit: (unreadable(LARGE + 1), Err(BodyReadError::TooLarge)),
        chunked_over_the_limit: (
            framed(LARGE + (1 << 16), 1 << 16, true), Err(BodyReadError::TooLarge),
        ),
    }
}

type Reading = JoinHandle<Result<HeldBody, BodyReadError>>;

/// Starts to read a body that stops just short of its end, and returns once it has its memory.
async fn start_stalled(budget: &BodyBudget) -> Reading {
    let reading = {
        let budget = budget.clone();
        let body = framed(LARGE - (1 << 16), 1 << 16, true);
        tokio::spawn(async move { budget.read_request(body, LIMITS).await })
    };
    while budget.held() < LARGE - (1 << 16) {
        yield_now().await;
    }
    reading
}

fn check_beside_stalled(pause: Duration, expected: Option<BodyReadError>) {
    block_on(async {
        let (budget, clock) = new_budget();
        let stalled = start_stalled(&budget).await;
        clock.advance(pause);
        let result = budget.read_request(announced(LARGE), LIMITS).await;
        assert_eq!(result.err(), expected);
        match expected {
            None => assert_eq!(stalled.await.unwrap().err(), Some(BodyReadError::Stalled)),
            Some(_) => assert!(!stalled.is_finished()),
        }
    });
}

cases! {
    check_beside_stalled {
        /// Guards against ending bodies that are on their way.
        recent_body_is_kept: (Duration::ZERO, Some(BodyReadError::NoMemory)),
        /// Guards against stalled bodies that keep others out.
        stalled_body_is_ended: (STALL_TIME, None),
    }
}

/// Guards against refusing an ordinary body while large ones use up their part.
#[test]
fn small_body_is_read_beside_large_ones() {
    block_on(async {
        let (budget, _) = new_budget();
        let _stalled = start_stalled(&budget).await;
        let body = budget.read_request(announced(LARGE), LIMITS).await;
        assert_eq!(body.err(), Some(BodyReadError::NoMemory));
        let body = budget.read_request(announced(31_000), LIMITS).await;
        assert!(body.is_ok());
    });
}

/// Guards against a body that waits for memory without end after its time limit.
#[test]
fn slow_body_is_ended_at_the_time_limit() {
    block_on(async {
        let (budget, _) = new_budget();
        let limits = BodyLimits { time: Duration::from_millis(1), ..LIMITS };
        let body = budget.read_request(framed(1 << 10, 1 << 10, true), limits).await;
        assert_eq!(body.err(), Some(BodyReadError::Timeout));
        assert_eq!(budget.held(), 0);
    });
}

/// Guards against parts of events that are not accounted, and against their memory that is not
/// released once the event is complete.
#[test]
fn events_are_held_within_the_memory() {
    let (budget, _) = new_budget();
    let mut streams: Vec<EventMemory> = (0..4).map(|_| EventMemory::new(&budget)).collect();
    let held = streams.iter_mut().map(|stream| stream.hold(LARGE / 2).is_ok());
    // Large events take at most three quarters of 8 MiB.
    assert_eq!(held.collect::<Vec<_>>(), [true, true, true, false]);
    streams[0].hold(100).unwrap();
    assert_eq!(budget.held(), LARGE);
    streams[3].hold(LARGE / 2).unwrap();
    drop(streams);
    assert_eq!(budget.held(), 0);
}

/// Guards against losing the response of a request that has run because memory is short, and
/// against a response that is not woken when there is memory again.
#[test]
fn response_waits_for_memory() {
    block_on(async {
        let (budget, _) = new_budget();
        let mut first = BodyBuffer::for_response(&budget, 2 * LARGE);
        first.push(&vec![b'x'; 2 * LARGE]).await.unwrap();
        let waiting = {
            let budget = budget.clone();
            tokio::spawn(async move {
                let mut second = BodyBuffer::for_response(&budget, LARGE);
                second.push(&vec![b'x'; LARGE]).await.map(|()| second.finish().into_bytes().len())
            })
        };
        yield_now().await;
        assert!(!waiting.is_finished());
        drop(first);
        assert_eq!(waiting.await.unwrap(), Ok(LARGE));
        assert_eq!(budget.held(), 0);
    });
}
