//! The runtime API as a proxy serves it, with the guide's commands and answers.

use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;

use lockcroft_runtime_api::tables::{
    FORCED_DRAIN, FORCED_MAINT, StatRow, StateRow, write_stat, write_states,
};
use lockcroft_runtime_api::{Command, CommandEntry, CommandHandler, CommandResult, Level};

use crate::held::{Backend, RoutingState, STANDING, TableEntry};

/// Backends `t0` up to this number stand in every proxy's settings, as the guide can't add one.
pub const MAX_BACKENDS: usize = 1024;

const ENTRIES: [CommandEntry; 21] = [
    at(Level::Admin, "add server <b>/<s> <addr> [weight <n>]", "add a server, in maintenance"),
    at(Level::Admin, "del server <b>/<s>", "delete a server that is in maintenance"),
    at(Level::Admin, "set server <b>/<s> weight|state|addr <v>", "change a server"),
    at(Level::Admin, "enable server <b>/<s>", "end maintenance"),
    at(Level::Admin, "disable server <b>/<s>", "begin maintenance"),
    at(Level::Admin, "set weight <b>/<s> <n>", "change a server's weight"),
    at(Level::User, "get weight <b>/<s>", "a server's weight, now and at first"),
    at(Level::User, "show servers state [<backend>]", "all servers with state and weight"),
    at(Level::User, "show stat", "counters as CSV"),
    at(Level::User, "show info", "what this proxy is"),
    at(Level::User, "show backend", "the backends in use"),
    at(Level::User, "show version", "the version of the program"),
    at(Level::Operator, "show map [<map>]", "the entries of a map"),
    at(Level::Admin, "set map <map> <key> <value>", "change an entry that is there"),
    at(Level::Admin, "add map [@<ver>] <map> [<key> <value>]", "add an entry, or those of a payload"),
    at(Level::Admin, "del map <map> <key>", "delete an entry"),
    at(Level::Admin, "clear map <map>", "delete all entries"),
    at(Level::Admin, "prepare map <map>", "begin a new version of a map"),
    at(Level::Admin, "commit map @<ver> <map>", "put a prepared version in force"),
    at(Level::Admin, "set var <name> int(<n>)", "set a variable of the process"),
    at(Level::Operator, "get var <name>", "a variable of the process"),
];

const fn at(level: Level, words: &'static str, help: &'static str) -> CommandEntry {
    CommandEntry { words, level, help }
}

type Said = Result<String, String>;

impl CommandHandler for RoutingState {
    fn entries(&self) -> &'static [CommandEntry] {
        &ENTRIES
    }

    fn answer(&mut self, _: &CommandEntry, command: &Command) -> CommandResult {
        CommandResult::Text(self.carry_out(command).unwrap_or_else(|wrong| wrong + "\n"))
    }
}

impl RoutingState {
    /// Carries out one command.
    ///
    /// # Errors
    /// It was not done; the text says why, in the guide's words where it has some.
    pub fn carry_out(&mut self, command: &Command) -> Result<String, String> {
        let words: Vec<&str> = command.words.iter().map(String::as_str).collect();
        match words[..] {
            ["add", "server", place, address, ref rest @ ..] => self.add_server(place, address, rest),
            ["del", "server", place] => self.del_server(place),
            ["set", "server", place, "weight", value] | ["set", "weight", place, value] => {
                self.set_weight(place, value)
            }
            ["set", "server", place, "state", state] => self.set_state(place, state),
            ["set", "server", place, "addr", ip, ref port @ ..] => self.set_address(place, ip, port),
            ["enable", "server", place] => self.set_state(place, "ready"),
            ["disable", "server", place] => self.set_state(place, "maint"),
            ["get", "weight", place] => {
                self.line(place).map(|line| format!("{} (initial {})\n", line.weight, line.first_weight))
            }
            ["show", "servers", "state", ref rest @ ..] => self.states(rest.first().copied()),
            ["show", "stat", ..] => Ok(self.stat()),
            ["show", "info", ..] => Ok(self.info()),
            ["show", "backend"] => {
                let line = |(name, backend): (&String, &Rc<Backend>)| {
                    format!("{name} {} {}\n", backend.version, backend.lines().len())
                };
                Ok("# name version lines\n".to_string() + &self.backends.iter().map(line).collect::<String>())
            }
            ["show", "version"] => Ok(format!("lockcroft {}\n", env!("CARGO_PKG_VERSION"))),
            ["show", "map"] => Ok("# id (file) description\n0 (classes) class to backend\n".into()),
            ["show" | "set" | "add" | "del" | "clear" | "prepare" | "commit", "map", ..] => {
                self.change_map(&words, command.payload.as_deref())
            }
            ["set", "var", name, value] => self.set_var(name, value),
            ["get", "var", name] => {
                let value = match name {
                    "proc.epoch" => Some(self.epoch),
                    "proc.digest" => Some(self.digest()),
                    "proc.version" => i64::try_from(self.version).ok(),
                    name => self.vars.get(name).copied(),
                };
                Ok(match value {
                    Some(value) => format!("{name}: type=sint value=<{value}>\n"),
                    None => format!("{name}: undefined\n"),
                })
            }
            _ => Err("Missing or surplus arguments; 'help' lists the commands.".into()),
        }
    }

    fn line(&self, place: &str) -> Result<&TableEntry, String> {
        let (backend, server) = place.split_once('/').ok_or("Require 'backend/server'.")?;
        let backend = self.backends.get(backend).ok_or("No such backend.")?;
        backend.line(server).ok_or_else(|| "No such server.".into())
    }

    fn change(&mut self, place: &str, change: impl FnOnce(&mut TableEntry)) -> Said {
        self.line(place)?;
        let (backend, server) = place.split_once('/').unwrap_or_default();
        self.backends.get_mut(backend).map(|backend| Rc::make_mut(backend).change(server, change));
        Ok(String::new())
    }

    fn add_server(&mut self, place: &str, address: &str, rest: &[&str]) -> Said {
        let (backend, server) = place.split_once('/').ok_or("Require 'backend/server'.")?;
        let address: SocketAddr = address.parse().map_err(|_| "Invalid address.")?;
        let weight = match rest {
            [] => 1,
            ["weight", weight] => read_weight(weight)?,
            [other, ..] => return Err(format!("Keyword '{other}' is not known for a server added here.")),
        };
        let number = backend.strip_prefix('t').and_then(|number| number.parse::<usize>().ok());
        if backend != STANDING && number.is_none_or(|number| number >= MAX_BACKENDS) {
            return Err("No such backend.".into());
        }
        let way = self.limits.way;
        let backend =
            self.backends.entry(backend.into()).or_insert_with(|| Rc::new(Backend::new(way, Vec::new())));
        if backend.line(server).is_some() {
            return Err("Already exists a server with the same name in backend.".into());
        }
        Rc::make_mut(backend).add(TableEntry::new(server, address, weight, true));
        Ok("New server registered.\n".into())
    }

    fn del_server(&mut self, place: &str) -> Said {
        if !self.line(place)?.maint {
            return Err("Only servers in maintenance mode can be deleted.".into());
        }
        let (backend, server) = place.split_once('/').unwrap_or_default();
        if let Some(backend) = self.backends.get_mut(backend) {
            Rc::make_mut(backend).remove(server);
        }
        Ok("Server deleted.\n".into())
    }

    fn set_weight(&mut self, place: &str, value: &str) -> Said {
        let first = self.line(place)?.first_weight;
        let weight = match value.strip_suffix('%') {
            Some(percent) => {
                let percent: u32 = percent.parse().map_err(|_| BAD_WEIGHT)?;
                first.checked_mul(percent).map(|weight| weight.div_ceil(100)).filter(|weight| *weight <= 256)
            }
            None => Some(read_weight(value)?),
        };
        let weight = weight.ok_or(BAD_WEIGHT)?;
        self.change(place, |line| line.weight = weight)
    }

    fn set_state(&mut self, place: &str, state: &str) -> Said {
        let state = match state {
            "ready" => (false, false),
            "drain" => (false, true),
            "maint" => (true, false),
            _ => return Err("'set server <srv> state' expects 'ready', 'drain' and 'maint'.".into()),
        };
        self.change(place, |line| (line.maint, line.drain) = state)
    }

    fn set_address(&mut self, place: &str, ip: &str, port: &[&str]) -> Said {
        let was = self.line(place)?.address;
        let port = match port {
            ["port", port] => port.parse().map_err(|_| "Invalid port.")?,
            [] => was.port(),
            _ => return Err("set server <b>/<s> addr <ip> [port <port>]".into()),
        };
        let address = SocketAddr::new(ip.parse().map_err(|_| "Invalid address.")?, port);
        if address == was {
            return Ok("nothing changed\n".into());
        }
        self.change(place, |line| line.address = address)?;
        Ok(format!("address changed from '{was}' to '{address}' by 'stats socket command'\n"))
    }

    fn states(&self, backend: Option<&str>) -> Said {
        if backend.is_some_and(|name| !self.backends.contains_key(name)) {
            return Err("Can't find backend.".into());
        }
        let picked = self.backends.iter().filter(|(name, _)| backend.is_none_or(|wanted| wanted == *name));
        let rows = picked.flat_map(|(name, backend)| {
            backend.lines().iter().map(|line| StateRow {
                backend: name.clone(),
                server: line.name.to_string(),
                address: line.address.ip().to_string(),
                port: line.address.port(),
                running: !line.maint,
                admin: if line.maint { FORCED_MAINT } else { 0 } | if line.drain { FORCED_DRAIN } else { 0 },
                weight: line.weight,
                health: 0,
            })
        });
        Ok(write_states(&rows.collect::<Vec<_>>()))
    }

    fn stat(&self) -> String {
        let fronts = self.fronts.iter().map(|(class, front)| StatRow {
            name: class.clone(),
            server: "FRONTEND".into(),
            status: "OPEN".into(),
            total: front.visits,
            denied: front.denied,
            ..StatRow::default()
        });
        let lines = self.backends.iter().flat_map(|(name, backend)| {
            backend.lines().iter().map(|line| StatRow {
                name: name.clone(),
                server: line.name.to_string(),
                status: if line.maint {
                    "MAINT"
                } else if line.drain {
                    "DRAIN"
                } else {
                    "no check"
                }
                .into(),
                weight: u64::from(line.weight),
                total: line.tries,
                connect_failed: line.connect_failed,
                answer_failed: line.answer_failed,
                answered_5xx: line.answered_5xx,
                mean_ms: line.mean_ms as u64,
                sum_ms: Some(line.sum_ms as u64),
                ..StatRow::default()
            })
        });
        write_stat(&fronts.chain(lines).collect::<Vec<_>>())
    }

    fn info(&self) -> String {
        let visits: u64 = self.fronts.values().map(|front| front.visits).sum();
        format!(
            "Name: lockcroft\nVersion: {}\nnode: {}\nCumReq: {visits}\n",
            env!("CARGO_PKG_VERSION"),
            self.name
        )
    }

    fn change_map(&mut self, words: &[&str], payload: Option<&str>) -> Said {
        let Some(third) = words.get(2) else { return Err("Missing map identifier.".into()) };
        let version = third.strip_prefix('@').map(|version| version.parse::<u64>().unwrap_or(0));
        let rest = if version.is_some() { &words[3..] } else { &words[2..] };
        let Some((&"classes", rest)) = rest.split_first() else {
            return Err("Unknown map identifier. Please use #<id> or <file>.".into());
        };
        match words[0] {
            "prepare" => {
                self.versions += 1;
                self.prepared.insert(self.versions, Default::default());
                return Ok(format!("New version created: {}\n", self.versions));
            }
            "commit" => {
                let version = version.ok_or("Missing version number.")?;
                self.map = self.prepared.remove(&version).ok_or("Version number out of range.")?;
                // What was prepared before this one is older than what is in force now.
                self.prepared.retain(|number, _| *number > version);
                return Ok(String::new());
            }
            _ => {}
        }
        let map = match version {
            Some(version) => self.prepared.get_mut(&version).ok_or("Version number out of range.")?,
            None => &mut self.map,
        };
        match (words[0], rest) {
            ("show", []) => {
                let lines = map.iter().enumerate();
                return Ok(lines.fold(String::new(), |mut text, (place, (key, value))| {
                    // Writing to a String cannot fail.
                    let _ = writeln!(text, "{place:#x} {key} {value}");
                    text
                }));
            }
            ("set", [key, value]) => {
                let entry = map.get_mut(*key).ok_or("Entry not found.")?;
                *entry = (*value).into();
            }
            ("add", [key, value]) => drop(map.insert((*key).into(), (*value).into())),
            ("add", []) => {
                for line in payload.ok_or("Missing key and value.")?.lines() {
                    let (key, value) = line.split_once(' ').ok_or("Missing value.")?;
                    map.insert(key.into(), value.trim().into());
                }
            }
            ("del", [key]) => drop(map.remove(*key).ok_or("Entry not found.")?),
            ("clear", []) => map.clear(),
            _ => return Err("Missing or surplus arguments.".into()),
        }
        Ok(String::new())
    }

    fn set_var(&mut self, name: &str, value: &str) -> Said {
        if !name.starts_with("proc.") {
            return Err("Only variables of the scope 'proc' can be set here.".into());
        }
        let number = value.strip_prefix("int(").and_then(|rest| rest.strip_suffix(')'));
        let number = number.and_then(|number| number.parse().ok()).ok_or("Only int(<n>) is known here.")?;
        self.vars.insert(name.into(), number);
        Ok(String::new())
    }
}

const BAD_WEIGHT: &str = "Absolute weight can only be between 0 and 256 inclusive.";

fn read_weight(text: &str) -> Result<u32, String> {
    text.parse().ok().filter(|weight| *weight <= 256).ok_or_else(|| BAD_WEIGHT.into())
}
