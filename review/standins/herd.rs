//! A stand-in of the users' platform for the pilot that is left when others are killed during a release, after
//! PROTOCOL.md, STANDING.md and WIRE-lockcroft.md: discovery, endpoints, a collector, proxies, and the pilot's channel with
//! its pace. All on loopback, standard library only. It judges the rule that drains are kept.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROXIES: usize = 240;
/// Proxies that join this pilot at first: those of one pilot in five.
const OWN: usize = 48;
const ENDPOINTS: usize = 200;
/// Endpoints that a step of the release replaces.
const STEP: usize = 30;
const CLASSES: [&str; 3] = ["stop-audio", "feedback", "redeem-ticket"];
const ZONES: [&str; 5] = ["paco", "convento", "mercado", "arquivo", "porto"];
/// `specifics.egress_per_s`, `specifics.overhead` and `specifics.propagation_us` of the settings below.
const LINES_PER_S: f64 = 4200.0;
const OVERHEAD: usize = 4;
const PROPAGATION: Duration = Duration::from_millis(340);
/// `specifics.queue_cap`: twice what one step of the release costs if no proxy has a table of this pilot, 240 messages of
/// 30 endpoints and their head, which is 16,320 lines.
const QUEUE_LINES: f64 = 17_000.0;
/// `rules.drain_grace_us` of the settings below, and the 300 ms that sockets add to it.
const LIMIT: Duration = Duration::from_millis(3000 + 300);
/// The time between two requests of a proxy.
const REQUEST_PERIOD: Duration = Duration::from_millis(200);

fn settings() -> String {
    let class = |name: &str, aim: u32, deadline: u32, worth: f64, effect: &str| {
        format!(
            r#"{{"deadline_us":{deadline},"dedup_scope":"all","effect":"{effect}","late_worth":0.2,"name":"{name}","target_us":{aim},"window_us":1500000,"worth":{worth}}}"#
        )
    };
    let classes = [
        class(CLASSES[0], 600_000, 2_000_000, 3.0, "safe"),
        class(CLASSES[1], 1_000_000, 2_500_000, 5.0, "keyed"),
        class(CLASSES[2], 500_000, 1_200_000, 3.0, "unsafe"),
    ];
    format!(
        r#"{{"blend":{{"whole":0.7,"worst_class":0.1,"worst_tenant":0.0,"worst_window":0.2}},"classes":[{}],
"discovery":"pushed","family":"control","fleet_size":5,"kinds":["std-3core"],
"policy_limits":{{"conn_idle_us":15000000,"connect_timeout_us":250000,"cpu_us_per_s":400000,"may_tell":false,"probes":true,"streams_per_conn":32}},
"rank":0,"report":{{"fields":["busy"],"how":"on_probe"}},
"rules":{{"ask_within_us":10000000,"cold_from":0.3,"cold_us":12000000,"drain_grace_us":3000000,"fall_us":3000000,"overload_factor":4.0}},
"specifics":{{"agents":{PROXIES},"counted_over_us":10000000,"cycle_us":2000000,"default_retry":1,"egress_per_s":{LINES_PER_S:.1},"fails_to_eject":0,"first_wait":1.2,"in_flight_max_us":20000,"lease_us":2500000,"level_kind":"ratio","min_conn_cap":480.0,"mutating":[false,true,true],"order_price":0.12,"overhead":{OVERHEAD}.0,"park_us":300000,"partitions_n":0,"propagation_us":{},"queue_cap":{QUEUE_LINES:.1},"reassign_price":0.01,"reloads_max":30,"reports_per_s":250.0,"selects_by":"wheel","single_writer":false,"standing":8,"stays_local":[false,false,false],"transit_max_us":850000,"unserved_max_us":2600000,"warm_keys":false,"zonal":true}},
"tick_us":5000,"weight_kind":"off","worth_by":"request","zone":"{}","zones":[{}]}}"#,
        classes.join(","),
        PROPAGATION.as_micros(),
        ZONES[0],
        ZONES.map(|zone| format!("\"{zone}\"")).join(",")
    )
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970").as_millis()
}

struct Listed {
    name: String,
    address: SocketAddr,
    zone: usize,
    status: &'static str,
    since_ms: u128,
    /// The version of its last change.
    changed: u64,
    alive: Arc<AtomicBool>,
}

impl Listed {
    fn entry(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"std-3core","group":0,"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, ZONES[self.zone], self.status, self.since_ms
        )
    }
}

#[derive(Default)]
struct List {
    index: u64,
    entries: Vec<Listed>,
    /// When the change of each endpoint that drains or is gone was written to the pilot.
    told: BTreeMap<String, Instant>,
}

impl List {
    fn message(&self, since: Option<u64>) -> String {
        let known = |entry: &&Listed| match since {
            Some(since) => entry.changed > since,
            None => entry.status != "removed",
        };
        let entries: Vec<String> = self.entries.iter().filter(known).map(Listed::entry).collect();
        format!(r#"{{"index":{},"snapshot":{},"endpoints":[{}]}}"#, self.index, since.is_none(), entries.join(","))
    }
}

#[derive(Default)]
struct Proxy {
    joined_at: Option<Instant>,
    assigned: bool,
    tables: BTreeMap<String, BTreeMap<String, f64>>,
    ejected: BTreeSet<String>,
    turn: usize,
}

impl Proxy {
    fn lines(&self, class: &str) -> Vec<&str> {
        let table = self.tables.get(class).into_iter().flatten();
        let usable = table.filter(|(name, weight)| **weight > 0.0 && !self.ejected.contains(*name));
        usable.map(|(name, _)| name.as_str()).collect()
    }

    fn apply(&mut self, parts: &[Json]) {
        for part in parts {
            let all = || CLASSES.iter().map(|class| class.to_string()).collect();
            let classes: Vec<String> = part.get("routes").map_or_else(all, Json::texts);
            for class in classes {
                let table = self.tables.entry(class).or_default();
                if part.get("full").is_some() {
                    table.clear();
                    self.assigned = true;
                }
                for line in part.get("endpoints").map_or(&[][..], Json::items) {
                    let (name, weight) = (line.items()[0].text().to_string(), line.items()[1].number());
                    if weight > 0.0 {
                        table.insert(name, weight);
                    } else {
                        table.remove(&name);
                    }
                }
            }
            self.ejected.extend(part.get("eject").map_or_else(Vec::new, Json::texts));
            for name in part.get("restore").map_or_else(Vec::new, Json::texts) {
                self.ejected.remove(&name);
            }
        }
    }
}

/// What a message counts in the channel: its head, and every line, endpoint, level, mark and `full` in it.
fn lines_of(parts: &[Json]) -> usize {
    let count = |part: &Json| {
        let items = |name: &str| part.get(name).map_or(0, |items| items.items().len());
        let flags = usize::from(part.get("full").is_some()) + usize::from(part.get("nonce_out").is_some());
        items("endpoints") + items("eject") + items("restore") + flags + usize::from(part.get("admit").is_some())
    };
    OVERHEAD + parts.iter().map(count).sum::<usize>()
}

/// A message in the channel.
struct Message {
    proxy: usize,
    parts: Vec<Json>,
    lines: usize,
    answers: Arc<TcpStream>,
}

struct World {
    record: PathBuf,
    list: Mutex<List>,
    list_changed: Condvar,
    proxies: Vec<Mutex<Proxy>>,
    waiting: AtomicU64,
    most_waiting: AtomicU64,
    broken: AtomicU64,
    /// The longest time from a drain to a request, in milliseconds.
    latest: AtomicU64,
}

impl World {
    fn note(&self, text: &str) {
        let mut file = OpenOptions::new().create(true).append(true).open(&self.record).expect("the record opens");
        file.write_all(format!("{} {text}\n", now_ms()).as_bytes()).expect("the record is written");
    }

    fn add(&self, number: usize, since_ms: u128, seed: &mut u64) {
        let listener = listen(seed);
        let alive = Arc::new(AtomicBool::new(true));
        let mut list = self.list.lock().expect("the list");
        let changed = list.index;
        list.entries.push(Listed {
            name: format!("s-{:08x}", (number as u32 + 1).wrapping_mul(2_654_435_761)),
            address: listener.local_addr().expect("an address"),
            zone: zone_of(number),
            status: "up",
            since_ms,
            changed,
            alive: alive.clone(),
        });
        drop(list);
        spawn(move || serve_endpoint(&listener, &alive));
    }

    fn set_status(&self, range: std::ops::Range<usize>, status: &'static str) {
        let mut list = self.list.lock().expect("the list");
        list.index += 1;
        let index = list.index;
        for entry in &mut list.entries[range.clone()] {
            (entry.status, entry.changed) = (status, index);
            if status == "removed" {
                entry.alive.store(false, Ordering::SeqCst);
            }
        }
        drop(list);
        self.list_changed.notify_all();
        self.note(&format!("list {index}: endpoints {} to {} {status}", range.start, range.end - 1));
    }
}

fn option(name: &str) -> String {
    let args: Vec<String> = std::env::args().collect();
    let position = args.iter().position(|arg| arg == name).unwrap_or_else(|| panic!("{name} is missing"));
    args[position + 1].clone()
}

fn next(seed: &mut u64) -> usize {
    *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
    (*seed >> 33) as usize
}

/// Listens on a free port below the range of outgoing connections.
fn listen(seed: &mut u64) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", 12_000 + (next(seed) % 18_000) as u16)) {
            return listener;
        }
    }
}

fn main() {
    let work = PathBuf::from(option("--work"));
    let trouble = option("--trouble") != "0";
    let mut seed = u64::from(std::process::id()) ^ now_ms() as u64;
    let discovery = listen(&mut seed);
    let world = Arc::new(World {
        record: PathBuf::from(option("--record")),
        list: Mutex::new(List { index: 1, ..List::default() }),
        list_changed: Condvar::new(),
        proxies: (0..PROXIES).map(|_| Mutex::default()).collect(),
        waiting: AtomicU64::new(0),
        most_waiting: AtomicU64::new(0),
        broken: AtomicU64::new(0),
        latest: AtomicU64::new(0),
    });
    (0..ENDPOINTS).for_each(|number| world.add(number, 0, &mut seed));
    let pilot = listen(&mut seed).local_addr().expect("an address");
    let config = format!(
        r#"{{"name":"n1","listen":"{pilot}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{},"settings":{}}}"#,
        discovery.local_addr().expect("an address"),
        world.list.lock().expect("the list").message(None),
        settings()
    );
    let follower = world.clone();
    spawn(move || serve_discovery(&discovery, &follower));
    std::fs::write(work.join("config.new"), config).expect("the configuration is written");
    std::fs::rename(work.join("config.new"), work.join("config.json")).expect("renamed");
    std::process::exit(play(&world, pilot, trouble, &mut seed));
}

/// Plays the day; returns the exit code.
fn play(world: &Arc<World>, pilot: SocketAddr, trouble: bool, seed: &mut u64) -> i32 {
    let started = Instant::now();
    while !answers_heartbeat(pilot) {
        if started.elapsed() > Duration::from_secs(10) {
            world.note("cannot run: the pilot answers no sign of life");
            return 2;
        }
        sleep(Duration::from_millis(20));
    }
    world.note("the pilot has answered");
    let (messages, arriving) = channel();
    let carrier = world.clone();
    spawn(move || carry(&arriving, &carrier));
    let collector = world.clone();
    spawn(move || run_collector(pilot, &collector));
    for number in 0..OWN {
        join(number, true, pilot, &messages, world);
    }
    let all_assigned = |range: std::ops::Range<usize>| {
        range.into_iter().all(|number| world.proxies[number].lock().expect("a proxy").assigned)
    };
    while !all_assigned(0..OWN) {
        if started.elapsed() > Duration::from_secs(25) {
            world.note("cannot run: not every proxy got its table");
            return 2;
        }
        sleep(Duration::from_millis(20));
    }
    world.note("the first proxies have their tables");
    sleep(Duration::from_secs(3));
    let judged = world.clone();
    spawn(move || send_requests(&judged));

    // The release: in each step endpoints drain, others start in their place, and the drained ones go.
    let release = Instant::now();
    let until = |ms: u64| sleep((release + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
    world.note("a release begins");
    world.set_status(0..STEP, "draining");
    until(2630);
    let herd = world.clone();
    let senders = messages.clone();
    let mut dials: Vec<(u64, usize)> = (OWN..PROXIES).map(|number| (230 + (next(seed) % 420) as u64, number)).collect();
    dials.sort_unstable();
    if trouble {
        world.note("trouble: four pilots are killed; their proxies dial this one within 0.23 to 0.65 s");
        spawn(move || {
            let killed = Instant::now();
            for (after, number) in dials {
                sleep((killed + Duration::from_millis(after)).saturating_duration_since(Instant::now()));
                join(number, false, pilot, &senders, &herd);
            }
        });
    }
    until(3070);
    replace(world, ENDPOINTS, seed);
    world.set_status(STEP..2 * STEP, "draining");
    until(4610);
    world.set_status(2 * STEP..3 * STEP, "draining");
    until(5120);
    world.set_status(0..STEP, "removed");
    until(6140);
    replace(world, ENDPOINTS + STEP, seed);
    until(8190);
    replace(world, ENDPOINTS + 2 * STEP, seed);
    world.set_status(STEP..2 * STEP, "removed");
    until(9730);
    world.set_status(2 * STEP..3 * STEP, "removed");
    until(15000);
    let broken = world.broken.load(Ordering::SeqCst);
    world.note(&format!(
        "{broken} requests to endpoints later than {} ms after the pilot was told that they drain or are gone, the latest \
         after {} ms; at most {} lines waited in the channel",
        LIMIT.as_millis(),
        world.latest.load(Ordering::SeqCst),
        world.most_waiting.load(Ordering::SeqCst)
    ));
    println!("{broken} requests to draining or removed endpoints later than the grace");
    i32::from(broken > 0)
}

/// The zone of an endpoint. The release goes from zone to zone; who starts in place of another is in the same zone.
fn zone_of(number: usize) -> usize {
    let replaced = if number < ENDPOINTS { number } else { number - ENDPOINTS };
    replaced * ZONES.len() / ENDPOINTS
}

/// Lists new endpoints, which have just started.
fn replace(world: &World, first: usize, seed: &mut u64) {
    (first..first + STEP).for_each(|number| world.add(number, now_ms(), seed));
    world.set_status(first..first + STEP, "up");
}

fn answers_heartbeat(pilot: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(pilot) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut answer = [0; 64];
    stream.write_all(b"{\"t\":\"hb\"}\n").is_ok()
        && stream.read(&mut answer).is_ok_and(|read| String::from_utf8_lossy(&answer[..read]).contains("hb_ok"))
}

/// Joins a proxy. One that comes from another pilot holds that pilot's table: the endpoints of its zone that were up when
/// that pilot was killed. A new one has its standing table.
fn join(number: usize, cold: bool, pilot: SocketAddr, messages: &Sender<Message>, world: &Arc<World>) {
    let zone = number % ZONES.len();
    let list = world.list.lock().expect("the list");
    // That of the zone whose endpoints drained first holds those of all zones, as such a table takes in the others.
    let served = |entry: &&Listed| (entry.zone == zone || zone == 0) && entry.status != "removed" && entry.since_ms == 0;
    // The other pilots had told their proxies of the first step's drains, but not yet of what the list says later.
    let first_step: BTreeSet<String> = list.entries[..STEP].iter().map(|entry| entry.name.clone()).collect();
    let held = list.entries.iter().filter(served).filter(|entry| cold || !first_step.contains(&entry.name));
    let table: BTreeMap<String, f64> =
        held.take(if cold { 8 } else { ENDPOINTS }).map(|entry| (entry.name.clone(), 1.0)).collect();
    drop(list);
    let mut stream = TcpStream::connect(pilot).expect("the pilot listens");
    let _ = stream.set_nodelay(true);
    let line = format!(
        "{{\"t\":\"attach\",\"node\":{number},\"locality\":\"{}\",\"w\":5.0,\"cold\":{cold}}}\n",
        ZONES[zone]
    );
    stream.write_all(line.as_bytes()).expect("sent");
    let mut proxy = world.proxies[number].lock().expect("a proxy");
    proxy.tables = CLASSES.iter().map(|class| (class.to_string(), table.clone())).collect();
    proxy.joined_at = Some(Instant::now());
    drop(proxy);
    let (messages, world) = (messages.clone(), world.clone());
    spawn(move || read_orders(number, &Arc::new(stream), &messages, &world));
}

/// Reads orders; a message enters the channel once its last byte has come.
fn read_orders(number: usize, stream: &Arc<TcpStream>, messages: &Sender<Message>, world: &World) {
    let mut parts = Vec::new();
    for line in BufReader::new(&**stream).lines() {
        let Ok(line) = line else { break };
        let part = Json::parse(&line);
        let continued = part.get("continued").is_some();
        parts.push(part);
        if !continued {
            let parts = std::mem::take(&mut parts);
            let lines = lines_of(&parts);
            let waiting = world.waiting.fetch_add(lines as u64, Ordering::SeqCst) + lines as u64;
            world.most_waiting.fetch_max(waiting, Ordering::SeqCst);
            world.note(&format!("written to proxy {number}: {lines} lines, {waiting} wait: {}", &line[..line.len().min(90)]));
            let _ = messages.send(Message { proxy: number, parts, lines, answers: stream.clone() });
        }
    }
    world.note(&format!("the stream of proxy {number} ended"));
}

/// The channel: messages leave one after the other at its pace, and reach their proxies a way later, those to one proxy in
/// order. The way takes from half to one and a half of its mean.
fn carry(arriving: &Receiver<Message>, world: &Arc<World>) {
    let (sent, travelling) = channel::<(Instant, Message)>();
    let receiver = world.clone();
    spawn(move || {
        let mut on_the_way: BTreeMap<(Instant, usize), Message> = BTreeMap::new();
        let mut number = 0;
        loop {
            let wait = on_the_way.keys().next().map_or(Duration::from_secs(1), |(at, _)| {
                at.saturating_duration_since(Instant::now())
            });
            if let Ok((at, message)) = travelling.recv_timeout(wait) {
                number += 1;
                on_the_way.insert((at, number), message);
            }
            while on_the_way.first_key_value().is_some_and(|((at, _), _)| *at <= Instant::now()) {
                let Some((_, message)) = on_the_way.pop_first() else { break };
                receive(&message, &receiver);
            }
        }
    });
    let mut free_at = Instant::now();
    let mut last: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut seed = now_ms() as u64;
    for message in arriving {
        free_at = free_at.max(Instant::now()) + Duration::from_secs_f64(message.lines as f64 / LINES_PER_S);
        sleep(free_at.saturating_duration_since(Instant::now()));
        world.waiting.fetch_sub(message.lines as u64, Ordering::SeqCst);
        let way = PROPAGATION.mul_f64(0.5 + (next(&mut seed) % 1000) as f64 / 1000.0);
        let at = last.get(&message.proxy).copied().unwrap_or(free_at).max(free_at + way);
        last.insert(message.proxy, at);
        let _ = sent.send((at, message));
    }
}

/// The proxy applies a message, and answers its mark.
fn receive(message: &Message, world: &World) {
    world.proxies[message.proxy].lock().expect("a proxy").apply(&message.parts);
    if let Some(mark) = message.parts.iter().find_map(|part| part.get("nonce_out")) {
        let line = format!(
            "{{\"t\":\"done\",\"node\":{},\"nonce\":{},\"latency\":{}.0}}\n",
            message.proxy,
            mark.number() as u64,
            PROPAGATION.as_millis()
        );
        let _ = (&*message.answers).write_all(line.as_bytes());
    }
}

/// Each joined proxy sends requests in turn to the lines of its table. A request to an endpoint later than the grace after
/// the pilot was told that it drains or is gone, and after the proxy joined, breaks the rule.
fn send_requests(world: &World) {
    loop {
        let told = world.list.lock().expect("the list").told.clone();
        for (number, proxy) in world.proxies.iter().enumerate() {
            let mut proxy = proxy.lock().expect("a proxy");
            let Some(joined_at) = proxy.joined_at else { continue };
            proxy.turn += 1;
            let class = CLASSES[proxy.turn % CLASSES.len()];
            let lines = proxy.lines(class);
            if lines.is_empty() {
                continue;
            }
            let to = lines[proxy.turn / CLASSES.len() % lines.len()];
            let Some(told_at) = told.get(to) else { continue };
            let late = told_at.max(&joined_at).elapsed();
            world.latest.fetch_max(late.as_millis() as u64, Ordering::SeqCst);
            if late > LIMIT {
                world.broken.fetch_add(1, Ordering::SeqCst);
                world.note(&format!("run: proxy {number} sends {class} to {to}, {} ms after the drain", late.as_millis()));
            }
        }
        sleep(REQUEST_PERIOD);
    }
}

/// Reports what proxies met: good tries at the endpoints in use.
fn run_collector(pilot: SocketAddr, world: &World) {
    let mut streams: Vec<TcpStream> = Vec::new();
    for zone in ZONES {
        let mut stream = TcpStream::connect(pilot).expect("the pilot listens");
        stream.write_all(format!("{{\"t\":\"telemetry\",\"locality\":\"{zone}\"}}\n").as_bytes()).expect("sent");
        streams.push(stream);
    }
    loop {
        sleep(Duration::from_secs(2));
        let list = world.list.lock().expect("the list");
        let up: Vec<(String, usize)> = list
            .entries
            .iter()
            .filter(|entry| entry.status == "up" && entry.since_ms == 0)
            .map(|entry| (entry.name.clone(), entry.zone))
            .collect();
        drop(list);
        for (name, zone) in up {
            let line = format!(
                "{{\"t\":\"upstream_stats\",\"locality\":\"{}\",\"endpoint\":\"{name}\",\"total\":20,\"errors\":0,\"rtt\":150.0,\"interval\":2000.0}}\n",
                ZONES[zone]
            );
            if streams[zone].write_all(line.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Answers health checks until the endpoint is gone; then its listener is closed.
fn serve_endpoint(listener: &TcpListener, alive: &AtomicBool) {
    listener.set_nonblocking(true).expect("set");
    while alive.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((mut stream, _)) => {
                spawn(move || {
                    let _ = stream.set_nonblocking(false);
                    let mut head = BufReader::new(stream.try_clone().expect("a second handle"));
                    let mut line = String::new();
                    while head.read_line(&mut line).is_ok_and(|read| read > 2) {
                        line.clear();
                    }
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\nconnection: close\r\n\r\nutil=0.45");
                });
            }
            Err(_) => sleep(Duration::from_millis(5)),
        }
    }
}

fn serve_discovery(listener: &TcpListener, world: &Arc<World>) {
    for stream in listener.incoming().flatten() {
        let world = world.clone();
        spawn(move || {
            let _ = follow_list(stream, &world);
        });
    }
}

fn follow_list(mut stream: TcpStream, world: &World) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut request = String::new();
        if reader.read_line(&mut request)? == 0 {
            return Ok(());
        }
        let mut line = String::new();
        while reader.read_line(&mut line)? > 2 {
            line.clear();
        }
        let value = |name: &str| {
            let rest = request.split_once(&format!("{name}="))?.1;
            rest.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        let mut list = world.list.lock().expect("the list");
        if let Some(since) = value("since") {
            let wait = Duration::from_millis(value("timeout_ms").unwrap_or(0).min(60_000));
            let nothing_newer = |list: &mut List| list.index <= since;
            list = world.list_changed.wait_timeout_while(list, wait, nothing_newer).expect("the list").0;
        }
        let body = list.message(value("since"));
        drop(list);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes())?;
        // Told from now on, as the answer is written.
        let mut list = world.list.lock().expect("the list");
        let leaving: Vec<String> =
            list.entries.iter().filter(|entry| entry.status != "up").map(|entry| entry.name.clone()).collect();
        for name in leaving {
            list.told.entry(name).or_insert_with(Instant::now);
        }
    }
}

/// A JSON value, as far as orders need it.
#[derive(Debug)]
enum Json {
    Other,
    Number(f64),
    Text(String),
    Items(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Json {
        let mut rest = text.trim();
        Json::value(&mut rest)
    }

    fn value(rest: &mut &str) -> Json {
        let first = rest.chars().next().unwrap_or(' ');
        match first {
            '{' => {
                let mut members = Vec::new();
                *rest = &rest[1..];
                while !rest.starts_with('}') {
                    let Json::Text(name) = Json::value(rest) else { panic!("a name is expected: {rest}") };
                    *rest = rest.strip_prefix(':').expect("a colon");
                    members.push((name, Json::value(rest)));
                    *rest = rest.strip_prefix(',').unwrap_or(rest);
                }
                *rest = &rest[1..];
                Json::Object(members)
            }
            '[' => {
                let mut items = Vec::new();
                *rest = &rest[1..];
                while !rest.starts_with(']') {
                    items.push(Json::value(rest));
                    *rest = rest.strip_prefix(',').unwrap_or(rest);
                }
                *rest = &rest[1..];
                Json::Items(items)
            }
            '"' => {
                let (text, after) = rest[1..].split_once('"').expect("the end of a text");
                *rest = after;
                Json::Text(text.to_string())
            }
            _ => {
                let end = rest.find([',', ']', '}']).unwrap_or(rest.len());
                let (word, after) = rest.split_at(end);
                *rest = after;
                word.parse().map_or(Json::Other, Json::Number)
            }
        }
    }

    fn get(&self, name: &str) -> Option<&Json> {
        let Json::Object(members) = self else { return None };
        members.iter().find(|(member, _)| member == name).map(|(_, value)| value)
    }

    fn items(&self) -> &[Json] {
        if let Json::Items(items) = self { items } else { &[] }
    }

    fn texts(&self) -> Vec<String> {
        self.items().iter().map(|item| item.text().to_string()).collect()
    }

    fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    fn number(&self) -> f64 {
        if let Json::Number(number) = self { *number } else { f64::NAN }
    }
}
