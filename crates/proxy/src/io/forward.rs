//! One visit, from a client's head to its final answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Body as _, Bytes, Frame, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use tokio::time::timeout;

use super::pool::{Body, Sent, dial, send};
use super::running::Worker;
use crate::held::{Choice, ChosenEndpoint};
use crate::tries::{AttemptOutcome, may_try_again};

/// The client's patience in milliseconds, carried along so that an endpoint may drop what nobody
/// waits for; the visit's own id; the client, so that a refused one is refused again; the table in
/// force; an endpoint's word that it turned a visit away unread.
const PATIENCE: &str = "x-patience-ms";
const VISIT: &str = "x-visit";
const CLIENT: &str = "x-client";
const TABLE: &str = "x-table";
const RELAY: &str = "x-relay";
const UNREAD: &str = "x-unread";

/// Of one hop only, by the standard; `Connection` may name more.
const HOP: [&str; 7] = [
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
    "proxy-authorization",
];

type Answer = Response<Body>;

/// What a visit is, apart from its body.
struct Visit {
    id: String,
    class: String,
    method: Method,
    path: Uri,
    headers: HeaderMap,
    ends: Duration,
}

/// A body that is kept can be sent again.
enum Load {
    Kept(Bytes),
    Passing(Option<Body>),
}

impl Load {
    fn body(&mut self) -> Body {
        match self {
            Load::Kept(bytes) => Full::new(bytes.clone()).map_err(|never| match never {}).boxed_unsync(),
            Load::Passing(body) => body.take().unwrap_or_else(nothing),
        }
    }

    fn kept(&self) -> bool {
        matches!(self, Load::Kept(_))
    }
}

/// # Errors
/// None; the type is the library's.
pub async fn forward(visit: Request<Incoming>, core: Rc<Worker>) -> Result<Answer, hyper::Error> {
    let (head, body) = visit.into_parts();
    let class = head.uri.path().split('/').nth(1).unwrap_or_default().to_string();
    let told = text(&head.headers, PATIENCE).and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
    let Some((_, patience)) = core.post.classes.iter().find(|(name, _)| *name == class) else {
        return Ok(plain(StatusCode::NOT_FOUND));
    };
    let visit = Visit {
        id: text(&head.headers, VISIT).unwrap_or("-").into(),
        class,
        method: head.method,
        path: head.uri,
        headers: head.headers,
        ends: core.now() + told.unwrap_or(*patience),
    };
    let begun = core.now();
    let (answer, tries) = decide(&visit, body, &core).await;
    tracing::debug!(target: "lockcroft::request", visit = visit.id, class = visit.class, tries,
        status = answer.status().as_u16(), us = (core.now() - begun).as_micros() as u64, "ended");
    Ok(answer)
}

async fn decide(visit: &Visit, body: Incoming, core: &Worker) -> (Answer, u32) {
    if !core.held().lets_in(&visit.class, draw(visit)) {
        return (refuse(core), 0);
    }
    let Some(mut load) = keep(body, core.post.keep_most, visit.ends.saturating_sub(core.now())).await else {
        return (plain(StatusCode::REQUEST_TIMEOUT), 0);
    };
    core.budget.borrow_mut().first_try();
    let (mut tries, mut tried): (u32, Option<ChosenEndpoint>) = (0, None);
    loop {
        let not = tried.as_ref().map(|chosen| chosen.server.as_str());
        let Some(chosen) = choose(visit, not, core).await else { return (refuse(core), tries) };
        let begun = core.now();
        let left = visit.ends.saturating_sub(begun).min(core.post.try_most);
        let (ending, answer) = attempt(visit, &chosen, &mut load, left, core).await;
        tries += 1;
        let took = core.now() - begun;
        let ordered = {
            let mut held = core.held();
            held.ended(core.now(), &chosen, ending, took);
            held.tries_again(&visit.class)
        };
        core.room.notify_waiters();
        if !ending.failed() {
            core.took(&chosen.server, &visit.class, took);
        }
        let again = may_try_again(tries, ending, ordered) && load.kept() && core.now() < visit.ends;
        if !again || !core.budget.borrow_mut().second_try() {
            return (answer, tries);
        }
        tried = Some(chosen);
    }
}

/// From 0 up to 1; the same for a client who comes again.
fn draw(visit: &Visit) -> f64 {
    let who = text(&visit.headers, CLIENT).unwrap_or(&visit.id);
    let mixed = who
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    (mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11) as f64 / (1_u64 << 53) as f64
}

/// A line with room; waits a bounded time for one, with a bounded number of others.
async fn choose(visit: &Visit, not: Option<&str>, core: &Worker) -> Option<ChosenEndpoint> {
    let try_now = || core.held().choose(core.now(), &visit.class, not);
    match try_now() {
        Choice::Endpoint(chosen) => return Some(chosen),
        Choice::Bare => return None,
        Choice::Full => {}
    }
    if *core.waiting.borrow() >= core.post.waiting_most {
        return None;
    }
    *core.waiting.borrow_mut() += 1;
    let until = (core.now() + core.post.waiting_for).min(visit.ends);
    let found = loop {
        let left = until.saturating_sub(core.now());
        if left.is_zero() || timeout(left, core.room.notified()).await.is_err() {
            break None;
        }
        match try_now() {
            Choice::Endpoint(chosen) => break Some(chosen),
            Choice::Bare => break None,
            Choice::Full => {}
        }
    };
    *core.waiting.borrow_mut() -= 1;
    found
}

/// A small body is kept whole. `None` if the client does not send it in time.
async fn keep(mut body: Incoming, most: usize, within: Duration) -> Option<Load> {
    if body.is_end_stream() {
        return Some(Load::Kept(Bytes::new()));
    }
    let mut kept = Vec::new();
    let whole = async {
        while kept.len() <= most {
            match body.frame().await {
                None => return Some(true),
                Some(Ok(frame)) => kept.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
                Some(Err(_)) => return None,
            }
        }
        Some(false)
    };
    let whole = timeout(within, whole).await.ok()??;
    if whole {
        return Some(Load::Kept(kept.into()));
    }
    let first = Frame::data(Bytes::from(kept));
    let rest = futures_util::stream::unfold((Some(first), body), |(first, mut body)| async move {
        match first {
            Some(frame) => Some((Ok(frame), (None, body))),
            None => body.frame().await.map(|frame| (frame, (None, body))),
        }
    });
    Some(Load::Passing(Some(StreamBody::new(rest).boxed_unsync())))
}

async fn attempt(
    visit: &Visit,
    chosen: &ChosenEndpoint,
    load: &mut Load,
    left: Duration,
    core: &Worker,
) -> (AttemptOutcome, Answer) {
    match timeout(left, exchange(visit, chosen, load, core)).await {
        Ok((AttemptOutcome::Refused, _)) => (AttemptOutcome::Refused, plain(StatusCode::BAD_GATEWAY)),
        Ok((ending, Some(answer))) => (ending, answer),
        Ok((ending, None)) => (ending, plain(StatusCode::BAD_GATEWAY)),
        Err(_) => (AttemptOutcome::Late, plain(StatusCode::GATEWAY_TIMEOUT)),
    }
}

async fn exchange(
    visit: &Visit,
    chosen: &ChosenEndpoint,
    load: &mut Load,
    core: &Worker,
) -> (AttemptOutcome, Option<Answer>) {
    let Some(mut message) = message(visit, chosen, load, core) else {
        return (AttemptOutcome::Refused, None);
    };
    let kept = core.pool.borrow_mut().take(chosen.address);
    if let Some(sender) = kept {
        match send(sender, message).await {
            (Sent::Answered(answer, sender), _) => {
                return answered(answer, sender, chosen.address, core).await;
            }
            (Sent::Unsent, Some(back)) => message = back,
            _ => return (AttemptOutcome::Broken, None),
        }
    }
    let Some(sender) = dial(chosen.address, core.post.connect_within).await else {
        return (AttemptOutcome::Refused, None);
    };
    match send(sender, message).await {
        (Sent::Answered(answer, sender), _) => answered(answer, sender, chosen.address, core).await,
        (Sent::Unsent, Some(_)) => (AttemptOutcome::Refused, None),
        _ => (AttemptOutcome::Broken, None),
    }
}

fn message(visit: &Visit, chosen: &ChosenEndpoint, load: &mut Load, core: &Worker) -> Option<Request<Body>> {
    let mut message = Request::new(load.body());
    *message.method_mut() = visit.method.clone();
    *message.uri_mut() = visit.path.path_and_query()?.as_str().parse().ok()?;
    *message.version_mut() = Version::HTTP_11;
    let headers = message.headers_mut();
    *headers = visit.headers.clone();
    strip(headers);
    if !headers.contains_key(HOST) {
        headers.insert(HOST, value(&chosen.address.to_string()));
    }
    let left = visit.ends.saturating_sub(core.now()).as_millis();
    headers.insert(PATIENCE, value(&left.to_string()));
    headers.insert(RELAY, value(&core.post.name));
    let version = core.held().table_version(&chosen.backend);
    headers.insert(TABLE, value(&format!("{}@{version}", chosen.backend)));
    headers.append("via", HeaderValue::from_static("1.1 lockcroft"));
    Some(message)
}

/// Small answers are taken whole before a byte goes to the client, so that half of one is an error
/// and not half an answer.
async fn answered(
    answer: Response<Incoming>,
    sender: super::pool::Sender,
    from: SocketAddr,
    core: &Worker,
) -> (AttemptOutcome, Option<Answer>) {
    let (mut head, body) = answer.into_parts();
    let unread = head.status == StatusCode::SERVICE_UNAVAILABLE && head.headers.contains_key(UNREAD);
    strip(&mut head.headers);
    let code = head.status.as_u16();
    let ending = if unread { AttemptOutcome::TurnedAway } else { AttemptOutcome::Answered(code) };
    let small = body.size_hint().upper().is_some_and(|upper| upper <= core.post.keep_most as u64);
    if !small {
        return (ending, Some(Response::from_parts(head, body.boxed_unsync())));
    }
    match Limited::new(body, core.post.keep_most).collect().await {
        Err(_) => (AttemptOutcome::Broken, None),
        Ok(whole) => {
            core.pool.borrow_mut().give(from, sender);
            let body = Full::new(whole.to_bytes()).map_err(|never| match never {}).boxed_unsync();
            (ending, Some(Response::from_parts(head, body)))
        }
    }
}

/// Takes off what concerns one hop only.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    headers.remove(CONNECTION);
    for name in HOP {
        headers.remove(name);
    }
}

fn refuse(core: &Worker) -> Answer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = core.post.retry_after.as_secs_f64().ceil() as u64;
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    answer
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(nothing());
    *answer.status_mut() = status;
    answer
}

fn nothing() -> Body {
    Full::default().map_err(|never| match never {}).boxed_unsync()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// What is written here holds nothing that a header may not hold.
fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("-"))
}
