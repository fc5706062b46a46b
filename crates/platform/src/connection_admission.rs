//! ConnectionAdmission of connections. Anybody can connect and not join, by hundreds, and say nothing. Those are let go
//! after a while, and sooner where descriptors run short, so that proxies always find room. Whoever is let go
//! gets a last call first: a joining that came in time and was not read yet still counts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::stream::ConnectionId;

/// A connection that has not joined is let go after so long; where room is short, the oldest after so long.
const STAY: Duration = Duration::from_millis(1500);
const STAY_SHORT: Duration = Duration::from_millis(300);
/// While one that was let go still holds its descriptor, the next is looked at after so long.
const LEAVING: Duration = Duration::from_millis(2);
/// So many collectors of one zone may be connected: one that comes again does not wait for its old
/// connection to be seen to end.
pub const COLLECTORS: usize = 3;
/// Descriptors that stay free of connections from outside, beside one for each server's probe: standard
/// streams, the listener, signals, the runtime's own and the list's.
const KEPT: usize = 32;

pub struct ConnectionAdmission {
    sockets: usize,
    unjoined: BTreeMap<ConnectionId, Duration>,
    /// Had their last call, and still hold a descriptor.
    leaving: BTreeSet<ConnectionId>,
    /// All that hold a descriptor.
    open: usize,
}

/// What is to be done about someone who connects.
#[derive(Debug, PartialEq, Eq)]
pub enum Acceptance {
    Accept,
    /// Let this one, which has not joined, go first.
    Evict(ConnectionId),
    /// Nobody can go yet.
    Wait(Duration),
}

impl ConnectionAdmission {
    pub fn new(sockets: usize) -> Self {
        ConnectionAdmission { sockets, unjoined: BTreeMap::new(), leaving: BTreeSet::new(), open: 0 }
    }

    /// Whether there is room for one more, with so many servers that may be probed at once.
    pub fn has_room(&self, probes: usize) -> bool {
        self.open < self.sockets.saturating_sub(KEPT + probes).max(1)
    }

    /// Asked before a connection is taken.
    pub fn acceptance(&self, now: Duration, probes: usize) -> Acceptance {
        if self.has_room(probes) {
            return Acceptance::Accept;
        }
        match self.unjoined.first_key_value() {
            _ if !self.leaving.is_empty() => Acceptance::Wait(LEAVING),
            Some((connection, since)) if *since + STAY_SHORT <= now => Acceptance::Evict(*connection),
            Some((_, since)) => Acceptance::Wait(*since + STAY_SHORT - now),
            // Full of those who joined: rather a descriptor too many than a proxy without a pilot.
            None => Acceptance::Accept,
        }
    }

    pub fn accepted(&mut self, now: Duration, connection: ConnectionId) {
        self.open += 1;
        self.unjoined.insert(connection, now);
    }

    pub fn joined(&mut self, connection: ConnectionId) {
        self.unjoined.remove(&connection);
        self.leaving.remove(&connection);
    }

    /// It is to go, once what it may have said until now was read.
    pub fn last_call(&mut self, connection: ConnectionId) {
        self.unjoined.remove(&connection);
        self.leaving.insert(connection);
    }

    /// It ended, and its descriptor is free again.
    pub fn closed(&mut self, connection: ConnectionId) {
        self.open = self.open.saturating_sub(1);
        self.joined(connection);
    }

    /// Those that have not joined and whose time is over.
    pub fn overdue(&self, now: Duration) -> Vec<ConnectionId> {
        // Connections rise with time.
        let late = self.unjoined.iter().take_while(|(_, since)| **since + STAY <= now);
        late.map(|(connection, _)| *connection).collect()
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.unjoined.first_key_value().map(|(_, since)| *since + STAY)
    }
}
