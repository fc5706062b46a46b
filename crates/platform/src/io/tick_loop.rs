//! The loop of a running controller: it decides whenever something came or a time that decisions wait for is reached,
//! until SIGTERM. What comes within one tick is decided on together.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use lockcroft_signals::{ReceivedSignal, Signals};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};
use tracing::{info, warn};

use super::shared::{Shared, unix_ms};
use super::{discovery, listener, reload};
use crate::config::Config;

/// How long inputs are gathered for one decision where the settings state no interval.
const DEFAULT_DECISION_INTERVAL: Duration = Duration::from_millis(5);
/// How long what was decided may be written at the end; well below what the platform grants after SIGTERM.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(300);
const FINAL_WRITE_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How often counters are logged.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(5);

/// Serves on the listener until SIGTERM.
pub async fn run(path: &Path, config: Config, listener: TcpListener, mut signals: Signals) {
    let shared = Shared::new(&config);
    apply_last_known_endpoint_list(&shared, &config);
    let accepting = spawn_local(listener::accept(listener, shared.clone()));
    let (discovery_address, discovery_changes) = watch::channel(config.discovery);
    spawn_local(discovery::follow(discovery_changes, shared.clone()));
    spawn_local(log_counters(shared.clone()));
    info!(target: "lockcroft::platform", name = config.name, listen = %config.listen, "started");
    let interval = config.settings.decision_interval.unwrap_or(DEFAULT_DECISION_INTERVAL);
    loop {
        let next_due = shared.control_plane.borrow().next_due();
        tokio::select! {
            received = signals.recv() => match received {
                ReceivedSignal::Terminate => break,
                ReceivedSignal::Hangup => {
                    spawn_local(reload::reload(path.to_path_buf(), discovery_address.clone()));
                }
            },
            () = shared.input_arrived.notified() => sleep(interval).await,
            () = sleep_until(shared.instant(next_due)) => {}
        }
        shared.decide();
    }
    info!(target: "lockcroft::platform", "SIGTERM received; proxies keep their tables");
    accepting.abort();
    shared.decide();
    tokio::select! {
        () = all_written(&shared) => {}
        () = sleep(FINAL_WRITE_TIMEOUT) => {}
        () = signals.recv_termination() => {}
    }
}

/// Starts from the list that the platform kept of this controller's last run.
fn apply_last_known_endpoint_list(shared: &Shared, config: &Config) {
    let Some(list) = &config.last_known_endpoint_list else { return };
    let applied = shared.control_plane.borrow_mut().update_endpoints(shared.now(), unix_ms(), list);
    if let Err(error) = applied {
        warn!(target: "lockcroft::endpoints", %error, "the list of before can't be used");
    }
}

/// Waits until nothing that was begun or decided waits for a socket any more.
async fn all_written(shared: &Shared) {
    loop {
        sleep(FINAL_WRITE_POLL_INTERVAL).await;
        if shared.all_written() {
            return;
        }
    }
}

async fn log_counters(shared: Rc<Shared>) {
    loop {
        sleep(COUNTERS_INTERVAL).await;
        let counters = shared.control_plane.borrow().counters();
        info!(
            target: "lockcroft::counters",
            connections = shared.connections(),
            messages = counters.messages,
            parts = counters.parts,
            invalid_messages = counters.invalid_messages,
            rejected = counters.rejected,
            reports = counters.reports,
        );
    }
}
