//! The lifecycle of connections: acceptance, attachment of proxies and collectors, and closing.

use std::time::Duration;

use lockcroft::{ProxyId, ZoneId};
use tracing::{debug, info};

use super::{ControlPlane, Effect};
use crate::connection_admission::{AcceptDecision, ConnectionId, MAX_COLLECTORS_PER_ZONE};
use crate::inbound::ProxyAttach;
use crate::outbound::encode_reject;
use crate::proxy_stream::ProxyStream;

/// The role of the peer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// The peer has not attached.
    Unattached,
    /// A collector that reports for the proxies of this zone.
    Collector(ZoneId),
    /// A proxy; the connection is its update stream.
    Proxy(ProxyId),
}

impl ControlPlane {
    /// Decides whether the next connection in the listener's queue may be accepted.
    #[must_use]
    pub fn accept_decision(&self, now: Duration) -> AcceptDecision {
        self.admission.accept_decision(now, self.endpoints.len())
    }

    /// Returns true if file descriptors are available for more connections.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.admission.has_capacity(self.endpoints.len())
    }

    /// Records that a connection was accepted.
    pub fn connection_accepted(&mut self, now: Duration, connection: ConnectionId) {
        self.admission.record_accepted(now, connection);
        self.roles.insert(connection, Role::Unattached);
    }

    /// Starts closing an unattached connection and returns the effect that reads what it has sent so far. If that
    /// attaches the connection, it stays open.
    pub fn request_final_read(&mut self, connection: ConnectionId) -> Effect {
        self.admission.record_closing(connection);
        Effect::FinalRead { connection }
    }

    /// Rejects the connection if it is still unattached after its final read.
    pub fn final_read_completed(&mut self, connection: ConnectionId) {
        if self.roles.get(&connection) == Some(&Role::Unattached) {
            self.reject(connection, "no joining in time");
        }
    }

    /// Sends a `reject` message with the reason and closes the connection.
    pub fn reject(&mut self, connection: ConnectionId, reason: &str) {
        self.counters.rejected += 1;
        let role = self.roles.get(&connection);
        debug!(target: "lockcroft::input", connection, reason, ?role, "rejected connection");
        self.effects.push_back(Effect::Write { connection, text: encode_reject(reason) });
        self.effects.push_back(Effect::Close { connection });
        self.connection_ended(connection);
    }

    /// Attaches a collector. If its zone has too many, the connection of the oldest is assumed dead and aborted.
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
        self.admission.record_attached(connection);
    }

    /// Attaches a proxy. A proxy may reconnect before the end of its old stream is detected; the old stream is aborted
    /// first, so that its end does not detach the new one.
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
        self.admission.record_attached(connection);
        self.streams.insert(proxy, ProxyStream::new(connection));
        self.controller.attach_proxy(now, proxy, zone, request_rate, without_table);
    }

    /// Ends the session and closes the connection immediately.
    fn abort(&mut self, connection: ConnectionId) {
        self.connection_ended(connection);
        self.effects.push_back(Effect::Abort { connection });
    }

    /// Records that a connection was closed and its file descriptor is free.
    pub fn connection_closed(&mut self, connection: ConnectionId) {
        self.connection_ended(connection);
        self.admission.record_closed(connection);
    }

    /// Ends the session of a connection from which no more input is handled, and detaches its proxy. The socket may
    /// still be open.
    pub fn connection_ended(&mut self, connection: ConnectionId) {
        match self.roles.remove(&connection) {
            None | Some(Role::Collector(_)) => {}
            Some(Role::Unattached) => self.admission.record_closing(connection),
            Some(Role::Proxy(proxy)) => {
                info!(target: "lockcroft::input", connection, proxy, "proxy detached");
                self.streams.remove(&proxy);
                self.controller.detach_proxy(proxy);
            }
        }
    }

    /// Records that all pending output of a connection was written, so that its proxy may get the next update.
    pub fn write_completed(&mut self, connection: ConnectionId) {
        let Some(Role::Proxy(proxy)) = self.roles.get(&connection) else { return };
        if let Some(stream) = self.streams.get_mut(proxy) {
            stream.is_writing = false;
            self.pending_proxies.insert(*proxy);
        }
    }
}
