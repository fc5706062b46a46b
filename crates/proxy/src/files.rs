//! What files say, as the orders that bring a proxy in line with it: they then take effect as any set of orders does,
//! as a whole and between visits.

use std::collections::{BTreeMap, BTreeSet};

use lockcroft_runtime_api::Command;
use lockcroft_runtime_api::tables::class_variable;
use lockcroft_table_format::{ProxyAssignment, Table};
use lockcroft_table_store::AppliedSnapshot;

use crate::held::{Backend, RoutingState};

/// Goes from one generation to the next.
#[derive(Clone, Debug, Default)]
pub struct FileCommands {
    /// Withdrawn by the pilot whose tables are held: while a later one has put the proxy on none, that still holds.
    base: BTreeSet<String>,
}

impl FileCommands {
    /// Orders from what is held to what a generation says; none where nothing differs.
    pub fn orders(&mut self, held: &RoutingState, mine: &AppliedSnapshot) -> Vec<Command> {
        let withdrawn: BTreeSet<String> = if mine.bound.is_empty() {
            self.base.union(&mine.withdrawn).cloned().collect()
        } else {
            self.base.clone_from(&mine.withdrawn);
            mine.withdrawn.clone()
        };
        let mut orders = CommandQueue { commands: Vec::new(), withdrawn: &withdrawn };
        for (number, table) in &mine.tables {
            let name = format!("t{number}");
            orders.table(&name, held.backends.get(&name).map(|backend| &**backend), table);
        }
        for (class, bound) in &mine.bound {
            orders.class(held, class, bound);
        }
        let named: BTreeSet<String> = mine.tables.keys().map(|number| format!("t{number}")).collect();
        for (name, backend) in held.backends.iter().filter(|(name, _)| !named.contains(*name)) {
            // Tables that nobody is on any more would stay for ever.
            let left = !mine.bound.is_empty() && name.starts_with('t');
            orders.other(name, backend, left);
        }
        orders.commands
    }
}

struct CommandQueue<'a> {
    commands: Vec<Command>,
    withdrawn: &'a BTreeSet<String>,
}

impl CommandQueue<'_> {
    fn put(&mut self, words: &[&str]) {
        let words = words.iter().map(|word| (*word).to_string()).collect();
        self.commands.push(Command { words, payload: None });
    }

    fn state(&mut self, place: &str, barred: bool) {
        self.put(&["set", "server", place, "state", if barred { "maint" } else { "ready" }]);
    }

    fn table(&mut self, name: &str, backend: Option<&Backend>, table: &Table) {
        let held: BTreeMap<&str, _> =
            backend.into_iter().flat_map(|backend| backend.lines()).map(|line| (&*line.name, line)).collect();
        for (server, line) in &table.lines {
            let (place, barred) = (format!("{name}/{server}"), self.withdrawn.contains(server));
            let (weight, address) = (line.weight.to_string(), line.address.to_string());
            let Some(own) = held.get(server.as_str()) else {
                // A line is added in maintenance.
                self.put(&["add", "server", &place, &address, "weight", &weight]);
                if !barred {
                    self.state(&place, false);
                }
                continue;
            };
            if own.address != line.address {
                let (ip, port) = (line.address.ip().to_string(), line.address.port().to_string());
                self.put(&["set", "server", &place, "addr", &ip, "port", &port]);
            }
            if own.weight != line.weight {
                self.put(&["set", "server", &place, "weight", &weight]);
            }
            if (own.maint || own.drain) != barred {
                self.state(&place, barred);
            }
        }
        for (server, line) in held.iter().filter(|(server, _)| !table.lines.contains_key(**server)) {
            let place = format!("{name}/{server}");
            // Tries that are still under way there have to be counted: it goes for good with a later generation.
            if line.weight > 0 {
                self.put(&["set", "server", &place, "weight", "0"]);
            } else if line.outstanding == 0 {
                self.gone(&place);
            }
        }
    }

    fn gone(&mut self, place: &str) {
        self.state(place, true);
        self.put(&["del", "server", place]);
    }

    fn class(&mut self, held: &RoutingState, class: &str, bound: &ProxyAssignment) {
        for (what, value) in [("level", i64::from(bound.level)), ("again", i64::from(bound.again))] {
            let name = class_variable(what, class);
            if held.vars.get(&name) != Some(&value) {
                self.put(&["set", "var", &name, &format!("int({value})")]);
            }
        }
        let table = format!("t{}", bound.table);
        if held.map.get(class) != Some(&table) {
            let word = if held.map.contains_key(class) { "set" } else { "add" };
            self.put(&[word, "map", "classes", class, &table]);
        }
    }

    /// A backend that this generation does not lay.
    fn other(&mut self, name: &str, backend: &Backend, left: bool) {
        for line in backend.lines() {
            let (place, barred) = (format!("{name}/{}", line.name), self.withdrawn.contains(&*line.name));
            if left {
                self.gone(&place);
            } else if (line.maint || line.drain) != barred {
                self.state(&place, barred);
            }
        }
    }
}
