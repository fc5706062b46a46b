//! Long pseudorandom sequences of commands, requests and snapshots: answers, choices and digests must match the
//! recordings.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use expect_test::{Expect, expect};
use lockcroft_proxy::{
    AttemptOutcome, Choice, ChosenEndpoint, ControlSession, LoadBalancingLimits, LoadBalancingPolicy,
    RoutingState, SnapshotCommands,
};
use lockcroft_runtime_api::{AccessLevel, parse_line};
use lockcroft_table_format::{ProxyAssignment, Table, TableEntry};
use lockcroft_table_store::ProxySnapshot;
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

/// Returns one or two random commands, which are often valid.
fn random_commands(rng: &mut WyRand) -> String {
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

/// Returns the FNV-1a hash of a transcript, which is recorded instead of the transcript.
fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

fn random_table(rng: &mut WyRand) -> Table {
    let mut entries = BTreeMap::new();
    for i in 0..6_u16 {
        if rng.generate_range(0..3_u8) > 0 {
            let address = SocketAddr::from(([127, 0, 0, 1], 9000 + i + rng.generate_range(0..2_u16)));
            entries.insert(format!("e{i}"), TableEntry { address, weight: rng.generate_range(1..257_u32) });
        }
    }
    Table { entries }
}

struct Run {
    state: RoutingState,
    rng: WyRand,
    now: Duration,
    in_flight: Vec<ChosenEndpoint>,
    transcript: String,
}

impl Run {
    /// Sends some requests and ends some of the attempts in flight.
    fn send_requests(&mut self) {
        for _ in 0..self.rng.generate_range(0..6_u8) {
            self.now += Duration::from_millis(self.rng.generate_range(0..300_u64));
            let class = pick(&mut self.rng, &CLASSES);
            let admitted = self.state.admit(class, f64::from(self.rng.generate_range(0..1000_u16)) / 1000.0);
            let excluded = self.in_flight.last().map(|chosen| chosen.endpoint.clone());
            let choice = self.state.choose(self.now, class, excluded.as_deref());
            let target = match &choice {
                Choice::Endpoint(chosen) => {
                    format!("{}/{} {}", chosen.backend, chosen.endpoint, chosen.address)
                }
                _ => "none".to_string(),
            };
            self.transcript += &format!("{class} {admitted} {target}\n");
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

    /// Executes a random line of commands, with requests between its steps.
    fn execute_commands(&mut self, session: &mut ControlSession) {
        let count = self.rng.generate_range(1..8_u8);
        let line: Vec<String> = (0..count).map(|_| random_commands(&mut self.rng)).collect();
        let line = line.join("; ");
        let mut out = String::new();
        let mut transaction = session.begin(parse_line(&line), &self.state);
        while !session.step(&mut transaction) {
            self.send_requests();
        }
        self.send_requests();
        let session_state = session.finish(transaction, &mut self.state, &mut out);
        self.transcript += &format!("{line}\n{out}{session_state:?}\n");
    }

    /// Applies a random snapshot.
    fn apply_snapshot(&mut self, commands: &mut SnapshotCommands, version: u64) {
        let tables = BTreeMap::from([(0, random_table(&mut self.rng)), (1, random_table(&mut self.rng))]);
        let assignment = |table: u32| ProxyAssignment {
            table,
            admission_per_mille: 900 + table,
            allows_retries: table == 0,
        };
        let all =
            BTreeMap::from([("look-up".to_string(), assignment(0)), ("search".to_string(), assignment(1))]);
        let assignments = if self.rng.generate_range(0..4_u8) > 0 { all } else { BTreeMap::new() };
        let ejected = BTreeSet::from([format!("e{}", self.rng.generate_range(0..6_u8))]);
        let tables = if assignments.is_empty() { BTreeMap::new() } else { tables };
        let snapshot = ProxySnapshot { epoch: 1, version, assignments, tables, ejected };
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
    let mut sessions = [
        ControlSession::new(AccessLevel::Admin),
        ControlSession::new(AccessLevel::Admin),
        ControlSession::new(AccessLevel::User),
    ];
    let mut snapshots = SnapshotCommands::default();
    for step in 0..400 {
        let index = run.rng.generate_range(0..sessions.len());
        run.execute_commands(&mut sessions[index]);
        run.send_requests();
        if step % 20 == 19 {
            run.apply_snapshot(&mut snapshots, step);
        }
        run.transcript += &format!("version {} digest {}\n", run.state.version, run.state.digest());
    }
    run
}

fn check_transcripts(policy: LoadBalancingPolicy, expected: &Expect) {
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
fn round_robin_transcripts_match_the_recording() {
    check_transcripts(
        LoadBalancingPolicy::SmoothWeightedRoundRobin,
        &expect![[r#"
            0: 8085 lines, hash b6b3722c5aafdf0a, digest 1897481244127450682
            1: 8649 lines, hash 62b0caf214069804, digest 6818336914592923074
            2: 8296 lines, hash a6cf46881207ac7a, digest 6759689251129285120
            3: 8405 lines, hash 8155faa14aa6a688, digest 5166962963478674878
            4: 8004 lines, hash 826fd9698e8fbe3d, digest 7635841806228276772
            5: 8209 lines, hash f59c506410717a84, digest 7462280365276593553
            6: 8658 lines, hash f3ed11d32593b866, digest 5282710621272408522
            7: 8299 lines, hash f10feeb57f7e5843, digest 8341160765679522225
            8: 8054 lines, hash 3180cd7875eb12dc, digest 4696793006446960578
            9: 8017 lines, hash e03ac38c2cb29a36, digest 3793316410495389991
            10: 8296 lines, hash aefc85a0cb3af4ea, digest 8885720600597935351
            11: 8440 lines, hash 5c545ab0b3f8c0b8, digest 6880999877642267481
            12: 8224 lines, hash 0b6834965d120229, digest 5679357922826616422
            13: 8595 lines, hash 706aca6ab10434bc, digest 645990818551885616
            14: 8174 lines, hash 319d92c99e845fc9, digest 1758498198796706029
            15: 8431 lines, hash f0136c909de6607f, digest 1604962089983347998
            16: 8164 lines, hash a1cf0c980ff30a97, digest 7006359751744866715
            17: 8404 lines, hash 33f8808c45fb4f29, digest 3125703751388549376
            18: 8034 lines, hash 181cbbc565963b30, digest 6785265608097673656
            19: 8506 lines, hash cbde18c65e98d88b, digest 1018970276074821098
        "#]],
    );
}

#[test]
fn weighted_random_transcripts_match_the_recording() {
    check_transcripts(
        LoadBalancingPolicy::WeightedRandom,
        &expect![[r#"
            0: 8073 lines, hash 2f76ef06414ca9d3, digest 5033844077978641667
            1: 8524 lines, hash 9cc9d32eb17526b5, digest 9084350377456338248
            2: 8346 lines, hash b2bcd67f16ed765e, digest 2426279694526302964
            3: 8413 lines, hash 0f736d220d735466, digest 5166962963478674878
            4: 8073 lines, hash cc352c7ed06696b3, digest 3102197534359743705
            5: 8298 lines, hash 4920eb4c593bb92d, digest 4110646098300371203
            6: 8495 lines, hash c7cd705358db44e1, digest 6473289652191176354
            7: 8300 lines, hash e272ab1d489184dc, digest 8341160765679522225
            8: 7930 lines, hash ced41e27dd31ad3d, digest 4696793006446960578
            9: 8213 lines, hash 05813661f821a4dd, digest 4851356711660554531
            10: 8186 lines, hash 6a74a0b05d46f2fa, digest 5025497465015343810
            11: 8326 lines, hash 84d5f8fa63e38ed0, digest 1751107156751682893
            12: 8093 lines, hash fa5da8b27497c5ae, digest 5259669906965812485
            13: 8222 lines, hash 057157cb7f93341e, digest 1919963880818881590
            14: 7898 lines, hash d6a6e63bf32eedd0, digest 8096091209724446308
            15: 8276 lines, hash d5e2ab52d514fdd1, digest 2333131544505942959
            16: 7975 lines, hash b22a9b6125daee34, digest 6336927629695579289
            17: 8396 lines, hash a4c6c879aac2718f, digest 9067688030737833988
            18: 8271 lines, hash 7843b7ee36c786c0, digest 4840544018000058385
            19: 8534 lines, hash e67faa4992946b71, digest 2030696118850796105
        "#]],
    );
}

#[test]
fn two_choices_transcripts_match_the_recording() {
    check_transcripts(
        "pair".parse().expect("a policy"),
        &expect![[r#"
            0: 8119 lines, hash b4936d30eeace12f, digest 809866563347169335
            1: 8389 lines, hash 514f2533bb5b52e6, digest 4243957211881600423
            2: 8339 lines, hash ea1274389b506365, digest 2426279694526302964
            3: 8000 lines, hash 3edb9033dd7d09be, digest 1271243156171072935
            4: 7910 lines, hash b7bf163dd8376c2e, digest 1731800481125423777
            5: 8109 lines, hash c73ae0b58eda8ae0, digest 7817641989689639210
            6: 8479 lines, hash 19c6bd3feb740744, digest 741037057596747299
            7: 8299 lines, hash d5172faa6989bb4f, digest 8341160765679522225
            8: 7970 lines, hash 85499f60f06e4fa9, digest 915715217297166858
            9: 8256 lines, hash 507aefbd2a35ac81, digest 4851356711660554531
            10: 8201 lines, hash ad6e304b84e097b6, digest 2579861101311034109
            11: 8347 lines, hash e5eb4f37577cd7fb, digest 1751107156751682893
            12: 8046 lines, hash a9e270b4d0a81d7e, digest 664154360796679426
            13: 8194 lines, hash 55b015fa8341e372, digest 4804767918886279878
            14: 7907 lines, hash f57029de15ba35eb, digest 8096091209724446308
            15: 8127 lines, hash ec3649eeb46f65c6, digest 2333131544505942959
            16: 8121 lines, hash 224ed0e3c1ab1cfd, digest 6336927629695579289
            17: 8486 lines, hash 39ce6009cb19e31a, digest 9067688030737833988
            18: 8091 lines, hash fd695e463e45a3e8, digest 3602983940564095111
            19: 8548 lines, hash 3582b85be4e09844, digest 7917822534423604720
        "#]],
    );
}
