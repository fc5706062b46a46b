//! Follows the endpoint list: the whole list first, then a watch that goes on from version to version.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lockcroft_http_client::{CallError, HttpConnection, HttpResponse};
use serde_json::Value;
use thiserror::Error;
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use tracing::warn;

use super::shared::{Shared, unix_ms};
use crate::list_message::ListError;

/// How long discovery may hold a watch open without changes, and how long after that its answer is due. Both are
/// short: what discovery has to report counts as reported soon after a call has ended, whether it came or not, and a
/// connection that has gone silent looks like one without changes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1000);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The time between a call that failed and the next connection.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The longest list that is read.
const MAX_LIST_BYTES: usize = 8 << 20;
/// How long a former address of discovery is still followed, unless the new one gives its list before: what the former
/// one has written by then counts as reported.
const FORMER_ADDRESS_TIMEOUT: Duration = Duration::from_millis(1500);

const LIST_PATH: &str = "/discovery/hosts";

/// Why a connection to discovery was given up.
#[derive(Debug, Error)]
enum DiscoveryError {
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("no answer in time")]
    AnswerTimeout,
    #[error("status {0}")]
    Status(String),
    #[error(transparent)]
    Call(#[from] CallError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    List(#[from] ListError),
}

/// Follows discovery at the address that was set last, for as long as the controller runs.
pub async fn follow(mut addresses: watch::Receiver<SocketAddr>, shared: Rc<Shared>) {
    let mut former: Vec<JoinHandle<()>> = Vec::new();
    loop {
        let address = *addresses.borrow_and_update();
        let list_received = Rc::new(Notify::new());
        let current = spawn_local(follow_address(address, list_received.clone(), shared.clone()));
        let changed = tokio::select! {
            changed = addresses.changed() => changed,
            _ = timeout(FORMER_ADDRESS_TIMEOUT, list_received.notified()) => {
                former.drain(..).for_each(|former| former.abort());
                addresses.changed().await
            }
        };
        former.push(current);
        if changed.is_err() {
            former.drain(..).for_each(|former| former.abort());
            return;
        }
    }
}

async fn follow_address(address: SocketAddr, list_received: Rc<Notify>, shared: Rc<Shared>) {
    let mut watcher = Watcher { address, needs_whole_list: true, list_received, shared };
    loop {
        let Err(error) = watcher.watch().await;
        warn!(target: "lockcroft::endpoints", %address, %error, "discovery");
        sleep(RETRY_INTERVAL).await;
    }
}

/// Follows one address of discovery.
struct Watcher {
    address: SocketAddr,
    /// Until the first list, and after one that could not be used.
    needs_whole_list: bool,
    /// Notified of each list that was applied.
    list_received: Rc<Notify>,
    shared: Rc<Shared>,
}

impl Watcher {
    /// Calls on one connection until a call fails.
    async fn watch(&mut self) -> Result<std::convert::Infallible, DiscoveryError> {
        let connection = timeout(ANSWER_TIMEOUT, HttpConnection::open(self.address)).await;
        let mut connection = connection.map_err(|_| DiscoveryError::ConnectTimeout)??;
        loop {
            let response = self.call(&mut connection).await?;
            if !response.status.is_success() {
                return Err(DiscoveryError::Status(response.status.to_string()));
            }
            let message: Value = serde_json::from_slice(&response.body)?;
            self.apply(&message)?;
        }
    }

    /// Asks for changes since the version that is held, or for the whole list.
    async fn call(&self, connection: &mut HttpConnection) -> Result<HttpResponse, DiscoveryError> {
        let held_version = self.shared.control_plane.borrow().list_version();
        let (path, max_wait) = match held_version.filter(|_| !self.needs_whole_list) {
            Some(version) => {
                let timeout_ms = WATCH_TIMEOUT.as_millis();
                let path = format!("{LIST_PATH}?since={version}&timeout_ms={timeout_ms}");
                (path, WATCH_TIMEOUT + ANSWER_TIMEOUT)
            }
            None => (LIST_PATH.to_string(), ANSWER_TIMEOUT),
        };
        let response = timeout(max_wait, connection.get(&path, MAX_LIST_BYTES)).await;
        Ok(response.map_err(|_| DiscoveryError::AnswerTimeout)??)
    }

    fn apply(&mut self, message: &Value) -> Result<(), ListError> {
        let now = self.shared.now();
        let applied = self.shared.control_plane.borrow_mut().update_endpoints(now, unix_ms(), message);
        self.needs_whole_list = applied.is_err();
        applied?;
        self.list_received.notify_one();
        self.shared.after_input();
        Ok(())
    }
}
