//! Bodies of requests and responses. A buffered body can be sent again with a retry, a streamed body can't.

use std::time::Duration;

use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as _, Bytes, Frame, Incoming};
use tokio::time::timeout;

/// A buffered or streamed body.
pub type Body = UnsyncBoxBody<Bytes, hyper::Error>;

/// Returns an empty body.
pub fn empty_body() -> Body {
    full_body(Bytes::new())
}

/// Returns a body with these bytes.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// The body of a client's request.
pub enum RequestBody {
    /// A complete body, which can be sent with each attempt.
    Buffered(Bytes),
    /// A body that is forwarded while it is received. `None` once an attempt has taken it.
    Streamed(Option<Body>),
}

impl RequestBody {
    /// Buffers a body of up to `max_bytes` bytes; a longer one is streamed. Returns `None` if the client
    /// sends neither the complete body nor more than `max_bytes` within `time_limit`, or if its connection
    /// breaks.
    pub async fn receive(mut body: Incoming, max_bytes: usize, time_limit: Duration) -> Option<Self> {
        if body.is_end_stream() {
            return Some(RequestBody::Buffered(Bytes::new()));
        }
        let mut buffer = Vec::new();
        let read_result =
            timeout(time_limit, read_into_buffer(&mut buffer, &mut body, max_bytes)).await.ok()??;
        Some(match read_result {
            BufferedPart::Whole => RequestBody::Buffered(buffer.into()),
            BufferedPart::Prefix => RequestBody::Streamed(Some(prefixed_body(buffer, body))),
        })
    }

    /// Returns the body for the next attempt. A streamed body is empty after the first call.
    pub fn for_attempt(&mut self) -> Body {
        match self {
            RequestBody::Buffered(bytes) => full_body(bytes.clone()),
            RequestBody::Streamed(body) => body.take().unwrap_or_else(empty_body),
        }
    }

    /// Returns true if the body can be sent with another attempt.
    pub fn is_buffered(&self) -> bool {
        matches!(self, RequestBody::Buffered(_))
    }
}

/// The part of a body that was read into the buffer.
enum BufferedPart {
    Whole,
    /// The start of a body that exceeds the limit.
    Prefix,
}

/// Reads a body into the buffer until it ends or exceeds `max_bytes`. Returns `None` if the client's
/// connection breaks.
async fn read_into_buffer(
    buffer: &mut Vec<u8>,
    body: &mut Incoming,
    max_bytes: usize,
) -> Option<BufferedPart> {
    while buffer.len() <= max_bytes {
        match body.frame().await {
            None => return Some(BufferedPart::Whole),
            Some(Ok(frame)) => buffer.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Some(Err(_)) => return None,
        }
    }
    Some(BufferedPart::Prefix)
}

/// Returns a streamed body of a prefix that was already read, followed by the rest.
fn prefixed_body(prefix: Vec<u8>, rest: Incoming) -> Body {
    let first_frame = Some(Frame::data(Bytes::from(prefix)));
    let frames = futures_util::stream::unfold((first_frame, rest), |(first_frame, mut rest)| async move {
        match first_frame {
            Some(frame) => Some((Ok(frame), (None, rest))),
            None => rest.frame().await.map(|frame| (frame, (None, rest))),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}
