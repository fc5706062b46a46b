//! Follows the list of servers: the whole list first, then a watch that goes on from version to version.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lockcroft_http_client::HttpConnection;
use serde_json::Value;
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use tracing::warn;

use super::{Shared, wall};

/// A watch waits so long for news, and an answer is due so long after. Both are short: what discovery has to
/// tell counts as told soon after a call has ended, whether it came or not, and a connection that has gone
/// silent looks like one without news.
const WATCH: Duration = Duration::from_millis(1000);
const ANSWER: Duration = Duration::from_millis(700);
/// After a call that failed.
const PAUSE: Duration = Duration::from_millis(50);
/// The longest list that is read.
const LIST_MOST: usize = 8 << 20;

/// An address that discovery has left is listened to for as long as it may still speak, or until the new one has
/// given its list: what the old one has written by then counts as told.
const FORMER: Duration = Duration::from_millis(1500);

/// Follows discovery at the address that is last told, for as long as the pilot runs.
pub async fn follow(mut at: watch::Receiver<SocketAddr>, shared: Rc<Shared>) {
    let mut former: Vec<JoinHandle<()>> = Vec::new();
    loop {
        let address = *at.borrow_and_update();
        let heard = Rc::new(Notify::new());
        let current = spawn_local(keep_talking(address, heard.clone(), shared.clone()));
        let changed = tokio::select! {
            changed = at.changed() => changed,
            _ = timeout(FORMER, heard.notified()) => {
                former.drain(..).for_each(|former| former.abort());
                at.changed().await
            }
        };
        former.push(current);
        if changed.is_err() {
            former.drain(..).for_each(|former| former.abort());
            return;
        }
    }
}

async fn keep_talking(address: SocketAddr, heard: Rc<Notify>, shared: Rc<Shared>) {
    let mut whole = true;
    loop {
        let fault = talk(address, &mut whole, &heard, &shared).await;
        warn!(target: "lockcroft::endpoints", %address, fault, "discovery");
        sleep(PAUSE).await;
    }
}

/// Calls on one connection until one fails; says why.
async fn talk(address: SocketAddr, whole: &mut bool, heard: &Notify, shared: &Rc<Shared>) -> String {
    let mut line = match timeout(ANSWER, HttpConnection::open(address)).await {
        Ok(Ok(line)) => line,
        Ok(Err(fault)) => return fault.to_string(),
        Err(_) => return "no connection in time".into(),
    };
    loop {
        let held = shared.controller.borrow().version().filter(|_| !*whole);
        let (path, wait) = match held {
            Some(version) => {
                (format!("/discovery/hosts?since={version}&timeout_ms={}", WATCH.as_millis()), WATCH + ANSWER)
            }
            None => ("/discovery/hosts".to_string(), ANSWER),
        };
        let answer = match timeout(wait, line.get(&path, false, LIST_MOST)).await {
            Ok(Ok(answer)) if answer.status.is_success() => answer,
            Ok(Ok(answer)) => return format!("status {}", answer.status),
            Ok(Err(fault)) => return fault.to_string(),
            Err(_) => return "no answer in time".into(),
        };
        let value: Value = match serde_json::from_slice(&answer.body) {
            Ok(value) => value,
            Err(fault) => return fault.to_string(),
        };
        let taken = shared.controller.borrow_mut().listed(shared.now(), wall(), &value);
        if let Err(fault) = taken {
            *whole = true;
            return fault;
        }
        *whole = false;
        heard.notify_one();
        shared.act();
    }
}
