//! Reads batches, calls the pilots, writes their decisions.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use lockcroft::{Action, Controller, EndpointRecord, EndpointStatus, HealthCheckOutcome};
use lockcroft_host::{NameIndex, NameInterner, parse_settings};

use crate::codec::Line;

/// One pilot and what belongs to the wire alone: names, the clock at its start, its timer.
struct Instance {
    pilot: Controller,
    born: Duration,
    /// When the earliest timer still out comes due.
    timer: Option<Duration>,
    servers: NameInterner,
    places: NameIndex,
    /// Set where the instance has failed, or this host has nothing to offer: a line with this tag says
    /// so once, then the instance stays idle.
    idle: Option<(&'static str, String)>,
}

type Done = Result<(), String>;

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    /// Instances with news in this batch, in the order in which it came.
    touched: Vec<u32>,
    clock: Duration,
    reply: String,
}

/// Serves until the input ends; anything malformed ends it with a message.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Done {
    let mut host = Host::default();
    let mut lines = Numbered { input, number: 0, buffer: String::new() };
    while lines.next()? {
        host.batch(&mut lines)?;
        output
            .write_all(host.reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing: {e}"))?;
    }
    Ok(())
}

struct Numbered<R> {
    input: R,
    number: usize,
    buffer: String,
}

impl<R: BufRead> Numbered<R> {
    /// False at the end of the input.
    fn next(&mut self) -> Result<bool, String> {
        self.buffer.clear();
        self.number += 1;
        let read = self.input.read_line(&mut self.buffer);
        if read.map_err(|e: io::Error| format!("line {}: {e}", self.number))? == 0 {
            return Ok(false);
        }
        if self.buffer.pop() != Some('\n') {
            return Err(format!("line {}: input cut off inside the line", self.number));
        }
        Ok(true)
    }

    fn next_within_batch(&mut self) -> Done {
        if self.next()? { Ok(()) } else { Err(format!("line {}: input cut off inside a batch", self.number)) }
    }

    fn blame(&self, problem: String) -> String {
        let tag = Line::new(&self.buffer).tag;
        format!("line {}: {tag:?}: {problem}", self.number)
    }
}

impl Host {
    fn batch(&mut self, lines: &mut Numbered<impl BufRead>) -> Done {
        let mut first = Line::new(&lines.buffer);
        let clock = match first.tag {
            "CLOCK" => first.time("clock").and_then(|clock| first.end().map(|()| clock)),
            _ => Err("a batch begins with CLOCK".into()),
        };
        self.clock = clock.map_err(|e| lines.blame(e))?;
        self.reply.clear();
        self.touched.clear();
        loop {
            lines.next_within_batch()?;
            let mut line = Line::new(&lines.buffer);
            if line.tag == "EOF_BATCH" {
                line.end().map_err(|e| lines.blame(e))?;
                break;
            }
            let listing = self.event(&mut line).map_err(|e| lines.blame(e))?;
            if let Some((instance, full, version, count)) = listing {
                let entries = self.entries(lines, instance, count)?;
                self.list(instance, full, version, &entries);
            }
        }
        for number in std::mem::take(&mut self.touched) {
            if let Some(instance) = self.instances.get_mut(&number) {
                instance.decide(number, self.clock, &mut self.reply);
            }
        }
        self.reply.push_str("YIELD\n");
        Ok(())
    }

    /// Takes one event; a list of servers still has to be read when its instance, whether it is
    /// complete and the number of its entries come back.
    fn event(&mut self, line: &mut Line) -> Result<Option<(u32, bool, u64, usize)>, String> {
        let known = [
            "BORN",
            "REGISTRY",
            "ROUNDUP",
            "REMINDER",
            "RECORDED",
            "HEALTH_RESULT",
            "WEIGHT_SEEN",
            "PEER_DATA",
            "RECEIPT",
            "DETACHED",
            "HANDED",
            "KILLED",
            "PROXY_STATS",
            "ENROLLED",
        ];
        if !known.contains(&line.tag) {
            return Err("unknown message".into());
        }
        let number: u32 = line.number("pilot")?;
        if line.tag == "BORN" {
            let seed = line.number("seed")?;
            let instance = Instance::new(seed, line.text("settings")?, self.clock)?;
            self.instances.insert(number, instance);
            self.touch(number);
            return Ok(None);
        }
        let clock = self.clock;
        let instance =
            self.instances.get_mut(&number).ok_or_else(|| format!("pilot {number} was not born"))?;
        let now = clock.saturating_sub(instance.born);
        match line.tag {
            "REGISTRY" => {
                let form = line.word("form")?;
                let version = line.number("version")?;
                let count = line.number("number of entries")?;
                line.end()?;
                let full = match form {
                    "snapshot" | "disk" => true,
                    "diff" | "error" => false,
                    other => return Err(format!("unknown form {other:?}")),
                };
                self.touch(number);
                return Ok(Some((number, full, version, count)));
            }
            "KILLED" => {
                line.end()?;
                self.instances.remove(&number);
                self.touched.retain(|touched| *touched != number);
                return Ok(None);
            }
            "ROUNDUP" => {
                let tries = line.number("tries")?;
                let wait = line.time("mean time")?;
                let failed = line.number("failed tries")?;
                line.word("zone")?;
                line.time("period")?;
                let server = instance.servers.index(line.word("server")?);
                line.word("load report")?;
                instance.guard(|pilot| pilot.record_attempts(now, server, tries, failed, wait));
            }
            "PROXY_STATS" => {
                line.number::<u64>("unanswered")?;
                line.time("period")?;
                let class = instance.places.class(line.word("class")?).map_err(|e| e.to_string())?;
                let proxy = line.number("proxy")?;
                let visits = line.number("visits")?;
                instance.guard(|pilot| pilot.record_requests(proxy, class, visits));
            }
            "HEALTH_RESULT" => {
                let server = instance.servers.index(line.word("server")?);
                let verdict = line.word("verdict")?;
                let wait = line.time("time")?;
                let load = line.load("load report")?;
                let finding = match verdict {
                    "done" => HealthCheckOutcome::Passed(load),
                    "err" | "etimedout" => HealthCheckOutcome::Failed,
                    "econnrefused" | "econnreset" => HealthCheckOutcome::Refused,
                    "busy" | "ecanceled" | "skipped" => HealthCheckOutcome::Rejected,
                    other => return Err(format!("unknown verdict {other:?}")),
                };
                instance.guard(|pilot| pilot.health_check_finished(now, server, finding, wait));
            }
            "ENROLLED" => {
                let fresh = line.flag("fresh")?;
                let proxy = line.number("proxy")?;
                let rate = line.amount("rate")?;
                let zone = instance.places.zone(line.word("zone")?).map_err(|e| e.to_string())?;
                instance.guard(|pilot| pilot.attach_proxy(proxy, zone, rate, fresh));
            }
            "DETACHED" => {
                let proxy = line.number("proxy")?;
                instance.guard(|pilot| pilot.detach_proxy(proxy));
            }
            "REMINDER" => {
                line.number::<u64>("tag")?;
                if instance.timer.is_some_and(|timer| timer <= clock) {
                    instance.timer = None;
                }
            }
            // Marks are never asked for, peers never written to, and slices are not laid here.
            "RECEIPT" => {
                line.number::<u32>("proxy")?;
                line.number::<u32>("mark")?;
                line.time("time")?;
            }
            "PEER_DATA" => {
                line.number::<u32>("sender")?;
                line.word("body")?;
            }
            "HANDED" => {
                line.flag("given")?;
                line.number::<u32>("slice")?;
            }
            "RECORDED" => {
                line.amount("weight")?;
                line.number::<u32>("slice")?;
                line.word("server")?;
            }
            "WEIGHT_SEEN" => {
                line.number::<u32>("slice")?;
                line.word("class")?;
                line.number::<u64>("visits")?;
                line.number::<u64>("unanswered")?;
                line.time("period")?;
            }
            tag => return Err(format!("no reader for {tag}")),
        }
        line.end()?;
        self.touch(number);
        Ok(None)
    }

    fn entries(
        &mut self,
        lines: &mut Numbered<impl BufRead>,
        number: u32,
        count: usize,
    ) -> Result<Vec<EndpointRecord>, String> {
        let clock = self.clock;
        let mut entries = Vec::new();
        for left in (0..count).rev() {
            lines.next_within_batch()?;
            let mut line = Line::new(&lines.buffer);
            if line.tag != "ITEM" {
                return Err(lines.blame(format!("{} more entries of the list were due", left + 1)));
            }
            let instance = self.instances.get_mut(&number);
            let entry = instance.map(|instance| instance.entry(&mut line, clock)).transpose();
            entries.extend(entry.map_err(|e| lines.blame(e))?);
        }
        Ok(entries)
    }

    fn list(&mut self, number: u32, full: bool, version: u64, entries: &[EndpointRecord]) {
        let clock = self.clock;
        if let Some(instance) = self.instances.get_mut(&number) {
            let now = clock.saturating_sub(instance.born);
            instance.guard(|pilot| pilot.update_endpoints(now, full, version, entries));
        }
    }

    fn touch(&mut self, number: u32) {
        if !self.touched.contains(&number) {
            self.touched.push(number);
        }
    }
}

impl Instance {
    fn new(seed: u64, settings: &str, clock: Duration) -> Result<Self, String> {
        let settings = parse_settings(settings).map_err(|e| e.to_string())?;
        let slices = settings.fleet.key_ranges > 0.0;
        let idle = "the keys are in slices, for which lockcroft lays no tables yet: idle";
        let idle = slices.then(|| ("NOTE_DOWN", idle.to_string()));
        Ok(Instance {
            places: NameIndex::new(&settings),
            born: clock,
            timer: None,
            servers: NameInterner::default(),
            idle,
            pilot: Controller::new(settings, seed),
        })
    }

    fn entry(&mut self, line: &mut Line, clock: Duration) -> Result<EndpointRecord, String> {
        let server = self.servers.index(line.word("server")?);
        let zone = self.places.zone(line.word("zone")?).map_err(|e| e.to_string())?;
        let kind = self.places.machine_type(line.word("kind")?).map_err(|e| e.to_string())?;
        line.number::<i64>("cell")?;
        let state = match line.word("state")? {
            "U" => EndpointStatus::Ready,
            "L" => EndpointStatus::Draining,
            "D" => EndpointStatus::Removed,
            other => return Err(format!("unknown state {other:?}")),
        };
        let weight = line.amount("weight")?;
        let started = line.time_or_none("start")?.filter(|started| !started.is_zero());
        line.end()?;
        let age = started.map(|started| clock.saturating_sub(started));
        Ok(EndpointRecord { endpoint: server, zone, machine_type: kind, status: state, weight, age })
    }

    /// Calls the pilot; if that fails, the instance has failed and no other.
    fn guard<T>(&mut self, call: impl FnOnce(&mut Controller) -> T) -> Option<T> {
        let result = catch_unwind(AssertUnwindSafe(|| call(&mut self.pilot)));
        if let Err(panic) = &result {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no reason given");
            self.idle = Some(("FATAL", text.replace('\n', " ")));
        }
        result.ok()
    }

    fn decide(&mut self, number: u32, clock: Duration, reply: &mut String) {
        let now = clock.saturating_sub(self.born);
        while self.idle.is_none() {
            match self.guard(|pilot| pilot.next_action(now)) {
                Some(Some(decision)) => self.encode(number, decision, reply),
                _ => break,
            }
        }
        if let Some((tag, text)) = &mut self.idle {
            if !text.is_empty() {
                line(reply, format_args!("{tag} {number} {text}"));
                text.clear();
            }
            return;
        }
        let Some(due) = self.guard(|pilot| pilot.next_due()) else { return };
        let due = (due + self.born).max(clock);
        if self.timer.is_none_or(|timer| due < timer) {
            self.timer = Some(due);
            line(reply, format_args!("SLEEP {number} {} 0", (due - clock).as_micros()));
        }
    }

    fn encode(&self, number: u32, decision: Action, reply: &mut String) {
        let name = |server: usize| self.servers.name(server);
        match decision {
            Action::CheckHealth(server) => line(reply, format_args!("POLL {number} {}", name(server))),
            Action::SetWeight { table, endpoint: server, weight } => {
                line(reply, format_args!("SET_LINE {number} {weight} {table} {}", name(server)))
            }
            Action::AssignTable { table, classes, proxy } => {
                let bits = classes.iter().fold(0u64, |bits, class| bits | 1 << class);
                line(reply, format_args!("HAND_TABLE {number} {proxy} {table} {bits}"))
            }
            Action::Eject { endpoint } => line(reply, format_args!("BENCH {number} 1 {}", name(endpoint))),
            Action::Restore { endpoint } => line(reply, format_args!("BENCH {number} 0 {}", name(endpoint))),
            Action::SetAdmission { table, class, fraction: share, retry: second_try } => {
                let second_try = u8::from(second_try);
                line(
                    reply,
                    format_args!("GATE_CLASS {number} {table} {} {share} {second_try}", 1u64 << class),
                )
            }
            Action::RaiseEvent { endpoint: Some(server), text } => {
                line(reply, format_args!("NOTE_DOWN {number} {} {text}", name(server)))
            }
            Action::RaiseEvent { endpoint: None, text } => {
                line(reply, format_args!("NOTE_DOWN {number} {text}"))
            }
        }
    }
}

fn line(reply: &mut String, text: std::fmt::Arguments) {
    // Writing to a String cannot fail.
    let _ = writeln!(reply, "{text}");
}
