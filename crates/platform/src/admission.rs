//! Admission of connections. Anybody can connect and not join, by hundreds, and say nothing. Those are let go
//! after a while, and sooner where descriptors run short, so that proxies always find room.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::stream::ConnectionId;

/// A connection that has not joined is let go after so long; where room is short, the oldest after so long.
const STAY: Duration = Duration::from_millis(1500);
const STAY_SHORT: Duration = Duration::from_millis(300);
/// So many collectors of one zone may be connected: one that comes again does not wait for its old
/// connection to be seen to end.
pub const COLLECTORS: usize = 3;
/// Descriptors that stay free of connections from outside, beside one for each server's probe: standard
/// streams, the listener, signals, the runtime's own and the list's.
const KEPT: usize = 32;

pub struct Admission {
    sockets: usize,
    unjoined: BTreeMap<ConnectionId, Duration>,
    /// Proxies and collectors.
    joined: usize,
}

/// What is to be done about someone who knocks.
#[derive(Debug, PartialEq, Eq)]
pub enum Acceptance {
    Accept,
    /// Let this one, which has not joined, go first.
    Evict(ConnectionId),
    /// Nobody can go yet.
    Wait(Duration),
}

impl Admission {
    pub fn new(sockets: usize) -> Self {
        Admission { sockets, unjoined: BTreeMap::new(), joined: 0 }
    }

    /// Asked before a connection is taken, with the number of servers that may be probed at once.
    pub fn acceptance(&self, now: Duration, probes: usize) -> Acceptance {
        let room = self.sockets.saturating_sub(KEPT + probes).max(1);
        if self.joined + self.unjoined.len() < room {
            return Acceptance::Accept;
        }
        match self.unjoined.first_key_value() {
            Some((connection, since)) if *since + STAY_SHORT <= now => Acceptance::Evict(*connection),
            Some((_, since)) => Acceptance::Wait(*since + STAY_SHORT - now),
            // Full of those who joined: rather a descriptor too many than a proxy without a pilot.
            None => Acceptance::Accept,
        }
    }

    pub fn accepted(&mut self, now: Duration, connection: ConnectionId) {
        self.unjoined.insert(connection, now);
    }

    pub fn joined(&mut self, connection: ConnectionId) {
        self.joined += usize::from(self.unjoined.remove(&connection).is_some());
    }

    pub fn ended(&mut self, connection: ConnectionId) {
        if self.unjoined.remove(&connection).is_none() {
            self.joined = self.joined.saturating_sub(1);
        }
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
