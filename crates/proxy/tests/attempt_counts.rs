//! Attempts in flight are counted at the entry at which they began, in any order of outcomes, abandonments and
//! changes of the table.

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

/// A step of a random sequence. Indices are taken modulo the number of attempts in flight or of endpoints.
#[derive(Clone, Debug)]
enum Step {
    Choose,
    Answer(usize),
    TimeOut(usize),
    Abandon(usize),
    Remove(usize),
    Add(usize),
    /// Removes and adds an entry again by one line of commands.
    Replace(usize),
    /// Abandons the attempt with this index while a line of commands is being staged.
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
    session: ControlSession,
    attempts: Vec<Attempt>,
    /// The current entry of each name, identified by a number that is unique per added entry.
    entries: [Option<usize>; ENDPOINTS],
    last_entry_id: usize,
}

struct Attempt {
    chosen: ChosenEndpoint,
    /// The entry at which the attempt began.
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
            session: ControlSession::new(AccessLevel::Admin),
            attempts: Vec::new(),
            entries: [Some(0); ENDPOINTS],
            last_entry_id: 0,
        }
    }

    fn execute(&mut self, line: &str) {
        let mut reader = CommandReader::default();
        reader.buffer().extend_from_slice(format!("{line}\n").as_bytes());
        let commands = reader.next_line().expect("a complete line").expect("a valid line");
        self.session.execute_line(&commands, &mut self.state, &mut String::new());
    }

    fn take_attempt(&mut self, index: usize) -> Option<ChosenEndpoint> {
        let count = self.attempts.len();
        (count > 0).then(|| self.attempts.swap_remove(index % count).chosen)
    }

    fn record_outcome(&mut self, index: usize, outcome: AttemptOutcome) {
        if let Some(attempt) = self.take_attempt(index) {
            self.state.record_outcome(Duration::ZERO, &attempt, outcome, Duration::from_millis(1));
        }
    }

    fn abandon_while_staged(&mut self, index: usize) {
        let mut reader = CommandReader::default();
        reader.buffer().extend_from_slice(b"set weight standing/e0 7; set weight standing/e1 9\n");
        let commands = reader.next_line().expect("a complete line").expect("a valid line");
        let mut transaction = self.session.begin(commands, &self.state);
        if let Some(attempt) = self.take_attempt(index) {
            attempt.abandon();
        }
        while !self.session.step(&mut transaction) {}
        self.session.finish(transaction, &mut self.state, &mut String::new());
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Choose => {
                if let Choice::Endpoint(chosen) = self.state.choose(Duration::ZERO, CLASS, None) {
                    let entry = self.entries[endpoint_index(&chosen.endpoint)];
                    self.attempts.push(Attempt { chosen, entry });
                }
            }
            Step::Answer(index) => self.record_outcome(index, AttemptOutcome::Answered(200)),
            Step::TimeOut(index) => self.record_outcome(index, AttemptOutcome::TimedOut),
            Step::Abandon(index) => {
                if let Some(attempt) = self.take_attempt(index) {
                    attempt.abandon();
                }
            }
            Step::Remove(index) => {
                self.execute(&remove_commands(index));
                self.entries[index % ENDPOINTS] = None;
            }
            Step::Add(index) => {
                self.execute(&add_commands(index));
                self.last_entry_id += 1;
                self.entries[index % ENDPOINTS].get_or_insert(self.last_entry_id);
            }
            // The line takes effect as a whole, so the existing entry is changed and keeps its counter.
            Step::Replace(index) => {
                self.execute(&format!("{}; {}", remove_commands(index), add_commands(index)))
            }
            Step::AbandonWhileStaged(index) => self.abandon_while_staged(index),
        }
    }

    fn in_flight(&self) -> usize {
        self.state.backends["standing"].entries().iter().map(|entry| entry.in_flight()).sum()
    }
}

fn endpoint_index(endpoint: &str) -> usize {
    endpoint[1..].parse().expect("a number")
}

fn address(index: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 8000 + index as u16).into()
}

fn remove_commands(index: usize) -> String {
    let index = index % ENDPOINTS;
    format!("disable server standing/e{index}; del server standing/e{index}")
}

fn add_commands(index: usize) -> String {
    let index = index % ENDPOINTS;
    format!("add server standing/e{index} {} weight 4; enable server standing/e{index}", address(index))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against counters that are not decremented when an attempt ends, or that are decremented at a later
    /// entry of the same name.
    #[test]
    fn entries_count_only_their_own_attempts(steps in proptest::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
            for entry in model.state.backends["standing"].entries() {
                let current = model.entries[endpoint_index(&entry.name)];
                let is_own = |attempt: &&Attempt| attempt.chosen.endpoint == *entry.name && attempt.entry == current;
                let expected = model.attempts.iter().filter(is_own).count();
                prop_assert!(expected <= MAX_IN_FLIGHT, "{:?}", step);
                prop_assert_eq!(entry.in_flight(), expected, "{:?}", step);
            }
        }
        for attempt in model.attempts.drain(..) {
            attempt.chosen.abandon();
        }
        prop_assert_eq!(model.in_flight(), 0);
    }
}
