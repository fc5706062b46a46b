//! Bodies of requests and responses. A buffered body can be sent again with a retry, a streamed body can't. Buffered
//! bodies of all connections together are limited by a budget; beyond it, bodies are streamed.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as _, Bytes, Frame, Incoming, SizeHint};
use lockcroft_runtime_api::{ByteBudget, ByteReservation};
use tokio::time::timeout;

/// A buffered or streamed body.
pub type Body = UnsyncBoxBody<Bytes, hyper::Error>;

/// The size of the frames of a buffered response. The HTTP library copies a frame, and takes the next one only once it
/// has written most of the last.
const RESPONSE_FRAME_BYTES: usize = 1 << 14;

/// Returns an empty body.
pub fn empty_body() -> Body {
    full_body(Bytes::new())
}

/// Returns a body with these bytes.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns the body of a response that keeps its reserved bytes until the client was sent almost all of it.
pub fn buffered_response(bytes: Bytes, reservation: ByteReservation) -> Body {
    BufferedResponse { remaining: bytes, _reservation: reservation }.boxed_unsync()
}

/// A buffered body that is handed to the HTTP library in small frames.
struct BufferedResponse {
    remaining: Bytes,
    _reservation: ByteReservation,
}

impl hyper::body::Body for BufferedResponse {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        let frame_bytes = self.remaining.len().min(RESPONSE_FRAME_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.remaining.split_to(frame_bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}

/// The body of a client's request.
pub enum RequestBody {
    /// A complete body, which can be sent with each attempt, and its reserved bytes.
    Buffered { bytes: Bytes, _reservation: ByteReservation },
    /// A body that is forwarded while it is received. `None` once an attempt has taken it.
    Streamed(Option<Body>),
}

impl RequestBody {
    /// Buffers a body of up to `max_bytes` bytes, as far as the budget allows; a longer one is streamed.
    /// Returns `None` if the client sends neither the complete body nor more than that within `time_limit`,
    /// or if its connection breaks.
    pub async fn receive(
        mut body: Incoming,
        max_bytes: usize,
        budget: &ByteBudget,
        time_limit: Duration,
    ) -> Option<Self> {
        let mut buffer = BodyBuffer { bytes: Vec::new(), reservation: budget.reservation() };
        if body.is_end_stream() {
            return Some(buffer.into_body());
        }
        let read_result = timeout(time_limit, buffer.read(&mut body, max_bytes)).await.ok()??;
        Some(match read_result {
            BufferedPart::Whole => buffer.into_body(),
            BufferedPart::Prefix => RequestBody::Streamed(Some(prefixed_body(buffer, body))),
        })
    }

    /// Returns the body for the next attempt. A streamed body is empty after the first call.
    pub fn for_attempt(&mut self) -> Body {
        match self {
            RequestBody::Buffered { bytes, .. } => full_body(bytes.clone()),
            RequestBody::Streamed(body) => body.take().unwrap_or_else(empty_body),
        }
    }

    /// Returns true if the body can be sent with another attempt.
    pub fn is_buffered(&self) -> bool {
        matches!(self, RequestBody::Buffered { .. })
    }
}

/// The part of a body that was read into the buffer.
enum BufferedPart {
    Whole,
    /// The start of a body that exceeds the limit.
    Prefix,
}

/// The bytes of a body that were read so far, and their reservation.
struct BodyBuffer {
    bytes: Vec<u8>,
    reservation: ByteReservation,
}

impl BodyBuffer {
    /// Returns the bytes as a complete body.
    fn into_body(self) -> RequestBody {
        RequestBody::Buffered { bytes: self.bytes.into(), _reservation: self.reservation }
    }

    /// Reads a body until it ends, exceeds `max_bytes` or exceeds the budget. Returns `None` if the client's
    /// connection breaks.
    async fn read(&mut self, body: &mut Incoming, max_bytes: usize) -> Option<BufferedPart> {
        while self.bytes.len() <= max_bytes {
            match body.frame().await {
                None => return Some(BufferedPart::Whole),
                Some(Ok(frame)) => self.bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
                Some(Err(_)) => return None,
            }
            if self.reservation.try_resize(self.bytes.capacity()).is_err() {
                return Some(BufferedPart::Prefix);
            }
        }
        Some(BufferedPart::Prefix)
    }
}

/// Returns a streamed body of a prefix that was already read, followed by the rest.
fn prefixed_body(prefix: BodyBuffer, rest: Incoming) -> Body {
    let BodyBuffer { bytes, reservation } = prefix;
    let first_frame = Some(Frame::data(Bytes::from(bytes)));
    let state = (first_frame, reservation, rest);
    let frames = futures_util::stream::unfold(state, |(first_frame, reservation, mut rest)| async move {
        match first_frame {
            Some(frame) => Some((Ok(frame), (None, reservation, rest))),
            None => rest.frame().await.map(|frame| (frame, (None, reservation, rest))),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}
