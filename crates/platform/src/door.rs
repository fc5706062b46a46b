//! Who may stay connected. Whoever has not joined yet is a guest: anybody can be one, by hundreds, and say
//! nothing. Guests are let go after a while, and sooner where descriptors run short, so that proxies always
//! find room.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::berth::Link;

/// A guest that has not joined is let go after so long; where room is short, the oldest after so long.
const STAY: Duration = Duration::from_millis(1500);
const STAY_SHORT: Duration = Duration::from_millis(300);
/// So many collectors of one zone may be connected: one that comes again does not wait for its old
/// connection to be seen to end.
pub const COLLECTORS: usize = 3;
/// Descriptors that stay free of connections from outside, beside one for each server's probe: standard
/// streams, the listener, signals, the runtime's own and the list's.
const KEPT: usize = 32;

pub struct Door {
    sockets: usize,
    guests: BTreeMap<Link, Duration>,
    /// Proxies and collectors.
    joined: usize,
}

/// What is to be done about someone who knocks.
#[derive(Debug, PartialEq, Eq)]
pub enum Knock {
    Enter,
    /// Let this guest go first.
    Instead(Link),
    /// Nobody can go yet.
    Later(Duration),
}

impl Door {
    pub fn new(sockets: usize) -> Self {
        Door { sockets, guests: BTreeMap::new(), joined: 0 }
    }

    /// Asked before a connection is taken, with the number of servers that may be probed at once.
    pub fn knock(&self, now: Duration, probes: usize) -> Knock {
        let room = self.sockets.saturating_sub(KEPT + probes).max(1);
        if self.joined + self.guests.len() < room {
            return Knock::Enter;
        }
        match self.guests.first_key_value() {
            Some((link, since)) if *since + STAY_SHORT <= now => Knock::Instead(*link),
            Some((_, since)) => Knock::Later(*since + STAY_SHORT - now),
            // Full of those who joined: rather a descriptor too many than a proxy without a pilot.
            None => Knock::Enter,
        }
    }

    pub fn entered(&mut self, now: Duration, link: Link) {
        self.guests.insert(link, now);
    }

    pub fn joined(&mut self, link: Link) {
        self.joined += usize::from(self.guests.remove(&link).is_some());
    }

    pub fn ended(&mut self, link: Link) {
        if self.guests.remove(&link).is_none() {
            self.joined = self.joined.saturating_sub(1);
        }
    }

    /// Guests whose time is over.
    pub fn overdue(&self, now: Duration) -> Vec<Link> {
        // Links rise with time.
        let late = self.guests.iter().take_while(|(_, since)| **since + STAY <= now);
        late.map(|(link, _)| *link).collect()
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.guests.first_key_value().map(|(_, since)| *since + STAY)
    }
}
