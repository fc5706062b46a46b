//! Commands that add, change and delete servers, as the runtime API calls the entries of tables.

use std::net::SocketAddr;
use std::rc::Rc;

use super::error::{CommandError, CommandOutput};
use crate::routing::{Backend, DEFAULT_TABLE, MAX_WEIGHT, RoutingState, TableEntry};

/// The number of backends, `t0`, `t1` and so on, to which servers can be added besides the default table. HAProxy
/// can't add backends at run time, so the configuration of every HAProxy instance has to define all of them.
pub const MAX_BACKENDS: usize = 1024;

/// The maximum number of servers of all backends together.
pub const MAX_SERVERS: usize = 1 << 16;

/// The name of an entry in commands: `backend/server`.
#[derive(Clone, Copy)]
struct EntryPath<'a> {
    backend: &'a str,
    server: &'a str,
}

impl<'a> EntryPath<'a> {
    fn parse(text: &'a str) -> Result<Self, CommandError> {
        let (backend, server) = text.split_once('/').ok_or(CommandError::BackendAndServerRequired)?;
        Ok(EntryPath { backend, server })
    }

    /// Returns true if servers may be added to this backend.
    fn has_known_backend(self) -> bool {
        let number = self.backend.strip_prefix('t').and_then(|number| number.parse::<usize>().ok());
        self.backend == DEFAULT_TABLE || number.is_some_and(|number| number < MAX_BACKENDS)
    }
}

impl RoutingState {
    fn entry(&self, path: EntryPath<'_>) -> Result<&TableEntry, CommandError> {
        let backend = self.backends.get(path.backend).ok_or(CommandError::NoSuchBackend)?;
        backend.entry(path.server).ok_or(CommandError::NoSuchServer)
    }

    fn update_entry(&mut self, path: EntryPath<'_>, change: impl FnOnce(&mut TableEntry)) {
        if let Some(backend) = self.backends.get_mut(path.backend) {
            Rc::make_mut(backend).update(path.server, change);
        }
    }

    pub(super) fn add_server(&mut self, path: &str, address: &str, options: &[&str]) -> CommandOutput {
        let path = EntryPath::parse(path)?;
        let address: SocketAddr = address.parse().map_err(|_| CommandError::InvalidAddress)?;
        let weight = match options {
            [] => 1,
            ["weight", weight] => parse_weight(weight)?,
            [other, ..] => return Err(CommandError::UnknownKeyword((*other).to_string())),
        };
        if !path.has_known_backend() {
            return Err(CommandError::NoSuchBackend);
        }
        let servers: usize = self.backends.values().map(|backend| backend.entries().len()).sum();
        if servers >= MAX_SERVERS {
            return Err(CommandError::TooMany { what: "servers", allowed: MAX_SERVERS });
        }
        let policy = self.limits.policy;
        let backend = self
            .backends
            .entry(path.backend.into())
            .or_insert_with(|| Rc::new(Backend::new(policy, Vec::new())));
        if backend.entry(path.server).is_some() {
            return Err(CommandError::ServerExists);
        }
        Rc::make_mut(backend).add(TableEntry::new(path.server, address, weight, true));
        Ok("New server registered.\n".into())
    }

    pub(super) fn delete_server(&mut self, path: &str) -> CommandOutput {
        let path = EntryPath::parse(path)?;
        if !self.entry(path)?.in_maintenance {
            return Err(CommandError::NotInMaintenance);
        }
        if let Some(backend) = self.backends.get_mut(path.backend) {
            Rc::make_mut(backend).remove(path.server);
        }
        Ok("Server deleted.\n".into())
    }

    pub(super) fn get_weight(&self, path: &str) -> CommandOutput {
        let entry = self.entry(EntryPath::parse(path)?)?;
        Ok(format!("{} (initial {})\n", entry.weight, entry.initial_weight))
    }

    pub(super) fn set_weight(&mut self, path: &str, value: &str) -> CommandOutput {
        let path = EntryPath::parse(path)?;
        let initial = self.entry(path)?.initial_weight;
        let weight = match value.strip_suffix('%') {
            Some(percent) => percentage_of(initial, percent)?,
            None => parse_weight(value)?,
        };
        self.update_entry(path, |entry| entry.weight = weight);
        Ok(String::new())
    }

    pub(super) fn set_state(&mut self, path: &str, state: &str) -> CommandOutput {
        let (in_maintenance, draining) = match state {
            "ready" => (false, false),
            "drain" => (false, true),
            "maint" => (true, false),
            _ => return Err(CommandError::InvalidState),
        };
        let path = EntryPath::parse(path)?;
        self.entry(path)?;
        self.update_entry(path, |entry| {
            entry.in_maintenance = in_maintenance;
            entry.draining = draining;
        });
        Ok(String::new())
    }

    pub(super) fn set_address(&mut self, path: &str, ip: &str, options: &[&str]) -> CommandOutput {
        let path = EntryPath::parse(path)?;
        let previous = self.entry(path)?.address;
        let port = match options {
            ["port", port] => port.parse().map_err(|_| CommandError::InvalidPort)?,
            [] => previous.port(),
            _ => return Err(CommandError::SetAddressUsage),
        };
        let ip = ip.parse().map_err(|_| CommandError::InvalidAddress)?;
        let address = SocketAddr::new(ip, port);
        if address == previous {
            return Ok("nothing changed\n".into());
        }
        self.update_entry(path, |entry| entry.address = address);
        Ok(format!("address changed from '{previous}' to '{address}' by 'stats socket command'\n"))
    }
}

fn parse_weight(text: &str) -> Result<u32, CommandError> {
    let weight = text.parse().ok().filter(|weight| *weight <= MAX_WEIGHT);
    weight.ok_or(CommandError::InvalidWeight)
}

/// Returns a percentage of the initial weight, rounded up.
fn percentage_of(initial: u32, percent: &str) -> Result<u32, CommandError> {
    let percent: u32 = percent.parse().map_err(|_| CommandError::InvalidWeight)?;
    let weight = initial.checked_mul(percent).map(|product| product.div_ceil(100));
    weight.filter(|weight| *weight <= MAX_WEIGHT).ok_or(CommandError::InvalidWeight)
}
