//! A stand-in of the users' platform for one pilot, after PROTOCOL.md and DEPLOY.md: discovery, endpoints, a collector and
//! proxies, all on loopback. Standard library only. It judges the rule that no joined proxy is left without a line.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const ENDPOINTS: usize = 30;
const PROXIES: usize = 150;
const CLASSES: [&str; 2] = ["period-history", "recent-calls"];
/// Endpoints in a proxy's standing table.
const STANDING: usize = 8;
/// `specifics.unserved_max_us` of the settings below, and the 300 ms that sockets add to it.
const LIMIT: Duration = Duration::from_millis(2600 + 300);
/// The share of the endpoints that dies: 7 of 30 is 23%.
const DYING: usize = 7;
/// From the death of an endpoint to its entry `removed` at discovery.
const NOTICE: Duration = Duration::from_millis(2000);

fn settings(zone: &str) -> String {
    format!(
        r#"{{"blend":{{"whole":0.7,"worst_class":0.1,"worst_tenant":0.0,"worst_window":0.2}},
"classes":[{{"deadline_us":10000000,"dedup_scope":"all","effect":"safe","late_worth":0.1,"name":"period-history","target_us":3000000,"window_us":5000000,"worth":1.0}},
{{"deadline_us":6000000,"dedup_scope":"all","effect":"safe","late_worth":0.1,"name":"recent-calls","target_us":2000000,"window_us":5000000,"worth":3.0}}],
"discovery":"pushed","family":"control","fleet_size":2,"kinds":["gen3"],
"policy_limits":{{"conn_idle_us":15000000,"connect_timeout_us":500000,"cpu_us_per_s":600000,"may_tell":false,"probes":true,"streams_per_conn":32}},
"rank":0,"report":{{"fields":[],"how":"off"}},
"rules":{{"ask_within_us":10000000,"cold_from":0.29,"cold_us":17000000,"drain_grace_us":2500000,"fall_us":3000000,"overload_factor":3.0}},
"specifics":{{"agents":{PROXIES},"counted_over_us":10000000,"cycle_us":1000000,"default_retry":1,"egress_per_s":11000.0,"fails_to_eject":5,"first_wait":1.2,"in_flight_max_us":20000,"lease_us":2500000,"level_kind":"ratio","min_conn_cap":84.0,"mutating":[false,false],"order_price":0.02,"overhead":4.0,"park_us":300000,"partitions_n":0,"propagation_us":481000,"queue_cap":11000.0,"reassign_price":0.01,"reloads_max":0,"reports_per_s":200.0,"selects_by":"wheel","single_writer":false,"standing":{STANDING},"stays_local":[false,false],"transit_max_us":1202500,"unserved_max_us":2600000,"warm_keys":false,"zonal":true}},
"tick_us":4000,"weight_kind":"off","worth_by":"request","zone":"{zone}","zones":["{zone}"]}}"#
    )
}

const ZONE: &str = "athens";

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970").as_millis()
}

struct Listed {
    name: String,
    address: SocketAddr,
    status: &'static str,
    /// The version of its last change.
    changed: u64,
}

impl Listed {
    fn entry(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{ZONE}","type":"gen3","group":0,"status":"{}","weight":1.0,"since_ms":0}}"#,
            self.name, self.address, self.status
        )
    }
}

#[derive(Default)]
struct List {
    index: u64,
    entries: Vec<Listed>,
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
    joined: bool,
    /// True once a whole table was ordered for each class.
    assigned: BTreeSet<String>,
    tables: BTreeMap<String, BTreeMap<String, f64>>,
    ejected: BTreeSet<String>,
    bare_since: BTreeMap<String, Instant>,
    longest_bare: Duration,
    parts: Vec<Json>,
}

impl Proxy {
    fn lines(&self, class: &str) -> Vec<&str> {
        let table = self.tables.get(class).into_iter().flatten();
        let usable = table.filter(|(name, weight)| **weight > 0.0 && !self.ejected.contains(*name));
        usable.map(|(name, _)| name.as_str()).collect()
    }

    /// Applies a message once its last part has come; returns its mark.
    fn take(&mut self, part: Json) -> Option<u64> {
        let continued = part.get("continued").is_some();
        self.parts.push(part);
        if continued {
            return None;
        }
        let mut mark = None;
        for part in std::mem::take(&mut self.parts) {
            let all = || CLASSES.iter().map(|class| class.to_string()).collect();
            let classes: Vec<String> = part.get("routes").map_or_else(all, Json::texts);
            for class in classes {
                let table = self.tables.entry(class.clone()).or_default();
                if part.get("full").is_some() {
                    table.clear();
                    self.assigned.insert(class);
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
            mark = part.get("nonce_out").map(|mark| mark.number() as u64).or(mark);
        }
        mark
    }
}

struct World {
    record: PathBuf,
    list: Mutex<List>,
    list_changed: Condvar,
    alive: Vec<AtomicBool>,
    proxies: Vec<Mutex<Proxy>>,
    ended: AtomicBool,
}

impl World {
    fn note(&self, text: &str) {
        let mut file = OpenOptions::new().create(true).append(true).open(&self.record).expect("the record opens");
        file.write_all(format!("{} {text}\n", now_ms()).as_bytes()).expect("the record is written");
    }

    fn set_status(&self, dying: &[usize], status: &'static str) {
        let mut list = self.list.lock().expect("the list");
        for endpoint in dying {
            list.index += 1;
            let index = list.index;
            let entry = &mut list.entries[*endpoint];
            (entry.status, entry.changed) = (status, index);
        }
        drop(list);
        self.list_changed.notify_all();
    }
}

fn option(name: &str) -> String {
    let args: Vec<String> = std::env::args().collect();
    let position = args.iter().position(|arg| arg == name).unwrap_or_else(|| panic!("{name} is missing"));
    args[position + 1].clone()
}

/// Listens on a free port below the range of outgoing connections.
fn listen(seed: &mut u64) -> TcpListener {
    loop {
        *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", 12_000 + ((*seed >> 33) % 18_000) as u16)) {
            return listener;
        }
    }
}

fn main() {
    let work = PathBuf::from(option("--work"));
    let trouble = option("--trouble") != "0";
    let mut seed = u64::from(std::process::id()) ^ now_ms() as u64;
    let endpoints: Vec<TcpListener> = (0..ENDPOINTS).map(|_| listen(&mut seed)).collect();
    let discovery = listen(&mut seed);
    let pilot = listen(&mut seed).local_addr().expect("an address");
    let entry = |(number, listener): (usize, &TcpListener)| Listed {
        // Ids carry no order: names are spread over the letters.
        name: format!("s-{:08x}", (number as u32 + 1).wrapping_mul(2_654_435_761)),
        address: listener.local_addr().expect("an address"),
        status: "up",
        changed: 1,
    };
    let list = List { index: 1, entries: endpoints.iter().enumerate().map(entry).collect() };
    let config = format!(
        r#"{{"name":"n1","listen":"{pilot}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{},"settings":{}}}"#,
        discovery.local_addr().expect("an address"),
        list.message(None),
        settings(ZONE)
    );
    let world = Arc::new(World {
        record: PathBuf::from(option("--record")),
        list: Mutex::new(list),
        list_changed: Condvar::new(),
        alive: (0..ENDPOINTS).map(|_| AtomicBool::new(true)).collect(),
        proxies: (0..PROXIES).map(|_| Mutex::default()).collect(),
        ended: AtomicBool::new(false),
    });
    for (number, listener) in endpoints.into_iter().enumerate() {
        let world = world.clone();
        spawn(move || serve_endpoint(number, listener, &world));
    }
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
    let names: Vec<String> = world.list.lock().expect("the list").entries.iter().map(|entry| entry.name.clone()).collect();
    for number in 0..PROXIES {
        let mut standing = BTreeMap::new();
        while standing.len() < STANDING {
            *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            standing.insert(names[(*seed >> 33) as usize % ENDPOINTS].clone(), 1.0);
        }
        let mut proxy = world.proxies[number].lock().expect("a proxy");
        proxy.tables = CLASSES.iter().map(|class| (class.to_string(), standing.clone())).collect();
        drop(proxy);
        let world = world.clone();
        spawn(move || run_proxy(number, pilot, &world));
    }
    let collector = world.clone();
    spawn(move || run_collector(pilot, &collector));
    // Until every proxy has its tables and they have been at rest for some seconds.
    let all_assigned = || world.proxies.iter().all(|proxy| proxy.lock().expect("a proxy").assigned.len() == CLASSES.len());
    while !all_assigned() {
        if started.elapsed() > Duration::from_secs(25) {
            world.note("cannot run: not every proxy got its tables");
            return 2;
        }
        judge(world);
        sleep(Duration::from_millis(20));
    }
    world.note("every proxy has its tables");
    judge_for(world, Duration::from_secs(5));
    let dying = dying(world, &names, seed);
    if trouble {
        world.note(&format!("trouble: {DYING} of {ENDPOINTS} endpoints die: {}", text(&dying, &names)));
        dying.iter().for_each(|endpoint| world.alive[*endpoint].store(false, Ordering::SeqCst));
    }
    judge_for(world, NOTICE);
    if trouble {
        world.set_status(&dying, "removed");
        world.note("discovery lists them as removed; 23 others are up and warm");
    }
    judge_for(world, Duration::from_secs(15));
    world.ended.store(true, Ordering::SeqCst);
    let longest = |proxy: &Mutex<Proxy>| proxy.lock().expect("a proxy").longest_bare;
    let broken = world.proxies.iter().filter(|proxy| longest(proxy) > LIMIT).count();
    let worst = world.proxies.iter().map(longest).max().unwrap_or_default();
    for (number, proxy) in world.proxies.iter().enumerate() {
        let proxy = proxy.lock().expect("a proxy");
        for class in CLASSES {
            world.note(&format!("at the end proxy {number} for {class}: {:?}", proxy.lines(class)));
        }
    }
    world.note(&format!(
        "{broken} of {PROXIES} proxies were without a line for longer than {} ms; the longest time was {} ms",
        LIMIT.as_millis(),
        worst.as_millis()
    ));
    println!("{broken} of {PROXIES} proxies were left without a line, for {} ms at the longest", worst.as_millis());
    i32::from(broken > 0)
}

fn text(endpoints: &[usize], names: &[String]) -> String {
    endpoints.iter().map(|endpoint| names[*endpoint].as_str()).collect::<Vec<_>>().join(" ")
}

/// The endpoints that die: those of whole tables as long as the share allows, then others; with `--draw random` any.
fn dying(world: &World, names: &[String], seed: &mut u64) -> Vec<usize> {
    if option("--draw") == "random" {
        let mut dying = BTreeSet::new();
        while dying.len() < DYING {
            *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            dying.insert((*seed >> 33) as usize % ENDPOINTS);
        }
        return dying.into_iter().collect();
    }
    let mut tables: BTreeSet<Vec<String>> = BTreeSet::new();
    for proxy in &world.proxies {
        let proxy = proxy.lock().expect("a proxy");
        tables.insert(proxy.lines(CLASSES[0]).iter().map(|name| name.to_string()).collect());
    }
    for table in &tables {
        world.note(&format!("a table that proxies have: {table:?}"));
    }
    let number = |name: &String| names.iter().position(|other| other == name).expect("listed");
    let mut dying: Vec<usize> = Vec::new();
    for table in tables {
        if dying.len() + table.len() <= DYING {
            dying.extend(table.iter().map(number));
        }
    }
    dying.extend((0..ENDPOINTS).filter(|other| !dying.contains(other)).collect::<Vec<_>>());
    dying.truncate(DYING);
    dying
}

fn judge_for(world: &World, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        judge(world);
        sleep(Duration::from_millis(20));
    }
}

/// While the list shows an endpoint that is up and not cold (here always), a joined proxy has to have a line for each class.
fn judge(world: &World) {
    for (number, proxy) in world.proxies.iter().enumerate() {
        let mut proxy = proxy.lock().expect("a proxy");
        for class in CLASSES {
            if !proxy.joined || !proxy.lines(class).is_empty() {
                if let Some(since) = proxy.bare_since.remove(class) {
                    world.note(&format!("proxy {number} has a line for {class} again after {} ms", since.elapsed().as_millis()));
                }
                continue;
            }
            if !proxy.bare_since.contains_key(class) {
                world.note(&format!("proxy {number} has no line for {class}"));
                proxy.bare_since.insert(class.to_string(), Instant::now());
            }
            let bare = proxy.bare_since[class].elapsed();
            proxy.longest_bare = proxy.longest_bare.max(bare);
        }
    }
}

fn answers_heartbeat(pilot: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(pilot) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut answer = [0; 64];
    stream.write_all(b"{\"t\":\"hb\"}\n").is_ok()
        && stream.read(&mut answer).is_ok_and(|read| String::from_utf8_lossy(&answer[..read]).contains("hb_ok"))
}

fn run_proxy(number: usize, pilot: SocketAddr, world: &Arc<World>) {
    let mut stream = TcpStream::connect(pilot).expect("the pilot listens");
    let _ = stream.set_nodelay(true);
    let line = format!("{{\"t\":\"attach\",\"node\":{number},\"locality\":\"{ZONE}\",\"w\":0.6,\"cold\":true}}\n");
    stream.write_all(line.as_bytes()).expect("sent");
    world.proxies[number].lock().expect("a proxy").joined = true;
    let mut usage = stream.try_clone().expect("a second handle");
    spawn(move || {
        loop {
            sleep(Duration::from_secs(1));
            for class in CLASSES {
                let line = format!(
                    "{{\"t\":\"client_stats\",\"node\":{number},\"route\":\"{class}\",\"total\":1,\"errors\":0,\"interval\":1000.0}}\n"
                );
                if usage.write_all(line.as_bytes()).is_err() {
                    return;
                }
            }
        }
    });
    for line in BufReader::new(stream.try_clone().expect("a second handle")).lines() {
        let Ok(line) = line else { break };
        if number < 3 {
            world.note(&format!("to proxy {number}: {line}"));
        }
        let mark = world.proxies[number].lock().expect("a proxy").take(Json::parse(&line));
        if let Some(mark) = mark {
            let done = format!("{{\"t\":\"done\",\"node\":{number},\"nonce\":{mark},\"latency\":1.0}}\n");
            if stream.write_all(done.as_bytes()).is_err() {
                break;
            }
        }
    }
    world.proxies[number].lock().expect("a proxy").joined = false;
    if !world.ended.load(Ordering::SeqCst) {
        world.note(&format!("the stream of proxy {number} ended"));
    }
}

/// Reports what proxies met: good tries at endpoints that live, failed ones at those that are dead.
fn run_collector(pilot: SocketAddr, world: &World) {
    let mut stream = TcpStream::connect(pilot).expect("the pilot listens");
    stream.write_all(format!("{{\"t\":\"telemetry\",\"locality\":\"{ZONE}\"}}\n").as_bytes()).expect("sent");
    loop {
        sleep(Duration::from_secs(1));
        let names: Vec<String> = world.list.lock().expect("the list").entries.iter().map(|entry| entry.name.clone()).collect();
        let used: BTreeSet<String> = world.proxies.iter().flat_map(|proxy| {
            let proxy = proxy.lock().expect("a proxy");
            proxy.lines(CLASSES[0]).iter().map(|name| name.to_string()).collect::<Vec<_>>()
        }).collect();
        for (number, name) in names.iter().enumerate().filter(|(_, name)| used.contains(*name)) {
            let errors = if world.alive[number].load(Ordering::SeqCst) { 0 } else { 5 };
            let line = format!(
                "{{\"t\":\"upstream_stats\",\"locality\":\"{ZONE}\",\"endpoint\":\"{name}\",\"total\":5,\"errors\":{errors},\"rtt\":400.0,\"interval\":1000.0}}\n"
            );
            if stream.write_all(line.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Answers health checks while the endpoint lives; its listener is closed when it dies.
fn serve_endpoint(number: usize, listener: TcpListener, world: &Arc<World>) {
    listener.set_nonblocking(true).expect("set");
    while world.alive[number].load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((mut stream, _)) => {
                spawn(move || {
                    let _ = stream.set_nonblocking(false);
                    let mut head = BufReader::new(stream.try_clone().expect("a second handle"));
                    let mut line = String::new();
                    while head.read_line(&mut line).is_ok_and(|read| read > 2) {
                        line.clear();
                    }
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
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
