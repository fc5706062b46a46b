//! Attempts in flight, counted at the entry at which they began, under any order of what can happen to them.

use std::time::Duration;

use lockcroft_proxy::{
    AttemptOutcome, Choice, ChosenEndpoint, ControlSession, LoadBalancingLimits, LoadBalancingPolicy,
    RoutingState,
};
use lockcroft_runtime_api::{AccessLevel, CommandReader};
use proptest::prelude::*;

const CLASS: &str = "look";
const MAX_IN_FLIGHT: usize = 3;
const ENDPOINTS: usize = 3;

/// What can happen; indices are taken modulo what there is.
#[derive(Clone, Debug)]
enum Step {
    Choose,
    Answer(usize),
    TimeOut(usize),
    Abandon(usize),
    Remove(usize),
    Add(usize),
    /// Removed and added again by one line of commands.
    Replace(usize),
    /// A line of commands that is staged while the attempt of this index is abandoned.
    AbandonWhileStaged(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..64_usize;
    prop_oneof![
        4 => Just(Step::Choose),
        1 => index.clone().prop_map(Step::Answer),
        1 => index.clone().prop_map(Step::TimeOut),
        2 => index.clone().prop_map(Step::Abandon),
        1 => index.clone().prop_map(Step::Remove),
        1 => index.clone().prop_map(Step::Add),
        1 => index.clone().prop_map(Step::Replace),
        1 => index.prop_map(Step::AbandonWhileStaged),
    ]
}

struct Model {
    state: RoutingState,
    queue: ControlSession,
    attempts: Vec<Attempt>,
    /// Which entry of each name there is now: a number for each time that one was added.
    entries: [Option<usize>; ENDPOINTS],
    last_entry: usize,
}

struct Attempt {
    chosen: ChosenEndpoint,
    entry: Option<usize>,
}

impl Model {
    fn new() -> Self {
        let limits = LoadBalancingLimits {
            policy: LoadBalancingPolicy::SmoothWeightedRoundRobin,
            max_in_flight: MAX_IN_FLIGHT,
            ejection_threshold: 0,
            ejection_time: Duration::ZERO,
        };
        let table: Vec<_> = (0..ENDPOINTS).map(|index| (format!("e{index}"), address(index))).collect();
        let state = RoutingState::new("p", &[CLASS.to_string()], &table, limits, 1);
        Model {
            state,
            queue: ControlSession::new(AccessLevel::Admin),
            attempts: Vec::new(),
            entries: [Some(0); ENDPOINTS],
            last_entry: 0,
        }
    }

    fn command(&mut self, line: &str) {
        let mut reader = CommandReader::default();
        reader.buffer().extend_from_slice(format!("{line}\n").as_bytes());
        let commands = reader.next_line().expect("a line").expect("whole");
        self.queue.execute_line(&commands, &mut self.state, &mut String::new());
    }

    fn take(&mut self, index: usize) -> Option<ChosenEndpoint> {
        let count = self.attempts.len();
        (count > 0).then(|| self.attempts.swap_remove(index % count).chosen)
    }

    fn record(&mut self, index: usize, outcome: AttemptOutcome) {
        if let Some(attempt) = self.take(index) {
            self.state.record_outcome(Duration::ZERO, &attempt, outcome, Duration::from_millis(1));
        }
    }

    fn abandon_while_staged(&mut self, index: usize) {
        let mut reader = CommandReader::default();
        reader.buffer().extend_from_slice(b"set weight standing/e0 7; set weight standing/e1 9\n");
        let commands = reader.next_line().expect("a line").expect("whole");
        let mut transaction = self.queue.begin(commands, &self.state);
        if let Some(attempt) = self.take(index) {
            attempt.abandon();
        }
        while !self.queue.step(&mut transaction) {}
        self.queue.finish(transaction, &mut self.state, &mut String::new());
    }

    fn play(&mut self, step: &Step) {
        match *step {
            Step::Choose => {
                if let Choice::Endpoint(chosen) = self.state.choose(Duration::ZERO, CLASS, None) {
                    let entry = self.entries[number(&chosen.endpoint)];
                    self.attempts.push(Attempt { chosen, entry });
                }
            }
            Step::Answer(index) => self.record(index, AttemptOutcome::Answered(200)),
            Step::TimeOut(index) => self.record(index, AttemptOutcome::TimedOut),
            Step::Abandon(index) => {
                if let Some(attempt) = self.take(index) {
                    attempt.abandon();
                }
            }
            Step::Remove(index) => {
                self.command(&remove(index));
                self.entries[index % ENDPOINTS] = None;
            }
            Step::Add(index) => {
                self.command(&add(index));
                self.last_entry += 1;
                self.entries[index % ENDPOINTS].get_or_insert(self.last_entry);
            }
            // As a whole it changes the entry that is there.
            Step::Replace(index) => self.command(&format!("{}; {}", remove(index), add(index))),
            Step::AbandonWhileStaged(index) => self.abandon_while_staged(index),
        }
    }

    fn in_flight(&self) -> usize {
        self.state.backends["standing"].entries().iter().map(|entry| entry.in_flight()).sum()
    }
}

fn number(endpoint: &str) -> usize {
    endpoint[1..].parse().expect("a number")
}

fn address(index: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 8000 + index as u16).into()
}

fn remove(index: usize) -> String {
    let index = index % ENDPOINTS;
    format!("disable server standing/e{index}; del server standing/e{index}")
}

fn add(index: usize) -> String {
    let index = index % ENDPOINTS;
    format!("add server standing/e{index} {} weight 4; enable server standing/e{index}", address(index))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against counts that are never given back, or given back to a later entry of the same name.
    #[test]
    fn entries_count_their_own_attempts_only(steps in proptest::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in &steps {
            model.play(step);
            for entry in model.state.backends["standing"].entries() {
                let current = model.entries[number(&entry.name)];
                let is_own = |attempt: &&Attempt| attempt.chosen.endpoint == *entry.name && attempt.entry == current;
                let own = model.attempts.iter().filter(is_own).count();
                prop_assert!(own <= MAX_IN_FLIGHT, "{:?}", step);
                prop_assert_eq!(entry.in_flight(), own, "{:?}", step);
            }
        }
        for attempt in model.attempts.drain(..) {
            attempt.chosen.abandon();
        }
        prop_assert_eq!(model.in_flight(), 0);
    }
}
