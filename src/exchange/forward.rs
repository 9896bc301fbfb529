//! The request body on its way to an upstream.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use thiserror::Error;

/// Bodies up to this size are held in memory, so that a refused request can be sent again.
const REPLAY_MAX: usize = 64 << 10;

/// Why a caller's body can't be forwarded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// body is larger than {0} bytes
    TooLarge(u64),
    /// body ended early: {0}
    Incomplete(String),
}

/// A request body: held whole, or its beginning and the rest as it comes.
#[derive(Debug)]
pub(crate) enum ForwardBody {
    Whole(Option<Bytes>),
    Streaming {
        start: Option<Bytes>,
        rest: dropshot::Body,
        left: u64,
        limit: u64,
    },
}

/// Reads the beginning of a caller's body, and all of it if it is small.
///
/// # Errors
///
/// Fails if the body is longer than `limit` or ends early.
pub(crate) async fn read_body(mut body: dropshot::Body, limit: u64) -> Result<ForwardBody, BodyError> {
    let announced = body.size_hint().lower();
    if announced > limit {
        return Err(BodyError::TooLarge(limit));
    }
    let mut start = BytesMut::new();
    while start.len() <= REPLAY_MAX {
        let Some(frame) = body.frame().await else {
            return Ok(ForwardBody::Whole(Some(start.freeze())));
        };
        let frame = frame.map_err(|e| BodyError::Incomplete(e.to_string()))?;
        if let Ok(data) = frame.into_data() {
            start.extend_from_slice(&data);
        }
        if start.len() as u64 > limit {
            return Err(BodyError::TooLarge(limit));
        }
    }
    let left = limit - start.len() as u64;
    Ok(ForwardBody::Streaming {
        start: Some(start.freeze()),
        rest: body,
        left,
        limit,
    })
}

impl ForwardBody {
    /// A body without content.
    pub(crate) fn empty() -> Self {
        Self::Whole(None)
    }

    /// A copy for another attempt; `None` if the body is not held whole.
    pub(crate) fn replay(&self) -> Option<Self> {
        match self {
            Self::Whole(data) => Some(Self::Whole(data.clone())),
            Self::Streaming { .. } => None,
        }
    }

    /// The bytes that are in memory.
    pub(crate) fn start(&self) -> &[u8] {
        match self {
            Self::Whole(data) | Self::Streaming { start: data, .. } => data.as_deref().unwrap_or_default(),
        }
    }
}

impl Body for ForwardBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(data) => Poll::Ready(data.take().filter(|d| !d.is_empty()).map(|d| Ok(Frame::data(d)))),
            Self::Streaming {
                start,
                rest,
                left,
                limit,
            } => {
                if let Some(data) = start.take() {
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                let frame = match ready!(Pin::new(rest).poll_frame(context)) {
                    None => return Poll::Ready(None),
                    Some(Err(e)) => return Poll::Ready(Some(Err(BodyError::Incomplete(e.to_string())))),
                    Some(Ok(frame)) => frame,
                };
                let length = frame.data_ref().map_or(0, Bytes::len) as u64;
                match left.checked_sub(length) {
                    Some(rest) => *left = rest,
                    None => return Poll::Ready(Some(Err(BodyError::TooLarge(*limit)))),
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(data) => data.as_ref().is_none_or(Bytes::is_empty),
            Self::Streaming { start, rest, .. } => start.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(data) => SizeHint::with_exact(data.as_ref().map_or(0, Bytes::len) as u64),
            Self::Streaming { start, rest, .. } => {
                let held = start.as_ref().map_or(0, Bytes::len) as u64;
                rest.size_hint()
                    .exact()
                    .map_or_else(SizeHint::default, |n| SizeHint::with_exact(n + held))
            }
        }
    }
}
