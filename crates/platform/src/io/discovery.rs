//! Follows the endpoint list of discovery: fetches the complete list, then long-polls for changes since each version.

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

/// How long discovery may delay its answer to a long poll without changes, and the timeout for the answer beyond that.
/// Both are short, because discovery counts a change as reported soon after a call has ended, even if the answer was
/// lost, and because a dead connection can't be told apart from one without changes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1000);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The delay between a failed call and the next connection.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum size of an answer from discovery.
const MAX_LIST_BYTES: usize = 8 << 20;
/// The maximum time for which the previous address of discovery is still followed after a change of the address. It
/// ends earlier when the new address has delivered a list. Answers that the previous address has sent by then count as
/// reported.
const PREVIOUS_ADDRESS_TIMEOUT: Duration = Duration::from_millis(1500);

const LIST_PATH: &str = "/discovery/hosts";

/// An error of a call to discovery, after which the connection is closed.
#[derive(Debug, Error)]
enum DiscoveryError {
    #[error("connect timed out")]
    ConnectTimeout,
    #[error("answer timed out")]
    AnswerTimeout,
    #[error("answer has status {0}")]
    Status(String),
    #[error(transparent)]
    Call(#[from] CallError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    List(#[from] ListError),
}

/// Follows discovery at the latest address until the sender of addresses is dropped. After a change of the address, the
/// previous one is followed as well for a limited time.
pub async fn follow(mut addresses: watch::Receiver<SocketAddr>, shared: Rc<Shared>) {
    let mut previous: Vec<JoinHandle<()>> = Vec::new();
    loop {
        let address = *addresses.borrow_and_update();
        let list_received = Rc::new(Notify::new());
        let current = spawn_local(follow_address(address, list_received.clone(), shared.clone()));
        let changed = tokio::select! {
            changed = addresses.changed() => changed,
            _ = timeout(PREVIOUS_ADDRESS_TIMEOUT, list_received.notified()) => {
                previous.drain(..).for_each(|task| task.abort());
                addresses.changed().await
            }
        };
        previous.push(current);
        if changed.is_err() {
            previous.drain(..).for_each(|task| task.abort());
            return;
        }
    }
}

async fn follow_address(address: SocketAddr, list_received: Rc<Notify>, shared: Rc<Shared>) {
    let mut watcher = Watcher { address, needs_complete_list: true, list_received, shared };
    loop {
        let Err(error) = watcher.watch().await;
        warn!(target: "lockcroft::endpoints", %address, %error, "discovery call failed, reconnecting");
        sleep(RETRY_INTERVAL).await;
    }
}

/// Follows one address of discovery. The next call fetches the complete list at first and after a failed update.
struct Watcher {
    address: SocketAddr,
    /// True until the first message was applied, and after one that was rejected.
    needs_complete_list: bool,
    /// Notified after each message that was applied.
    list_received: Rc<Notify>,
    shared: Rc<Shared>,
}

impl Watcher {
    /// Opens a connection and calls discovery on it until a call fails.
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

    /// Requests the changes since the current version, or the complete list.
    async fn call(&self, connection: &mut HttpConnection) -> Result<HttpResponse, DiscoveryError> {
        let current_version = self.shared.control_plane.borrow().list_version();
        let (path, max_wait) = match current_version.filter(|_| !self.needs_complete_list) {
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

    /// Applies a message, and makes the next call fetch the complete list if that fails.
    fn apply(&mut self, message: &Value) -> Result<(), ListError> {
        let now = self.shared.now();
        let applied = self.shared.control_plane.borrow_mut().update_endpoints(now, unix_ms(), message);
        self.needs_complete_list = applied.is_err();
        applied?;
        self.list_received.notify_one();
        self.shared.after_input();
        Ok(())
    }
}
