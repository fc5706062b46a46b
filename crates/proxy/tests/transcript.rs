//! Long series of commands and requests, made from a seed: answers, choices and digests stay as recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use expect_test::{Expect, expect};
use lockcroft_proxy::{
    AttemptOutcome, Choice, ChosenEndpoint, CommandQueue, FileCommands, Limits, LoadBalancingPolicy,
    RoutingState,
};
use lockcroft_runtime_api::{Level, split};
use lockcroft_table_format::{ProxyAssignment, Table, TableEntry};
use lockcroft_table_store::AppliedSnapshot;
use nanorand::{Rng, WyRand};

const CLASSES: [&str; 2] = ["look-up", "search"];

fn new_state(policy: LoadBalancingPolicy) -> RoutingState {
    let address = |i: u16| SocketAddr::from(([127, 0, 0, 1], 8000 + i));
    let default_table: Vec<_> = (0..4).map(|i| (format!("e{i}"), address(i))).collect();
    let limits = Limits { way: policy, outstanding_most: 3, shuns_after: 3, shuns_for: Duration::from_secs(2) };
    RoutingState::new("r1", &CLASSES.map(String::from), &default_table, limits, 7)
}

fn pick<'a>(rng: &mut WyRand, words: &[&'a str]) -> &'a str {
    words[rng.generate_range(0..words.len())]
}

/// One command, often a valid one.
fn command(rng: &mut WyRand) -> String {
    let backend = pick(rng, &["standing", "t0", "t0", "t1", "t2000", "x"]);
    let endpoint = format!("{backend}/e{}", rng.generate_range(0..6_u8));
    let number = rng.generate_range(0..280_u16);
    match rng.generate_range(0..22_u8) {
        0 | 1 => format!("add server {endpoint} 127.0.0.1:{} weight {number}; enable server {endpoint}", 9000 + number),
        2 => format!("add server {endpoint} {}", pick(rng, &["nowhere", "127.0.0.1:81", "127.0.0.1:81 backup"])),
        3 => format!("disable server {endpoint}; del server {endpoint}"),
        4 => format!("del server {endpoint}"),
        5 | 6 => format!("set weight {endpoint} {number}"),
        7 => format!("set server {endpoint} weight {number}%"),
        8 => format!("set server {endpoint} state {}", pick(rng, &["ready", "drain", "maint", "asleep"])),
        9 => format!("set server {endpoint} addr {}", pick(rng, &["127.0.0.2", "127.0.0.2 port 90", "x", "127.0.0.2 port x", "127.0.0.2 a b"])),
        10 => format!("set map classes {} {}", pick(rng, &["look-up", "search", "none"]), pick(rng, &["standing", "t0", "t1"])),
        11 => pick(rng, &["set map", "add map classes", "clear map other", "del map classes none", "commit map classes", "set map classes a", "show map", "prepare map"]).into(),
        12 => format!("{} map @{} classes look-up t1", pick(rng, &["add", "set"]), rng.generate_range(0..5_u8)),
        13 => pick(rng, &["prepare map classes", "commit map @1 classes", "commit map @2 classes", "show map classes"]).into(),
        14 => pick(rng, &["prepare map tables", "commit map @1 tables", "commit map @3 tables", "commit map x tables"]).into(),
        15 => format!("set var proc.level_look_up int({number}); set var proc.again_search int(1)"),
        16 => pick(rng, &["set var sess.x int(1)", "set var proc.x str(a)", "get var proc.x", "get var proc.level_look_up"]).into(),
        17 => format!("set var proc.epoch int({})", rng.generate_range(1..4_u8)),
        18 => pick(rng, &["show stat", "show servers state", "show servers state t0", "show servers state x", "show info", "show backend"]).into(),
        19 => format!("get weight {endpoint}; get weight e1"),
        20 => pick(rng, &["get var proc.version", "get var proc.digest", "get var proc.epoch", "show", "set server", ""]).into(),
        _ => pick(rng, &["prompt i", "prompt", "prompt n", "help", "show cli level", "shw", "show map tables"]).into(),
    }
}

/// What the transcript holds in place of long answers: a hash (FNV-1a).
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

struct Run {
    state: RoutingState,
    rng: WyRand,
    now: Duration,
    in_flight: Vec<ChosenEndpoint>,
    transcript: String,
}

impl Run {
    fn requests(&mut self) {
        for _ in 0..self.rng.generate_range(0..6_u8) {
            self.now += Duration::from_millis(self.rng.generate_range(0..300_u64));
            let class = pick(&mut self.rng, &CLASSES);
            let admitted = self.state.lets_in(class, f64::from(self.rng.generate_range(0..1000_u16)) / 1000.0);
            let excluded = self.in_flight.last().map(|chosen| chosen.server.clone());
            let choice = self.state.choose(self.now, class, excluded.as_deref());
            let found = match &choice {
                Choice::Endpoint(chosen) => format!("{}/{} {}", chosen.backend, chosen.server, chosen.address),
                _ => "none".to_string(),
            };
            self.transcript += &format!("{class} {admitted} {found}\n");
            if let Choice::Endpoint(chosen) = choice {
                self.in_flight.push(chosen);
            }
            if !self.in_flight.is_empty() && self.rng.generate_range(0..3_u8) > 0 {
                let chosen = self.in_flight.remove(0);
                let outcomes = [AttemptOutcome::Answered(200), AttemptOutcome::Answered(503), AttemptOutcome::Late];
                let outcome = outcomes[self.rng.generate_range(0..outcomes.len())];
                let latency = Duration::from_millis(self.rng.generate_range(1..500_u64));
                self.state.ended(self.now, &chosen, outcome, latency);
            }
        }
    }

    fn commands(&mut self, queue: &mut CommandQueue) {
        let count = self.rng.generate_range(1..4_u8);
        let line: Vec<String> = (0..count).map(|_| command(&mut self.rng)).collect();
        let line = line.join("; ");
        let mut out = String::new();
        let after = queue.line(&split(&line), &mut self.state, &mut out);
        self.transcript += &format!("{line}\n{out}{after:?}\n");
    }

    fn snapshot(&mut self, commands: &mut FileCommands, version: u64) {
        let mut table = || Table {
            lines: (0..6_u16)
                .filter(|_| self.rng.generate_range(0..3_u8) > 0)
                .map(|i| {
                    let address = SocketAddr::from(([127, 0, 0, 1], 9000 + i + self.rng.generate_range(0..2_u16)));
                    (format!("e{i}"), TableEntry { address, weight: self.rng.generate_range(1..257_u32) })
                })
                .collect(),
        };
        let tables = BTreeMap::from([(0, table()), (1, table())]);
        let assignment = |table: u32| ProxyAssignment { table, level: 900 + table, again: table == 0 };
        let all = BTreeMap::from([("look-up".to_string(), assignment(0)), ("search".to_string(), assignment(1))]);
        let bound = if self.rng.generate_range(0..4_u8) > 0 { all } else { BTreeMap::new() };
        let withdrawn = BTreeSet::from([format!("e{}", self.rng.generate_range(0..6_u8))]);
        let tables = if bound.is_empty() { BTreeMap::new() } else { tables };
        let snapshot = AppliedSnapshot { epoch: 1, version, bound, tables, withdrawn };
        for command in commands.orders(&self.state, &snapshot) {
            let answer = self.state.carry_out(&command).map_err(|error| error.to_string());
            self.transcript += &format!("{}: {answer:?}\n", command.text());
        }
    }
}

fn run(policy: LoadBalancingPolicy, seed: u64) -> Run {
    let mut run = Run {
        state: new_state(policy),
        rng: WyRand::new_seed(seed),
        now: Duration::ZERO,
        in_flight: Vec::new(),
        transcript: String::new(),
    };
    let mut queues = [CommandQueue::new(Level::Admin), CommandQueue::new(Level::Admin), CommandQueue::new(Level::User)];
    let mut snapshots = FileCommands::default();
    for step in 0..400 {
        let queue = run.rng.generate_range(0..queues.len());
        run.commands(&mut queues[queue]);
        run.requests();
        if step % 20 == 19 {
            run.snapshot(&mut snapshots, step);
        }
        run.transcript += &format!("version {} digest {}\n", run.state.version, run.state.digest());
    }
    run
}

fn check(policy: LoadBalancingPolicy, expected: &Expect) {
    let mut summary = String::new();
    for seed in 0..20 {
        let run = run(policy, seed);
        let lines = run.transcript.lines().count();
        summary += &format!("{seed}: {lines} lines, hash {:016x}, digest {}\n", hash(&run.transcript), run.state.digest());
    }
    expected.assert_eq(&summary);
}

#[test]
fn round_robin_transcripts_stay_as_recorded() {
    check(LoadBalancingPolicy::SmoothWeightedRoundRobin, &expect![[""]]);
}

#[test]
fn weighted_random_transcripts_stay_as_recorded() {
    check(LoadBalancingPolicy::WeightedRandom, &expect![[""]]);
}

#[test]
fn two_choices_transcripts_stay_as_recorded() {
    check("pair".parse().expect("a policy"), &expect![[""]]);
}
