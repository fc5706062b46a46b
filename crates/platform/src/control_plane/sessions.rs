//! Connections from their acceptance to their end: who is at the other end, and what its end means for the controller.

use std::time::Duration;

use lockcroft::{ProxyId, ZoneId};
use tracing::{debug, info};

use super::{ControlPlane, Effect};
use crate::connection_admission::{AcceptDecision, ConnectionId, MAX_COLLECTORS_PER_ZONE};
use crate::inbound::ProxyAttach;
use crate::outbound::encode_reject;
use crate::proxy_stream::ProxyStream;

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// It has not said who it is.
    Unattached,
    /// A collector for the proxies of this zone.
    Collector(ZoneId),
    /// A proxy; the connection is its stream.
    Proxy(ProxyId),
}

impl ControlPlane {
    /// What to do about the next connection in the listener's queue.
    #[must_use]
    pub fn accept_decision(&self, now: Duration) -> AcceptDecision {
        self.admission.accept_decision(now, self.endpoints.len())
    }

    /// Whether descriptors are left for more connections.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.admission.has_capacity(self.endpoints.len())
    }

    /// A connection was accepted.
    pub fn connection_accepted(&mut self, now: Duration, connection: ConnectionId) {
        self.admission.accepted(now, connection);
        self.roles.insert(connection, Role::Unattached);
    }

    /// The connection is to be closed, unless what it has sent by now attaches it. Returns what is to be done.
    pub fn request_final_read(&mut self, connection: ConnectionId) -> Effect {
        self.admission.closing(connection);
        Effect::FinalRead { connection }
    }

    /// What the connection had sent before its final read was handled.
    pub fn final_read_completed(&mut self, connection: ConnectionId) {
        if self.roles.get(&connection) == Some(&Role::Unattached) {
            self.reject(connection, "no joining in time");
        }
    }

    /// Tells the other end why, and closes the connection.
    pub fn reject(&mut self, connection: ConnectionId, reason: &str) {
        self.counters.rejected += 1;
        let role = self.roles.get(&connection);
        debug!(target: "lockcroft::input", connection, reason, ?role, "rejected");
        self.effects.push_back(Effect::Write { connection, text: encode_reject(reason) });
        self.effects.push_back(Effect::Close { connection });
        self.connection_ended(connection);
    }

    /// Attaches a collector. Where its zone has too many, the oldest is taken for one that is not seen to end.
    pub(super) fn attach_collector(&mut self, connection: ConnectionId, zone: ZoneId) {
        let mut same_zone = self.roles.iter().filter(|(_, role)| **role == Role::Collector(zone));
        let oldest = same_zone.next().map(|(connection, _)| *connection);
        let collectors = usize::from(oldest.is_some()) + same_zone.count();
        if let Some(oldest) = oldest.filter(|_| collectors >= MAX_COLLECTORS_PER_ZONE) {
            self.abort(oldest);
        }
        let zone_name = &self.names.zones[zone];
        info!(target: "lockcroft::input", connection, zone = zone_name, "collector attached");
        self.roles.insert(connection, Role::Collector(zone));
        self.admission.attached(connection);
    }

    /// Attaches a proxy. Its new stream may come before the old one is seen to end, whose end then detaches nobody.
    pub(super) fn attach_proxy(&mut self, now: Duration, connection: ConnectionId, attach: &ProxyAttach) {
        let ProxyAttach { proxy, zone, request_rate, without_table } = *attach;
        let replaces = self.streams.get(&proxy).map(|stream| stream.connection);
        if let Some(old_connection) = replaces {
            self.abort(old_connection);
        }
        info!(
            target: "lockcroft::input",
            connection, proxy, without_table, request_rate, replaces, "proxy attached"
        );
        self.roles.insert(connection, Role::Proxy(proxy));
        self.admission.attached(connection);
        self.streams.insert(proxy, ProxyStream::new(connection, without_table));
        self.controller.attach_proxy(now, proxy, zone, request_rate, without_table);
    }

    fn abort(&mut self, connection: ConnectionId) {
        self.connection_ended(connection);
        self.effects.push_back(Effect::Abort { connection });
    }

    /// The connection is closed, and its descriptor is free again.
    pub fn connection_closed(&mut self, connection: ConnectionId) {
        self.connection_ended(connection);
        self.admission.closed(connection);
    }

    /// Nothing more is to be heard on the connection, whoever ended it; its descriptor may still be held.
    pub fn connection_ended(&mut self, connection: ConnectionId) {
        match self.roles.remove(&connection) {
            None | Some(Role::Collector(_)) => {}
            Some(Role::Unattached) => self.admission.closing(connection),
            Some(Role::Proxy(proxy)) => {
                info!(target: "lockcroft::input", connection, proxy, "proxy detached");
                self.streams.remove(&proxy);
                self.controller.detach_proxy(proxy);
            }
        }
    }

    /// All that was to be written to the connection is out.
    pub fn write_completed(&mut self, connection: ConnectionId) {
        let Some(Role::Proxy(proxy)) = self.roles.get(&connection) else { return };
        if let Some(stream) = self.streams.get_mut(proxy) {
            stream.is_writing = false;
            self.pending_proxies.insert(*proxy);
        }
    }
}
