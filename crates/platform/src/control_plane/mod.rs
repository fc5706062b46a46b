//! The core of the controller process on the platform. It translates inputs to calls of [`lockcroft::Controller`], and
//! the controller's actions to one message per affected proxy. It does no I/O, reads no clock, and makes no decisions
//! about endpoints, weights or requests.
//!
//! `messages` handles messages from proxies and collectors, `sessions` the roles and the closing of connections,
//! `actions` applies the controller's actions, and `updates` sends changes to proxies.

mod actions;
mod messages;
mod sessions;
mod updates;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::{Controller, EndpointId, HealthCheckOutcome, ProxyId};
use lockcroft_host::{NameIndex, PublishedTables};
use serde_json::Value;
use tracing::{debug, info, warn};

use crate::config::Config;
use crate::connection_admission::{ConnectionAdmission, ConnectionId};
use crate::endpoint_list::{EndpointList, ListUpdate, Now};
use crate::inbound::ReportLimits;
use crate::list_message::ListError;
use crate::proxy_stream::ProxyStream;

use self::sessions::Role;
use self::updates::NonceSequence;

/// An I/O operation that the caller of [`ControlPlane`] has to carry out.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Write this text, then call [`ControlPlane::write_completed`].
    Write {
        /// The connection to write to.
        connection: ConnectionId,
        /// One or more complete lines.
        text: String,
    },
    /// Write all pending messages, then close the connection.
    Close {
        /// The connection to close.
        connection: ConnectionId,
    },
    /// Read the bytes that have arrived on the connection, then call [`ControlPlane::final_read_completed`].
    FinalRead {
        /// The connection to read from.
        connection: ConnectionId,
    },
    /// Close the connection immediately, discarding pending messages.
    Abort {
        /// The connection to close.
        connection: ConnectionId,
    },
    /// Check an endpoint, then call [`ControlPlane::health_check_finished`].
    CheckHealth {
        /// The endpoint to check.
        endpoint: EndpointId,
        /// The address of the endpoint.
        address: SocketAddr,
    },
}

/// Counts of events since startup.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Update messages sent to proxies.
    pub messages: u64,
    /// Parts of these messages, not counting the split of parts that are too long for a line.
    pub parts: u64,
    /// Messages of attached connections that were dropped as invalid.
    pub invalid_messages: u64,
    /// Connections that were closed with a `reject` message.
    pub rejected: u64,
    /// Reports of attempts and of requests that were accepted.
    pub reports: u64,
}

/// The state of the controller process on the platform: the controller, its connections and what they were sent.
///
/// Times are durations since startup, on a monotonic clock. Methods that handle inputs queue effects, which
/// [`ControlPlane::take_effects`] and [`ControlPlane::decide`] return.
pub struct ControlPlane {
    controller: Controller,
    names: NameIndex,
    report_limits: ReportLimits,
    requests_load_reports: bool,
    endpoints: EndpointList,
    published: PublishedTables,
    /// Streams of the attached proxies.
    streams: BTreeMap<ProxyId, ProxyStream>,
    /// The role of the peer of each connection that has not ended.
    roles: BTreeMap<ConnectionId, Role>,
    admission: ConnectionAdmission,
    /// Proxies that may have pending changes.
    pending_proxies: BTreeSet<ProxyId>,
    /// Effects that were not returned yet.
    effects: VecDeque<Effect>,
    nonces: NonceSequence,
    counters: Counters,
}

impl ControlPlane {
    /// Creates a control plane without endpoints, proxies or collectors.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let settings = config.settings.clone();
        ControlPlane {
            names: NameIndex::new(&settings),
            report_limits: ReportLimits::new(&settings),
            requests_load_reports: settings.load_on_health_checks,
            endpoints: EndpointList::default(),
            published: PublishedTables::default(),
            streams: BTreeMap::new(),
            roles: BTreeMap::new(),
            admission: ConnectionAdmission::new(config.max_descriptors),
            pending_proxies: BTreeSet::new(),
            effects: VecDeque::new(),
            nonces: NonceSequence::default(),
            counters: Counters::default(),
            controller: Controller::new(settings, config.seed),
        }
    }

    /// Applies an endpoint list message from discovery or from the configuration. `unix_ms` is the current time in Unix
    /// milliseconds. Invalid entries are logged and skipped.
    ///
    /// # Errors
    /// Returns an error and leaves the list unchanged if the message as a whole is invalid or stale.
    pub fn update_endpoints(
        &mut self,
        now: Duration,
        unix_ms: u64,
        message: &Value,
    ) -> Result<(), ListError> {
        let update = self.endpoints.apply(Now { elapsed: now, unix_ms }, message, &self.names)?;
        self.log_list_update(&update);
        self.controller.update_endpoints(now, update.is_complete, update.version, &update.records);
        Ok(())
    }

    fn log_list_update(&self, update: &ListUpdate) {
        for error in &update.errors {
            warn!(target: "lockcroft::endpoints", %error, "rejected an entry of the endpoint list");
        }
        for record in &update.records {
            let endpoint = self.endpoints.name(record.endpoint);
            let age_ms = record.age.map(|age| age.as_millis() as u64);
            debug!(
                target: "lockcroft::endpoints",
                endpoint, status = ?record.status, age_ms, "received endpoint entry"
            );
        }
        if !update.records.is_empty() {
            info!(
                target: "lockcroft::endpoints",
                version = update.version,
                complete = update.is_complete,
                entries = update.records.len(),
                "updated the endpoint list"
            );
        }
    }

    /// Returns the version of the current endpoint list; `None` before the first list.
    #[must_use]
    pub fn list_version(&self) -> Option<u64> {
        self.endpoints.version()
    }

    /// Returns true if health checks request the load report.
    #[must_use]
    pub fn requests_load_reports(&self) -> bool {
        self.requests_load_reports
    }

    /// Returns the counts since startup.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Records the outcome of a health check of this address, and how long it took.
    pub fn health_check_finished(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        address: SocketAddr,
        outcome: HealthCheckOutcome,
        duration: Duration,
    ) {
        let name = self.endpoints.name(endpoint);
        // The result of a check at the former address doesn't apply to an endpoint whose address has changed.
        let is_current = self.endpoints.address(endpoint) == Some(address);
        let outcome = if is_current { outcome } else { HealthCheckOutcome::AddressChanged };
        let duration_us = duration.as_micros() as u64;
        debug!(target: "lockcroft::health_check", endpoint = name, ?outcome, duration_us);
        self.controller.health_check_finished(now, endpoint, outcome, duration);
    }

    /// Returns the time by which [`ControlPlane::decide`] has to be called.
    #[must_use]
    pub fn next_due(&self) -> Duration {
        let controller = self.controller.next_due();
        self.admission.next_due().map_or(controller, |admission| admission.min(controller))
    }

    /// Requests the final read of connections that did not attach in time, applies all actions of the controller, sends
    /// updates to proxies, and returns the effects to carry out.
    pub fn decide(&mut self, now: Duration) -> Vec<Effect> {
        for connection in self.admission.timed_out(now) {
            let effect = self.request_final_read(connection);
            self.effects.push_back(effect);
        }
        while let Some(action) = self.controller.next_action(now) {
            self.apply_action(action);
        }
        self.send_updates();
        self.take_effects()
    }

    /// Returns the queued effects without running the controller.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.effects.drain(..).collect()
    }
}
