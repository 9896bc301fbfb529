//! Bodies of requests: read completely before the first attempt, within the memory budget.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use displaydoc::Display;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

use crate::memory::{Holder, MemoryBudget, Reservation};
use crate::types::Reason;

/// Time without a byte after which a body is given up.
const STALL_MAX: Duration = Duration::from_secs(10);
/// Number of turns of the scheduler for which a body is still read after its time has passed. If the process was held up,
/// bytes that arrived in time are still in the socket.
const LATE_TURNS_MAX: usize = 32;
/// Size of a segment of a large body.
const SEGMENT_BYTES: usize = 64 << 10;
/// Size of the first segment of a body whose length isn't announced.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;

#[derive(Debug)]
struct Content {
    segments: Vec<Bytes>,
    length: usize,
    /// Returned to the budget when the last copy of the body is dropped.
    _reservation: Reservation,
}

/// Body of a request, kept so that a retry can send it again. Copies share their bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct BufferedBody {
    content: Option<Rc<Content>>,
    /// Number of segments that have been sent.
    sent: usize,
    sent_bytes: usize,
}

impl BufferedBody {
    /// Returns the segments of the body.
    pub(super) fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.content
            .iter()
            .flat_map(|content| content.segments.iter().map(AsRef::as_ref))
    }

    fn length(&self) -> usize {
        self.content.as_ref().map_or(0, |content| content.length)
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.content.as_ref().and_then(|c| c.segments.get(self.sent)).cloned();
        if let Some(segment) = &segment {
            self.sent += 1;
            self.sent_bytes += segment.len();
        }
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent_bytes == self.length()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.length() - self.sent_bytes) as u64)
    }
}

/// Collects the bytes of a body in segments, so that growing copies nothing.
struct BodyBuffer {
    reservation: Reservation,
    /// Announced bytes for which no segment has been allocated yet.
    announced: Option<usize>,
    segments: Vec<Bytes>,
    current: BytesMut,
    length: usize,
}

impl BodyBuffer {
    /// Reserves the announced length; returns `None` if the budget has no room.
    fn new(budget: &MemoryBudget, announced: Option<usize>) -> Option<Self> {
        Some(Self {
            reservation: budget.try_reserve(Holder::Body, announced.unwrap_or_default())?,
            announced,
            segments: Vec::new(),
            current: BytesMut::new(),
            length: 0,
        })
    }

    /// Appends bytes; returns false if the budget has no room for them.
    fn push(&mut self, mut data: &[u8]) -> bool {
        while !data.is_empty() {
            if self.current.len() == self.current.capacity() && !self.add_segment() {
                return false;
            }
            let room = self.current.capacity() - self.current.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            self.current.put_slice(fitting);
            self.length += fitting.len();
            data = rest;
        }
        true
    }

    fn add_segment(&mut self) -> bool {
        let size = if let Some(left) = &mut self.announced {
            let size = SEGMENT_BYTES.min(*left);
            *left -= size;
            size
        } else if self.length == 0 {
            FIRST_SEGMENT_BYTES
        } else {
            SEGMENT_BYTES
        };
        if self.announced.is_none() && !self.reservation.try_grow(size) {
            return false;
        }
        let full = std::mem::replace(&mut self.current, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.segments.push(full.freeze());
        }
        size > 0
    }

    fn finish(mut self) -> BufferedBody {
        if !self.current.is_empty() {
            self.segments.push(self.current.freeze());
        }
        BufferedBody {
            content: Some(Rc::new(Content {
                segments: self.segments,
                length: self.length,
                _reservation: self.reservation,
            })),
            ..BufferedBody::default()
        }
    }
}

/// Why a body wasn't read to its end.
#[derive(Debug, Display, Error)]
pub(super) enum BodyFault {
    /// larger than the limit
    TooLarge,
    /// no room in the memory budget
    NoMemory,
    /// deadline passed
    DeadlinePassed,
    /// no byte for {0:?}
    Stalled(Duration),
    /// connection or framing broke: {0}
    Broken(hyper::Error),
}

impl BodyFault {
    pub(super) fn reason(&self) -> Reason {
        match self {
            Self::TooLarge => Reason::BodyTooLarge,
            Self::NoMemory => Reason::MemoryFull,
            Self::DeadlinePassed | Self::Stalled(_) => Reason::BodyLate,
            Self::Broken(_) => Reason::BodyIncomplete,
        }
    }
}

/// Reads a body until the deadline, and counts the received bytes. A body that is announced as too large, or that the
/// budget has no room for, isn't read.
///
/// # Errors
///
/// Fails with the fault for which the request has to be refused.
pub(super) async fn read_body(
    budget: &MemoryBudget,
    mut body: Incoming,
    limit: usize,
    deadline: Instant,
    received: &Cell<usize>,
) -> Result<BufferedBody, BodyFault> {
    if body.is_end_stream() {
        return Ok(BufferedBody::default());
    }
    let announced = body.size_hint().exact();
    let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if announced.is_some_and(|length| length > limit) {
        return Err(BodyFault::TooLarge);
    }
    let mut buffer = BodyBuffer::new(budget, announced).ok_or(BodyFault::NoMemory)?;
    let mut late_turns = LATE_TURNS_MAX;
    while let Some(frame) = read_frame(&mut body, deadline, &mut late_turns).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.length + data.len() > limit {
            return Err(BodyFault::TooLarge);
        }
        if !buffer.push(&data) {
            return Err(BodyFault::NoMemory);
        }
        received.set(buffer.length);
    }
    Ok(buffer.finish())
}

/// Reads the next frame of a body; `None` at its end. After the deadline, it takes what has already arrived, one turn of
/// the scheduler at a time.
async fn read_frame(
    body: &mut Incoming,
    deadline: Instant,
    late_turns: &mut usize,
) -> Result<Option<Frame<Bytes>>, BodyFault> {
    let stall_end = Instant::now() + STALL_MAX;
    let end = deadline.min(stall_end);
    loop {
        if Instant::now() >= end {
            *late_turns = late_turns.checked_sub(1).ok_or(if deadline <= stall_end {
                BodyFault::DeadlinePassed
            } else {
                BodyFault::Stalled(STALL_MAX)
            })?;
        }
        if let Ok(frame) = timeout_at(end, body.frame()).await {
            return frame.transpose().map_err(BodyFault::Broken);
        }
        yield_now().await;
    }
}
