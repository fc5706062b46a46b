//! The list of endpoints as discovery tells it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::{EndpointId, EndpointRecord, EndpointStatus};
use lockcroft_host::{NameIndex, NameInterner};
use serde_json::Value;

/// One telling of discovery: the whole list, or what changed.
pub struct Told {
    pub whole: bool,
    pub version: u64,
    pub listings: Vec<EndpointRecord>,
    /// Entries that could not be used, and why; the others stand.
    pub faults: Vec<String>,
}

/// When a process started, as discovery says, and its age when that was first heard of, at that time.
struct Start {
    since_ms: u64,
    age: Duration,
    heard: Duration,
}

#[derive(Default)]
pub struct Roster {
    names: NameInterner,
    addresses: BTreeMap<EndpointId, SocketAddr>,
    starts: BTreeMap<EndpointId, Start>,
    /// Servers that drained, went or started while this day runs: some pilot may have shut them out.
    moved: BTreeSet<EndpointId>,
    /// Those on the list now.
    here: BTreeSet<EndpointId>,
    version: Option<u64>,
    /// Since then only whole lists older than what is held came.
    stale_since: Option<Duration>,
}

/// What discovery has to tell counts as told at the latest so long after (the protocol's page). A whole list older
/// than what is held is one that is late, up to then; after that discovery counts anew.
const STALE_MOST: Duration = Duration::from_secs(6);

impl Roster {
    pub fn name(&self, server: EndpointId) -> &str {
        self.names.name(server)
    }

    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.names.find(name)
    }

    pub fn address(&self, server: EndpointId) -> Option<SocketAddr> {
        self.addresses.get(&server).copied()
    }

    /// So many servers are on the list.
    pub fn len(&self) -> usize {
        self.here.len()
    }

    /// Whether some pilot may have shut it out, at some time, at a proxy that still does.
    pub fn moved(&self, server: EndpointId) -> bool {
        self.moved.contains(&server)
    }

    /// The version that is held, to ask for what is newer.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Takes a telling in. `wall` is the time in Unix milliseconds, as all machines read it.
    ///
    /// # Errors
    /// It can't be used as a whole; the list stays as it was.
    pub fn take(
        &mut self,
        now: Duration,
        wall: u64,
        value: &Value,
        places: &NameIndex,
    ) -> Result<Told, String> {
        let version = value["index"].as_u64().ok_or("index: not a whole number")?;
        let whole = value["snapshot"].as_bool().ok_or("snapshot: neither true nor false")?;
        let entries = value["endpoints"].as_array().ok_or("endpoints: not a list")?;
        if !whole && self.version.is_none_or(|held| version < held) {
            return Err(format!("changes to version {version} on top of {:?}", self.version));
        }
        if self.version.is_some_and(|held| version < held) {
            let since = *self.stale_since.get_or_insert(now);
            if now < since + STALE_MOST {
                return Err(format!("a whole list of version {version}, older than {:?}", self.version));
            }
        }
        let (mut listings, mut faults) = (Vec::new(), Vec::new());
        for entry in entries {
            match self.entry(now, wall, entry, places) {
                Ok(listing) => listings.push(listing),
                Err(fault) => faults.push(fault),
            }
        }
        // A list that tells nothing that can be used must not take away all that is held.
        if whole && listings.is_empty() && !self.here.is_empty() {
            return Err(format!("a whole list without a usable entry, {} faults", faults.len()));
        }
        if whole {
            let all: BTreeSet<EndpointId> = listings.iter().map(|listing| listing.endpoint).collect();
            self.moved.extend(self.here.difference(&all));
            self.here.clear();
        }
        for EndpointRecord { endpoint: server, status: state, .. } in &listings {
            if *state == EndpointStatus::Removed {
                self.here.remove(server);
            } else {
                self.here.insert(*server);
            }
            if *state != EndpointStatus::Ready || self.starts.contains_key(server) {
                self.moved.insert(*server);
            }
        }
        (self.version, self.stale_since) = (Some(version), None);
        Ok(Told { whole, version, listings, faults })
    }

    fn entry(
        &mut self,
        now: Duration,
        wall: u64,
        entry: &Value,
        places: &NameIndex,
    ) -> Result<EndpointRecord, String> {
        let word = |name: &str| entry[name].as_str().ok_or_else(|| format!("{name} of {entry}: not a text"));
        let name = word("name")?;
        let state = match word("status")? {
            "up" => EndpointStatus::Ready,
            "draining" => EndpointStatus::Draining,
            "removed" => EndpointStatus::Removed,
            other => return Err(format!("status of {name}: {other:?}; allowed: up, draining, removed")),
        };
        let (zone, kind) = (places.zone(word("zone")?)?, places.machine_type(word("type")?)?);
        let weight = entry["weight"].as_f64().unwrap_or(1.0);
        if !(weight >= 0.0 && weight.is_finite()) {
            return Err(format!("weight of {name}: {weight}; allowed: 0 or more"));
        }
        let address = word("address")?;
        let address = address.parse().map_err(|_| format!("address of {name}: {address:?}"))?;
        let server = self.names.index(name);
        self.addresses.insert(server, address);
        let age = self.age(now, wall, server, entry["since_ms"].as_u64().unwrap_or(0));
        Ok(EndpointRecord { endpoint: server, zone, machine_type: kind, status: state, weight, age })
    }

    /// How long ago it started. A start that was heard of keeps its age on the pilot's clock, so that two
    /// tellings never look like two starts.
    fn age(&mut self, now: Duration, wall: u64, server: EndpointId, since_ms: u64) -> Option<Duration> {
        if since_ms == 0 {
            return None;
        }
        let known = self.starts.get(&server).is_some_and(|start| start.since_ms == since_ms);
        if !known {
            let age = Duration::from_millis(wall.saturating_sub(since_ms));
            self.starts.insert(server, Start { since_ms, age, heard: now });
        }
        self.starts.get(&server).map(|start| start.age + now.saturating_sub(start.heard))
    }
}
