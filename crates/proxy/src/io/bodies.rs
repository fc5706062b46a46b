//! Bodies of requests and responses: buffered ones, which can be sent again, and streamed ones.

use std::time::Duration;

use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as _, Bytes, Frame, Incoming};
use tokio::time::timeout;

/// A body of either kind.
pub type Body = UnsyncBoxBody<Bytes, hyper::Error>;

/// A body without data.
pub fn empty_body() -> Body {
    full_body(Bytes::new())
}

/// A body that is there as a whole.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// The body of a client's request.
pub enum RequestBody {
    /// Complete; it can be sent with each attempt.
    Buffered(Bytes),
    /// Forwarded as it comes, once.
    Streamed(Option<Body>),
}

impl RequestBody {
    /// Buffers a body of at most `max_bytes`. `None` if the client doesn't send it within `time_limit`, or
    /// breaks off.
    pub async fn receive(mut body: Incoming, max_bytes: usize, time_limit: Duration) -> Option<Self> {
        if body.is_end_stream() {
            return Some(RequestBody::Buffered(Bytes::new()));
        }
        let mut buffer = Vec::new();
        let filled = timeout(time_limit, fill(&mut buffer, &mut body, max_bytes)).await.ok()??;
        Some(match filled {
            Filled::Complete => RequestBody::Buffered(buffer.into()),
            Filled::TooLong => RequestBody::Streamed(Some(resume(buffer, body))),
        })
    }

    /// The body for the next attempt.
    pub fn for_attempt(&mut self) -> Body {
        match self {
            RequestBody::Buffered(bytes) => full_body(bytes.clone()),
            RequestBody::Streamed(body) => body.take().unwrap_or_else(empty_body),
        }
    }

    /// Whether it can be sent with another attempt.
    pub fn is_buffered(&self) -> bool {
        matches!(self, RequestBody::Buffered(_))
    }
}

enum Filled {
    Complete,
    /// The buffer holds the first part of a longer body.
    TooLong,
}

/// Reads a body into the buffer. `None` if the client breaks off.
async fn fill(buffer: &mut Vec<u8>, body: &mut Incoming, max_bytes: usize) -> Option<Filled> {
    while buffer.len() <= max_bytes {
        match body.frame().await {
            None => return Some(Filled::Complete),
            Some(Ok(frame)) => buffer.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Some(Err(_)) => return None,
        }
    }
    Some(Filled::TooLong)
}

/// A body of which the first part was read already.
fn resume(first_part: Vec<u8>, rest: Incoming) -> Body {
    let first_frame = Some(Frame::data(Bytes::from(first_part)));
    let frames = futures_util::stream::unfold((first_frame, rest), |(first_frame, mut rest)| async move {
        match first_frame {
            Some(frame) => Some((Ok(frame), (None, rest))),
            None => rest.frame().await.map(|frame| (frame, (None, rest))),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}
