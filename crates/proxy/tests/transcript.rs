//! Long series of commands and requests, made from a seed: answers, choices and digests stay as recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use expect_test::{Expect, expect};
use lockcroft_proxy::{
    AttemptOutcome, Choice, ChosenEndpoint, CommandQueue, LoadBalancingLimits, LoadBalancingPolicy,
    RoutingState, SnapshotCommands,
};
use lockcroft_runtime_api::{AccessLevel, split};
use lockcroft_table_format::{ProxyAssignment, Table, TableEntry};
use lockcroft_table_store::AppliedSnapshot;
use nanorand::{Rng, WyRand};

const CLASSES: [&str; 2] = ["look-up", "search"];

fn new_state(policy: LoadBalancingPolicy) -> RoutingState {
    let address = |i: u16| SocketAddr::from(([127, 0, 0, 1], 8000 + i));
    let default_table: Vec<_> = (0..4).map(|i| (format!("e{i}"), address(i))).collect();
    let limits = LoadBalancingLimits {
        policy,
        max_in_flight: 3,
        ejection_threshold: 3,
        ejection_time: Duration::from_secs(2),
    };
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
        0 | 1 => format!(
            "add server {endpoint} 127.0.0.1:{} weight {number}; enable server {endpoint}",
            9000 + number
        ),
        2 => format!(
            "add server {endpoint} {}",
            pick(rng, &["nowhere", "127.0.0.1:81", "127.0.0.1:81 backup"])
        ),
        3 => format!("disable server {endpoint}; del server {endpoint}"),
        4 => format!("del server {endpoint}"),
        5 | 6 => format!("set weight {endpoint} {number}"),
        7 => format!("set server {endpoint} weight {number}%"),
        8 => format!("set server {endpoint} state {}", pick(rng, &["ready", "drain", "maint", "asleep"])),
        9 => format!(
            "set server {endpoint} addr {}",
            pick(rng, &["127.0.0.2", "127.0.0.2 port 90", "x", "127.0.0.2 port x", "127.0.0.2 a b"])
        ),
        10 => format!(
            "set map classes {} {}",
            pick(rng, &["look-up", "search", "none"]),
            pick(rng, &["standing", "t0", "t1"])
        ),
        11 => pick(
            rng,
            &[
                "set map",
                "add map classes",
                "clear map other",
                "del map classes none",
                "commit map classes",
                "set map classes a",
                "show map",
                "prepare map",
            ],
        )
        .into(),
        12 => {
            format!("{} map @{} classes look-up t1", pick(rng, &["add", "set"]), rng.generate_range(0..5_u8))
        }
        13 => pick(
            rng,
            &["prepare map classes", "commit map @1 classes", "commit map @2 classes", "show map classes"],
        )
        .into(),
        14 => pick(
            rng,
            &["prepare map tables", "commit map @1 tables", "commit map @3 tables", "commit map x tables"],
        )
        .into(),
        15 => format!("set var proc.level_look_up int({number}); set var proc.again_search int(1)"),
        16 => pick(
            rng,
            &[
                "set var sess.x int(1)",
                "set var proc.x str(a)",
                "get var proc.x",
                "get var proc.level_look_up",
            ],
        )
        .into(),
        17 => format!("set var proc.epoch int({})", rng.generate_range(1..4_u8)),
        18 => pick(
            rng,
            &[
                "show stat",
                "show servers state",
                "show servers state t0",
                "show servers state x",
                "show map classes",
                "show backend",
            ],
        )
        .into(),
        19 => format!("get weight {endpoint}; get weight e1"),
        20 => pick(
            rng,
            &["get var proc.version", "get var proc.digest", "get var proc.epoch", "show", "set server", ""],
        )
        .into(),
        _ => {
            pick(rng, &["prompt i", "prompt", "prompt n", "help", "show cli level", "shw", "show map tables"])
                .into()
        }
    }
}

/// What the transcript holds in place of long answers: a hash (FNV-1a).
fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

fn random_table(rng: &mut WyRand) -> Table {
    let mut lines = BTreeMap::new();
    for i in 0..6_u16 {
        if rng.generate_range(0..3_u8) > 0 {
            let address = SocketAddr::from(([127, 0, 0, 1], 9000 + i + rng.generate_range(0..2_u16)));
            lines.insert(format!("e{i}"), TableEntry { address, weight: rng.generate_range(1..257_u32) });
        }
    }
    Table { entries: lines }
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
            let admitted = self.state.admit(class, f64::from(self.rng.generate_range(0..1000_u16)) / 1000.0);
            let excluded = self.in_flight.last().map(|chosen| chosen.endpoint.clone());
            let choice = self.state.choose(self.now, class, excluded.as_deref());
            let found = match &choice {
                Choice::Endpoint(chosen) => {
                    format!("{}/{} {}", chosen.backend, chosen.endpoint, chosen.address)
                }
                _ => "none".to_string(),
            };
            self.transcript += &format!("{class} {admitted} {found}\n");
            if let Choice::Endpoint(chosen) = choice {
                self.in_flight.push(chosen);
            }
            if !self.in_flight.is_empty() && self.rng.generate_range(0..3_u8) > 0 {
                let chosen = self.in_flight.remove(0);
                let outcomes =
                    [AttemptOutcome::Answered(200), AttemptOutcome::Answered(503), AttemptOutcome::TimedOut];
                let outcome = outcomes[self.rng.generate_range(0..outcomes.len())];
                let latency = Duration::from_millis(self.rng.generate_range(1..500_u64));
                self.state.record_outcome(self.now, &chosen, outcome, latency);
            }
        }
    }

    /// Carries out a line of commands, with requests between its steps.
    fn commands(&mut self, queue: &mut CommandQueue) {
        let count = self.rng.generate_range(1..8_u8);
        let line: Vec<String> = (0..count).map(|_| command(&mut self.rng)).collect();
        let line = line.join("; ");
        let mut out = String::new();
        let mut transaction = queue.begin(split(&line), &self.state);
        while !queue.step(&mut transaction) {
            self.requests();
        }
        self.requests();
        let after = queue.finish(transaction, &mut self.state, &mut out);
        self.transcript += &format!("{line}\n{out}{after:?}\n");
    }

    fn snapshot(&mut self, commands: &mut SnapshotCommands, version: u64) {
        let tables = BTreeMap::from([(0, random_table(&mut self.rng)), (1, random_table(&mut self.rng))]);
        let assignment =
            |table: u32| ProxyAssignment { table, admission_per_mille: 900 + table, retries: table == 0 };
        let all =
            BTreeMap::from([("look-up".to_string(), assignment(0)), ("search".to_string(), assignment(1))]);
        let bound = if self.rng.generate_range(0..4_u8) > 0 { all } else { BTreeMap::new() };
        let withdrawn = BTreeSet::from([format!("e{}", self.rng.generate_range(0..6_u8))]);
        let tables = if bound.is_empty() { BTreeMap::new() } else { tables };
        let snapshot = AppliedSnapshot { epoch: 1, version, assignments: bound, tables, ejected: withdrawn };
        for command in commands.commands(&self.state, &snapshot) {
            let answer = self.state.execute(&command).map_err(|error| error.to_string());
            self.transcript += &format!("{}: {answer:?}\n", command.joined_words());
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
    let mut queues = [
        CommandQueue::new(AccessLevel::Admin),
        CommandQueue::new(AccessLevel::Admin),
        CommandQueue::new(AccessLevel::User),
    ];
    let mut snapshots = SnapshotCommands::default();
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
        summary += &format!(
            "{seed}: {lines} lines, hash {:016x}, digest {}\n",
            hash(&run.transcript),
            run.state.digest()
        );
    }
    expected.assert_eq(&summary);
}

#[test]
fn round_robin_transcripts_stay_as_recorded() {
    check(
        LoadBalancingPolicy::SmoothWeightedRoundRobin,
        &expect![[r#"
            0: 8085 lines, hash 03ac72890c55a51f, digest 1897481244127450682
            1: 8649 lines, hash 9210169fdaf92ac1, digest 6818336914592923074
            2: 8296 lines, hash 62784551f9b01fa9, digest 6759689251129285120
            3: 8405 lines, hash 5a96f42269f2caeb, digest 5166962963478674878
            4: 8004 lines, hash 2853834978dee710, digest 7635841806228276772
            5: 8209 lines, hash abf7c88fec976f73, digest 7462280365276593553
            6: 8658 lines, hash 646d92e2ee8cd07a, digest 5282710621272408522
            7: 8299 lines, hash a9e32b1a22648bcf, digest 8341160765679522225
            8: 8054 lines, hash 0a4f7990e2d15b1e, digest 4696793006446960578
            9: 8017 lines, hash f1b75160fe3b3270, digest 3793316410495389991
            10: 8296 lines, hash f33734bd2a1eb72a, digest 8885720600597935351
            11: 8440 lines, hash 37de921dafc0b309, digest 6880999877642267481
            12: 8224 lines, hash 3b6ad3b37a717c72, digest 5679357922826616422
            13: 8595 lines, hash e35ef68bdd3abf31, digest 645990818551885616
            14: 8174 lines, hash 1cce1695343d07f8, digest 1758498198796706029
            15: 8431 lines, hash 90815bc70a050e84, digest 1604962089983347998
            16: 8164 lines, hash b7059f7a782b6a28, digest 7006359751744866715
            17: 8404 lines, hash 33b58af7b8dfa533, digest 3125703751388549376
            18: 8034 lines, hash 75498d6f2318762b, digest 6785265608097673656
            19: 8506 lines, hash b66e52214aee38b1, digest 1018970276074821098
        "#]],
    );
}

#[test]
fn weighted_random_transcripts_stay_as_recorded() {
    check(
        LoadBalancingPolicy::WeightedRandom,
        &expect![[r#"
            0: 8073 lines, hash 32c2b1909829d5c9, digest 5033844077978641667
            1: 8524 lines, hash 9c619af9d76b773e, digest 9084350377456338248
            2: 8346 lines, hash f73f890770fd3fe3, digest 2426279694526302964
            3: 8413 lines, hash 2dbb5c21e7962a8a, digest 5166962963478674878
            4: 8073 lines, hash 5260d6e3f32b7ea7, digest 3102197534359743705
            5: 8298 lines, hash ebbdd35f995d2e45, digest 4110646098300371203
            6: 8495 lines, hash b7bec7a5c969a7ab, digest 6473289652191176354
            7: 8300 lines, hash 5bf6e5aa890231d4, digest 8341160765679522225
            8: 7930 lines, hash f00f248d3579a89f, digest 4696793006446960578
            9: 8213 lines, hash 873ce505af054508, digest 4851356711660554531
            10: 8186 lines, hash 974c97bb274908e5, digest 5025497465015343810
            11: 8326 lines, hash 8af63f9566d0bd0e, digest 1751107156751682893
            12: 8093 lines, hash 2a5414a99020c074, digest 5259669906965812485
            13: 8222 lines, hash 4100e72193a8b2fd, digest 1919963880818881590
            14: 7898 lines, hash 9cd2ca200a703e21, digest 8096091209724446308
            15: 8276 lines, hash a054c0c1cb8c2a32, digest 2333131544505942959
            16: 7975 lines, hash 37feb0684b7eed98, digest 6336927629695579289
            17: 8396 lines, hash 987d2743926253a0, digest 9067688030737833988
            18: 8271 lines, hash 0c37a4676bb5b39b, digest 4840544018000058385
            19: 8534 lines, hash df770cf61318dee4, digest 2030696118850796105
        "#]],
    );
}

#[test]
fn two_choices_transcripts_stay_as_recorded() {
    check(
        "pair".parse().expect("a policy"),
        &expect![[r#"
            0: 8119 lines, hash 280d2f5a3a02f9cc, digest 809866563347169335
            1: 8389 lines, hash f7f429b9cc17d011, digest 4243957211881600423
            2: 8339 lines, hash 4e36cd6d0622ccb7, digest 2426279694526302964
            3: 8000 lines, hash 2faa63b59a60481e, digest 1271243156171072935
            4: 7910 lines, hash ec96125ccfa6d6bd, digest 1731800481125423777
            5: 8109 lines, hash 1d1cbaf54f8ebf03, digest 7817641989689639210
            6: 8479 lines, hash 5ffc54f31fb4ab73, digest 741037057596747299
            7: 8299 lines, hash 8a4884805cf5032b, digest 8341160765679522225
            8: 7970 lines, hash f56497b77309dd33, digest 915715217297166858
            9: 8256 lines, hash efa60a8a23fc74fc, digest 4851356711660554531
            10: 8201 lines, hash 82c85727f07633b9, digest 2579861101311034109
            11: 8347 lines, hash 2987b525a0dc7c72, digest 1751107156751682893
            12: 8046 lines, hash 865a02120af5fecc, digest 664154360796679426
            13: 8194 lines, hash 49cb3bcd67d89233, digest 4804767918886279878
            14: 7907 lines, hash 37ba1dee97be0d6e, digest 8096091209724446308
            15: 8127 lines, hash 3c4395a2d9a95c57, digest 2333131544505942959
            16: 8121 lines, hash 10e869b66128d947, digest 6336927629695579289
            17: 8486 lines, hash ea16ce90356d075d, digest 9067688030737833988
            18: 8091 lines, hash f105dc8cbfbf3405, digest 3602983940564095111
            19: 8548 lines, hash 37ee95416468c8cc, digest 7917822534423604720
        "#]],
    );
}
