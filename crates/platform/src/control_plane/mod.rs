//! The core of the controller on the platform: what arrives becomes calls of [`lockcroft::Controller`], and its actions
//! become one message to each proxy concerned. Free of I/O and clock; nothing about endpoints, weights or requests is
//! decided here.
//!
//! `messages` handles what proxies and collectors say, `sessions` who they are and how their connections end,
//! `actions` what the controller decides, and `updates` sends what changed.

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

/// What is to be done on sockets.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Write this text, then call [`ControlPlane::write_completed`].
    Write {
        /// Where to write.
        connection: ConnectionId,
        /// Whole messages.
        text: String,
    },
    /// Write what waits, then close the connection.
    Close {
        /// Which connection to close.
        connection: ConnectionId,
    },
    /// Read what has come on the connection, then call [`ControlPlane::final_read_completed`].
    FinalRead {
        /// Which connection to read.
        connection: ConnectionId,
    },
    /// Close the connection at once.
    Abort {
        /// Which connection to close.
        connection: ConnectionId,
    },
    /// Check an endpoint, then call [`ControlPlane::health_check_finished`].
    CheckHealth {
        /// The endpoint to check.
        endpoint: EndpointId,
        /// Where it listens.
        address: SocketAddr,
    },
}

/// Counts since the start, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Messages to proxies.
    pub messages: u64,
    /// Parts of these messages, before those that are too long for a line are split.
    pub parts: u64,
    /// Messages of attached connections that could not be used.
    pub invalid_messages: u64,
    /// Connections that were closed with a reason.
    pub rejected: u64,
    /// Reports on attempts and on requests.
    pub reports: u64,
}

/// Sessions in, effects out; all state of the controller on the platform.
pub struct ControlPlane {
    controller: Controller,
    names: NameIndex,
    report_limits: ReportLimits,
    requests_load_reports: bool,
    endpoints: EndpointList,
    published: PublishedTables,
    /// Streams of the attached proxies.
    streams: BTreeMap<ProxyId, ProxyStream>,
    /// Who is at the other end of each connection that has not ended.
    roles: BTreeMap<ConnectionId, Role>,
    admission: ConnectionAdmission,
    /// Proxies for which something may have to be sent.
    pending_proxies: BTreeSet<ProxyId>,
    /// What is to be done and was not given out yet.
    effects: VecDeque<Effect>,
    nonces: NonceSequence,
    counters: Counters,
}

impl ControlPlane {
    /// A control plane without endpoints, proxies or collectors.
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

    /// Applies a message of discovery, or the list of before the start. `unix_ms` is the time in Unix milliseconds.
    ///
    /// # Errors
    /// It can't be used; the list stays as it was.
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
            warn!(target: "lockcroft::endpoints", %error, "an entry can't be used");
        }
        for record in &update.records {
            let endpoint = self.endpoints.name(record.endpoint);
            let age_ms = record.age.map(|age| age.as_millis() as u64);
            debug!(target: "lockcroft::endpoints", endpoint, status = ?record.status, age_ms, "listed");
        }
        if !update.records.is_empty() {
            info!(
                target: "lockcroft::endpoints",
                version = update.version,
                complete = update.is_complete,
                entries = update.records.len(),
                "list updated"
            );
        }
    }

    /// The version of the endpoint list that is held.
    #[must_use]
    pub fn list_version(&self) -> Option<u64> {
        self.endpoints.version()
    }

    /// Whether health checks ask for the load report.
    #[must_use]
    pub fn requests_load_reports(&self) -> bool {
        self.requests_load_reports
    }

    /// Counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// A health check of this address ended after `duration`.
    pub fn health_check_finished(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        address: SocketAddr,
        outcome: HealthCheckOutcome,
        duration: Duration,
    ) {
        let name = self.endpoints.name(endpoint);
        // What answers at a former address says nothing about the endpoint that has moved on.
        let is_current = self.endpoints.address(endpoint) == Some(address);
        let outcome = if is_current { outcome } else { HealthCheckOutcome::AddressChanged };
        let duration_us = duration.as_micros() as u64;
        debug!(target: "lockcroft::health_check", endpoint = name, ?outcome, duration_us);
        self.controller.health_check_finished(now, endpoint, outcome, duration);
    }

    /// When [`ControlPlane::decide`] has to be called at the latest.
    #[must_use]
    pub fn next_due(&self) -> Duration {
        let controller = self.controller.next_due();
        self.admission.next_due().map_or(controller, |admission| admission.min(controller))
    }

    /// Takes actions of the controller until there is none, and returns what is to be done.
    pub fn decide(&mut self, now: Duration) -> Vec<Effect> {
        for connection in self.admission.overdue(now) {
            let effect = self.request_final_read(connection);
            self.effects.push_back(effect);
        }
        while let Some(action) = self.controller.next_action(now) {
            self.apply_action(action);
        }
        self.send_updates();
        self.take_effects()
    }

    /// What is to be done at once, without a decision.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.effects.drain(..).collect()
    }
}
