//! What a pilot shows to those who ask: tables in the guide's form where it has one.

use std::fmt::Write;

use lockcroft::{EndpointId, EndpointState, EndpointStatus, Snapshot, TableId};
use lockcroft_host::NameIndex;
use lockcroft_runtime_api::tables::{
    FORCED_DRAIN, FORCED_MAINT, StatRow, StateRow, write_stat, write_states,
};
use lockcroft_solver::{Objective, Problem};

use crate::berth::Stage;
use crate::files::{AppliedReport, FileFront};
use crate::helm::FleetController;
use crate::kept::StateRecovery;

// Writing to a String cannot fail, so what `writeln` gives back is passed over below.
impl FleetController {
    /// `Name: value` lines, as the guide's `show info`.
    pub fn show_info(&self) -> String {
        let joined = self.berths.iter().filter(|berth| berth.stage == Stage::Joined).count();
        let Snapshot { endpoints: servers, tables, .. } = self.pilot.snapshot();
        let held = tables.iter().filter(|table| !table.released).count();
        let up = servers.values().filter(|known| known.is_up()).count();
        let micros = |quantile: f64| self.landed.value_at_quantile(quantile) as f64 / 1e3;
        let lines = [
            ("Name", "lockcroft".to_string()),
            ("Version", env!("CARGO_PKG_VERSION").into()),
            ("Pilot", self.name.clone()),
            ("Pid", std::process::id().to_string()),
            ("Uptime_sec", self.now.as_secs().to_string()),
            ("Servers", servers.len().to_string()),
            ("ServersUp", up.to_string()),
            ("ListVersion", self.list.version.to_string()),
            ("Proxies", self.berths.len().to_string()),
            ("ProxiesJoined", joined.to_string()),
            ("Tables", tables.len().to_string()),
            ("TablesHeld", held.to_string()),
            ("LinesWaiting", self.lines_waiting().to_string()),
            ("LinesWaitingMost", self.sums.lines_waiting_most.to_string()),
            ("LinesLimit", self.queue_most.to_string()),
            ("Decisions", self.sums.decisions.to_string()),
            ("Messages", self.sums.messages.to_string()),
            ("Lines", self.sums.lines.to_string()),
            ("Probes", self.sums.probes.to_string()),
            ("OrderMsP50", format!("{:.1}", micros(0.5))),
            ("OrderMsP99", format!("{:.1}", micros(0.99))),
            ("OrderMsMost", format!("{:.1}", self.landed.max() as f64 / 1e3)),
            ("Wave", self.wave.to_string()),
        ];
        let files = if self.files.is_used() { self.files_info() } else { Vec::new() };
        lines
            .iter()
            .chain(&files)
            .fold(String::new(), |text, (name, value)| text + name + ": " + value + "\n")
    }

    fn files_info(&self) -> Vec<(&'static str, String)> {
        let FileFront { last, fenced, trouble, sums, laid, .. } = &self.files;
        let micros = |quantile: f64| format!("{:.1}", laid.value_at_quantile(quantile) as f64 / 1e3);
        let (epoch, version) = last.map_or((0, 0), |last| (last.epoch, last.version));
        vec![
            ("FilesEpoch", epoch.to_string()),
            ("FilesVersion", version.to_string()),
            ("FilesGenerations", sums.generations.to_string()),
            ("FilesFailures", sums.failures.to_string()),
            ("FilesWritten", sums.files.to_string()),
            ("FilesBytes", sums.bytes.to_string()),
            ("FilesFencedBy", fenced.map_or("-".into(), |epoch| epoch.to_string())),
            ("FilesTrouble", trouble.clone().unwrap_or_else(|| "-".into())),
            ("LaidMsP50", micros(0.5)),
            ("LaidMsP99", micros(0.99)),
            ("LaidMsMost", format!("{:.1}", laid.max() as f64 / 1e3)),
        ]
    }

    /// What is kept across restarts, and how the folder fares.
    pub fn show_memory(&self) -> String {
        let Some(notes) = &self.notes else { return "No memory is set.\n".into() };
        let StateRecovery { entries, bytes, number, flush, trouble } = &self.kept;
        let lines = [
            ("Entries", entries.to_string()),
            ("Bytes", bytes.to_string()),
            ("Snapshot", number.to_string()),
            ("Told", notes.kept.to_string()),
            ("FlushMs", format!("{:.1}", flush.as_secs_f64() * 1e3)),
            ("Trouble", trouble.clone().unwrap_or_else(|| "-".into())),
        ];
        lines.iter().fold(String::new(), |text, (name, value)| text + name + ": " + value + "\n")
    }

    /// The problem that was solved last, with the names of its servers.
    pub fn plan(&self) -> Option<(&Problem, Vec<String>)> {
        let (task, ..) = self.planner.as_ref()?.last.as_ref()?;
        Some((&task.problem, task.servers.iter().map(|server| self.list.name(*server).into()).collect()))
    }

    pub fn places(&self) -> &NameIndex {
        &self.places
    }

    /// The last plan: what is dropped and why, then each server with what it can do and what it has.
    pub fn show_plan(&self) -> String {
        let Some(planner) = &self.planner else { return "No solver is set.\n".into() };
        let Some((task, answer, changed)) = &planner.last else { return "No plan yet.\n".into() };
        let Objective { earned, crossing, lateness } = answer.objective;
        let mut text = format!(
            "# earned {earned:.2} crossing {crossing:.2} lateness {lateness:.2} a second; lines changed {changed}\n"
        );
        for (class, (name, share)) in self.places.classes.iter().zip(&answer.let_in).enumerate() {
            let asked: f64 = task.problem.classes[class].demand.iter().sum();
            let _ = writeln!(text, "class {name} asked_per_s {asked:.1} let_in {share:.3}");
        }
        for dropped in &answer.dropped {
            let before = dropped.before.iter().map(|class| self.places.classes[*class].as_str());
            let _ = writeln!(
                text,
                "dropped {} visits_per_s {:.1} restored_by_cores {:.2} of {:.2} before_it {}",
                self.places.classes[dropped.class],
                dropped.visits,
                dropped.restored_by,
                dropped.room,
                before.collect::<Vec<_>>().join(",")
            );
        }
        for (place, server) in task.servers.iter().enumerate() {
            let is = &task.problem.servers[place];
            let _ = writeln!(
                text,
                "server {} cores {:.2} warmth {:.2} load {:.2} weight {}",
                self.list.name(*server),
                is.capacity,
                is.warmth,
                answer.loads[place],
                answer.weights[place]
            );
        }
        text
    }

    /// Counters as the guide's `show stat`: a row for each class and for each server of a table.
    pub fn show_stat(&self) -> String {
        let Snapshot { endpoints: servers, tables, .. } = self.pilot.snapshot();
        let mut rows: Vec<StatRow> = self.places.classes.iter().zip(&self.visits).map(front).collect();
        for (number, table) in tables.iter().enumerate() {
            for (server, weight) in &table.published {
                let met = self.met.get(server).copied().unwrap_or_default();
                rows.push(StatRow {
                    name: format!("t{number}"),
                    server: self.list.name(*server).into(),
                    status: status(&servers[server]).into(),
                    weight: u64::from(self.scale.units(*weight)),
                    total: met.tries,
                    answer_failed: met.failed,
                    mean_ms: (met.sum_ms / (met.tries - met.failed).max(1) as f64) as u64,
                    sum_ms: Some(met.sum_ms as u64),
                    ..StatRow::default()
                });
            }
        }
        write_stat(&rows)
    }

    /// What is believed of servers, in the guide's form, of one table or of all servers as `servers`;
    /// behind it, as comments, what that form has no room for.
    pub fn show_servers(&self, backend: Option<&str>) -> Result<String, String> {
        let Snapshot { endpoints: servers, tables, .. } = self.pilot.snapshot();
        let mut rows = Vec::new();
        let pick = |name: &str| backend.is_none_or(|wanted| wanted == name);
        if pick("servers") {
            rows.extend(servers.iter().map(|(server, known)| self.state("servers", *server, known)));
        }
        for (number, table) in tables.iter().enumerate().filter(|(number, _)| pick(&format!("t{number}"))) {
            let name = format!("t{number}");
            for (server, weight) in &table.published {
                let weight = self.scale.units(*weight);
                rows.push(StateRow { weight, ..self.state(&name, *server, &servers[server]) });
            }
        }
        if rows.is_empty() && backend.is_some_and(|name| name != "servers") {
            return Err("Can't find backend.".into());
        }
        let mut text = write_states(&rows);
        for (server, known) in servers.iter().filter(|_| pick("servers")) {
            let _ = writeln!(text, "# {}", self.belief(*server, known));
        }
        Ok(text)
    }

    fn state(&self, backend: &str, server: EndpointId, known: &EndpointState) -> StateRow {
        let address = self.list.address(server);
        let drains = if known.record.status == EndpointStatus::Draining { FORCED_DRAIN } else { 0 };
        let gone = known.record.status == EndpointStatus::Removed || known.ejected;
        StateRow {
            backend: backend.into(),
            server: self.list.name(server).into(),
            address: address.map_or("-".into(), |address| address.ip().to_string()),
            port: address.map_or(0, |address| address.port()),
            running: known.is_up(),
            admin: drains | if gone { FORCED_MAINT } else { 0 },
            weight: self.scale.units(known.record.weight),
            health: known.health.value().unwrap_or(0),
        }
    }

    fn belief(&self, server: EndpointId, known: &EndpointState) -> String {
        let counter = known.health.value().map_or("unknown".into(), |counter| counter.to_string());
        let warm = known.warmed_up_at.saturating_sub(self.now);
        let doubted = known.outlier_until.saturating_sub(self.now);
        let listed = match known.record.status {
            EndpointStatus::Ready => "ready",
            EndpointStatus::Draining => "draining",
            EndpointStatus::Removed => "gone",
        };
        let load = known.load.map_or("-".into(), |load| format!("{load:.2}"));
        format!(
            "{}: counter={counter} listed={listed} weight={} relief={:.2} part={} cold_for={:.1}s doubted_for={:.1}s \
             withdrawn={} load={load}",
            self.list.name(server),
            known.record.weight,
            known.weight_factor,
            known.subset,
            warm.as_secs_f64(),
            doubted.as_secs_f64(),
            known.ejected,
        )
    }

    /// One line a table: who is on it, what is published and what is wanted.
    pub fn show_backend(&self) -> String {
        let tables = self.pilot.snapshot().tables;
        let mut text = "# name part released proxies lines published wanted late kept\n".to_string();
        for (number, table) in tables.iter().enumerate() {
            let lines = table.published.values().filter(|weight| **weight > 0.0).count();
            let sum = |weights: &mut dyn Iterator<Item = &f64>| weights.sum::<f64>();
            let (published, wanted) = (sum(&mut table.published.values()), sum(&mut table.desired.values()));
            let proxies = self.joined_on(number);
            let _ = writeln!(
                text,
                "t{number} {} {} {proxies} {lines} {published:.2} {wanted:.2} {:.2} {:.2}",
                table.subset, table.released, table.latency_ratio, table.flexible_fraction
            );
        }
        text
    }

    /// One line a proxy: its stream, tables, waiting lines and last answer.
    pub fn show_proxies(&self) -> String {
        let mut text =
            "# name zone stage for_s tables lines_waiting last_answer_s breaks front why\n".to_string();
        for (proxy, berth) in self.berths.iter().enumerate() {
            let files = self.files.report(proxy);
            let tables = files.as_ref().map_or_else(|| berth.book.tables(), |(_, tables)| tables.clone());
            let tables: Vec<String> = tables.iter().map(|table: &TableId| format!("t{table}")).collect();
            let tables = if tables.is_empty() { "-".into() } else { tables.join(",") };
            let ago = berth.last_answer.map(|at| self.now.saturating_sub(at).as_secs_f64());
            let ago = ago.map_or("-".into(), |ago| format!("{ago:.1}"));
            let stage = match berth.stage {
                Stage::Away => "away",
                Stage::Asking => "asking",
                Stage::Joined => "joined",
            };
            let stood = self.now.saturating_sub(berth.since).as_secs_f64();
            let why = if berth.stage == Stage::Joined { "-" } else { &berth.why };
            let (front, refused) =
                files.map_or(("commands".into(), String::new()), |(report, _)| front_of(report));
            let _ = writeln!(
                text,
                "{} {} {stage} {stood:.1} {tables} {} {ago} {} {front} {why}{refused}",
                berth.at.name,
                self.places.zones[berth.at.zone],
                berth.book.lines(),
                berth.breaks
            );
        }
        text
    }

    /// One line a class and table: the share let in, wanted and published, and what comes.
    pub fn show_levels(&self) -> String {
        let gates = self.pilot.snapshot().admissions;
        let mut text = "# class table wanted published demand\n".to_string();
        for gate in gates {
            let published = gate.published.map_or("-".into(), |share| share.to_string());
            let _ = writeln!(
                text,
                "{} t{} {:.2} {published} {:.1}",
                gate.name, gate.table, gate.rate, gate.demand
            );
        }
        text
    }

    pub fn events_since(&self, mark: &mut u64) -> String {
        self.events.since(mark)
    }

    pub fn events_mark(&self) -> u64 {
        self.events.mark()
    }

    /// The server behind `BACKEND/SERVER` of an operator's command.
    ///
    /// # Errors
    /// In the guide's words.
    pub fn server_of(&self, place: &str) -> Result<EndpointId, String> {
        let (backend, server) = place.split_once('/').ok_or("Require 'backend/server'.")?;
        let tables = self.pilot.snapshot().tables.len();
        let number = backend.strip_prefix('t').and_then(|number| number.parse::<usize>().ok());
        if backend != "servers" && number.is_none_or(|number| number >= tables) {
            return Err("No such backend.".into());
        }
        self.list.find(server).ok_or_else(|| "No such server.".into())
    }

    /// The weight that the guide's `N` or `N%` stands for, for this server.
    ///
    /// # Errors
    /// In the guide's words.
    pub fn weight_of(&self, server: EndpointId, text: &str) -> Result<f64, String> {
        let wrong = || "Require <weight> or <weight%>.".to_string();
        if let Some(percent) = text.strip_suffix('%') {
            let percent: f64 = percent.parse().map_err(|_| wrong())?;
            let listed = self.list.listed_weight(server).unwrap_or(1.0);
            let most = self.scale.most;
            let weight = listed * percent / 100.0;
            return if (0.0..=most).contains(&weight) { Ok(weight) } else { Err(wrong()) };
        }
        let units: u32 = text.parse().map_err(|_| wrong())?;
        if units <= 256 { Ok(self.scale.weight(f64::from(units))) } else { Err(wrong()) }
    }
}

/// What a proxy has laid, and what it refuses.
fn front_of(report: &AppliedReport) -> (String, String) {
    let laid =
        report.laid.map_or("files:-".into(), |(epoch, version, _)| format!("files:e{epoch}g{version}"));
    let refused = report.refused.as_ref();
    let refused = refused.map(|(epoch, version, why)| format!(" refuses e{epoch} g{version}: {why}"));
    (laid, refused.unwrap_or_default())
}

fn front((class, visits): (&String, &u64)) -> StatRow {
    StatRow {
        name: class.clone(),
        server: "FRONTEND".into(),
        status: "OPEN".into(),
        total: *visits,
        ..StatRow::default()
    }
}

fn status(known: &EndpointState) -> &'static str {
    match known.record.status {
        EndpointStatus::Draining => "DRAIN",
        EndpointStatus::Removed => "MAINT",
        EndpointStatus::Ready if !known.health.is_known() => "no check",
        EndpointStatus::Ready if known.is_up() => "UP",
        EndpointStatus::Ready => "DOWN",
    }
}
