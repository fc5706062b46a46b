//! The main loop, which runs the controller after inputs and at its due times until SIGTERM. Inputs that arrive within
//! one decision interval are handled in one run of the controller.

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

/// How long inputs are collected before the controller runs, if the settings contain no interval.
const DEFAULT_DECISION_INTERVAL: Duration = Duration::from_millis(5);
/// The maximum time for writing the last updates after SIGTERM; well below the platform's grace period.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(300);
const FINAL_WRITE_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The interval between logs of the counters.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(5);

/// Serves connections of the listener until SIGTERM, then writes the last updates and returns.
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
    info!(target: "lockcroft::platform", "received SIGTERM, shutting down; proxies keep their tables");
    accepting.abort();
    shared.decide();
    tokio::select! {
        () = all_written(&shared) => {}
        () = sleep(FINAL_WRITE_TIMEOUT) => {}
        () = signals.recv_termination() => {}
    }
}

/// Applies the endpoint list of this controller's previous run, if the configuration has one.
fn apply_last_known_endpoint_list(shared: &Shared, config: &Config) {
    let Some(list) = &config.last_known_endpoint_list else { return };
    let applied = shared.control_plane.borrow_mut().update_endpoints(shared.now(), unix_ms(), list);
    if let Err(error) = applied {
        warn!(target: "lockcroft::endpoints", %error, "cannot use the last known endpoint list");
    }
}

/// Waits until all output of all connections was written.
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
