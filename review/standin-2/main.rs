//! Stand-ins of the users' platform for the cases of the second review: discovery, endpoints, proxies, collectors and
//! the channel, as the users' pages describe them. It starts the pilot with the command of the deploy file, plays one
//! case and judges its rule.
//!
//!     standin CASE RECORD        (TROUBLE=0: without the disruption)
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. The standard library only.

mod cases;
mod json;
mod proxied;
mod world;

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use json::Json;
use world::{Site, World};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
/// prctl: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
/// The longest time of a case.
const CASE_LIMIT: Duration = Duration::from_secs(110);

pub fn ms(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1e3)
}

/// A sequence of numbers from 0 to 1, the same at each run.
pub struct Chance(AtomicU64);

impl Chance {
    pub fn next(&self) -> f64 {
        let mut x = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The pilot's process.
pub struct Pilot {
    pub child: Child,
    pub started_at: f64,
}

/// A case that is being played.
pub struct Play {
    pub world: Arc<World>,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    pub discovery: Mutex<SocketAddr>,
    pub run: String,
    pub pilot: Mutex<Option<Pilot>>,
    pub config: Mutex<String>,
    pub chance: Chance,
    pub starts: AtomicU64,
    pub crashed: Mutex<Option<String>>,
}

/// The port of the pilot and of endpoints. They have loopback addresses of their own, so that no port is taken by
/// another while nothing listens there.
const PORT: u16 = 8080;

/// Binds this many loopback addresses of a network that is not in use.
fn free_addresses(count: usize) -> std::io::Result<Vec<TcpListener>> {
    let process = std::process::id();
    for turn in 0..200 {
        let network = process.wrapping_mul(31).wrapping_add(turn * 7);
        let (high, low) = ((network % 200 + 20) as u8, (network / 200 % 250 + 1) as u8);
        let bind =
            |host: usize| TcpListener::bind(SocketAddr::from(([127, high, low, host as u8 + 1], PORT)));
        if let Ok(all) = (0..count).map(bind).collect::<std::io::Result<Vec<TcpListener>>>() {
            return Ok(all);
        }
    }
    Err(std::io::Error::other("no free loopback addresses"))
}

impl Play {
    pub fn new(site: Site, spare_endpoints: usize, record: &str) -> std::io::Result<Arc<Play>> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let deploy = std::fs::read_to_string("deploy/balancer.toml")?;
        let run = deploy.lines().find(|line| line.starts_with("run = \""));
        let run = run.and_then(|line| line.split('"').nth(1)).unwrap_or_default().to_string();
        let count = site.zones.len() * site.endpoints_per_zone + spare_endpoints;
        let mut held = free_addresses(count + 1)?;
        let pilot = held.pop().map(|listener| listener.local_addr());
        let listen = pilot.unwrap_or_else(|| Err(std::io::Error::other("no address")))?;
        let addresses: std::io::Result<Vec<SocketAddr>> = held.iter().map(TcpListener::local_addr).collect();
        let world = Arc::new(World::new(site, addresses?, File::create(record)?));
        let discovery = TcpListener::bind("127.0.0.1:0")?;
        let play = Arc::new(Play {
            world: world.clone(),
            folder,
            listen,
            discovery: Mutex::new(discovery.local_addr()?),
            run,
            pilot: Mutex::new(None),
            config: Mutex::new(String::new()),
            chance: Chance(AtomicU64::new(7)),
            starts: AtomicU64::new(0),
            crashed: Mutex::new(None),
        });
        serve_discovery(world.clone(), discovery, 0);
        for (number, listener) in held.into_iter().enumerate() {
            if world.site.probes {
                serve_endpoint(world.clone(), number, listener);
            }
        }
        let ticking = world.clone();
        spawn(move || {
            let mut last = ticking.now();
            let mut next_note = 1_000.0;
            loop {
                sleep(Duration::from_millis(2));
                ticking.apply_due();
                let now = ticking.now();
                if now - last >= 10.0 {
                    ticking.send_requests(now - last);
                    ticking.check_bare();
                    last = now;
                    if now >= next_note {
                        ticking.note_second();
                        next_note += 1_000.0;
                    }
                }
            }
        });
        for number in 0..world.site.proxies {
            let play = play.clone();
            spawn(move || run_proxy(&play, number));
        }
        let reporting = play.clone();
        spawn(move || send_reports(&reporting));
        let watched = play.clone();
        spawn(move || {
            sleep(CASE_LIMIT);
            watched.world.say("the case took too long");
            watched.end();
            std::process::exit(2);
        });
        let known = {
            let mut state = world.lock();
            state.known = world.whole_list(&state);
            state.known.clone()
        };
        world.say(&format!("list: {known}"));
        Ok(play)
    }

    /// Starts the pilot with the command of the deploy file and waits for its first answer to a sign of life.
    pub fn start_pilot(&self) -> Result<(), String> {
        let starts = self.starts.fetch_add(1, Ordering::Relaxed);
        let config_path = self.folder.join("config.json");
        let known = self.world.lock().known.clone();
        let (cores_sockets, memory) = self.world.site.limits;
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be9{starts:02x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory},\"sockets\":{cores_sockets}}},\"known\":{known},\"settings\":{}}}",
            self.listen,
            *self.discovery.lock().unwrap(),
            self.world.settings()
        );
        std::fs::write(&config_path, &config).map_err(|error| error.to_string())?;
        *self.config.lock().unwrap() = config;
        let private = self.folder.join(format!("tmp-{starts}"));
        std::fs::create_dir_all(&private).map_err(|error| error.to_string())?;
        let log = File::create(self.folder.join(format!("pilot-{starts}.log")))
            .map_err(|error| error.to_string())?;
        let out = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(&self.run)
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", self.listen.to_string())
            .env("LB_DISCOVERY", self.discovery.lock().unwrap().to_string())
            .env("LB_CONFIG", &config_path)
            .env("TMPDIR", &private)
            .stdin(std::process::Stdio::null())
            .stdout(out)
            .stderr(log);
        // The pilot ends with the stand-in, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        if starts == 0 {
            self.world.say(&format!("settings: {}", self.world.settings()));
        }
        let child = command.spawn().map_err(|error| error.to_string())?;
        let started_at = self.world.now();
        self.world.say(&format!("pilot starts: {}", self.run));
        self.world.told(u64::MAX, "known");
        *self.pilot.lock().unwrap() = Some(Pilot { child, started_at });
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
                if stream.write_all(b"{\"t\":\"hb\"}\n").is_ok() {
                    let mut line = String::new();
                    let _ = BufReader::new(&stream).read_line(&mut line);
                    if line.contains("hb_ok") {
                        let now = self.world.now();
                        let mut state = self.world.lock();
                        state.first_answer = Some(now);
                        self.world.note(&mut state, "pilot answers a sign of life");
                        return Ok(());
                    }
                }
            }
            if let Some(ended) = self.pilot_ended() {
                return Err(format!("the pilot ended at its start: {ended}"));
            }
            sleep(Duration::from_millis(5));
        }
        Err("the pilot gave no sign of life".into())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pilot) = &*self.pilot.lock().unwrap() {
            self.world.say(&format!("signal {signal} to the pilot"));
            unsafe { kill(pilot.child.id() as i32, signal) };
        }
    }

    pub fn pilot_ended(&self) -> Option<String> {
        let mut pilot = self.pilot.lock().unwrap();
        let status = pilot.as_mut()?.child.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Sends a signal that ends the pilot, and waits for its end.
    pub fn stop_pilot(&self, signal: i32) {
        self.signal(signal);
        let deadline = Instant::now() + Duration::from_millis(700);
        loop {
            if let Some(ended) = self.pilot_ended() {
                self.world.say(&format!("pilot ended: {ended}"));
                break;
            }
            if Instant::now() > deadline {
                self.signal(SIGKILL);
            }
            sleep(Duration::from_millis(5));
        }
        *self.pilot.lock().unwrap() = None;
        let mut state = self.world.lock();
        // What the pilot holds now is what it is given at its next start.
        state.known = self.world.whole_list(&state);
    }

    /// Moves discovery to another address: the configuration file is replaced and SIGHUP is sent.
    pub fn move_discovery(&self) {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else { return };
        let Ok(address) = listener.local_addr() else { return };
        let now = self.world.now();
        let number = {
            let mut state = self.world.lock();
            state.discovery_address += 1;
            state.discovery_moved_at = now;
            state.limits_from = now + 4_000.0;
            state.discovery_address
        };
        serve_discovery(self.world.clone(), listener, number);
        let old = std::mem::replace(&mut *self.discovery.lock().unwrap(), address);
        let mut config = self.config.lock().unwrap();
        *config = config.replace(&old.to_string(), &address.to_string());
        let path = self.folder.join("config.json");
        let new = self.folder.join("config.new");
        if std::fs::write(&new, &*config).is_ok() && std::fs::rename(new, path).is_ok() {
            self.signal(SIGHUP);
        }
    }

    /// Lets proxies dial, spread over a time.
    pub fn let_proxies_dial(&self, over_ms: f64) {
        let count = self.world.site.proxies;
        for number in 0..count {
            self.world.lock().proxies[number].may_dial = true;
            sleep(ms(over_ms / count as f64));
        }
    }

    /// Breaks the stream of a proxy, as a network does that resets the connection.
    pub fn break_stream(&self, number: usize) {
        let mut state = self.world.lock();
        self.world.note(&mut state, &format!("the stream of proxy {number} breaks"));
        if let Some(stream) = &state.proxies[number].stream {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn wait_until(&self, at_ms: f64) {
        while self.world.now() < at_ms {
            sleep(ms((at_ms - self.world.now()).min(100.0)));
            if let Some(ended) = self.pilot_ended() {
                self.crashed.lock().unwrap().get_or_insert(ended);
                return;
            }
        }
    }

    pub fn wait(&self, for_ms: f64) {
        self.wait_until(self.world.now() + for_ms);
    }

    fn end(&self) {
        self.world.lock().stopping = true;
        if let Some(pilot) = &mut *self.pilot.lock().unwrap() {
            let _ = pilot.child.kill();
            let _ = pilot.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    /// Ends everything, writes the result and returns the exit code.
    pub fn finish(&self, rule: &str) -> ExitCode {
        let crashed = self.crashed.lock().unwrap().clone().or_else(|| self.pilot_ended());
        self.end();
        let mut state = self.world.lock();
        let totals: Vec<String> =
            state.broken.iter().map(|(rule, count)| format!("{rule}: broken {count} times")).collect();
        let summary = format!(
            "most lines waiting {} of {}, most messages to one proxy in the span {} of {}, latest request to a drained endpoint {:.0} ms",
            state.most_waiting,
            self.world.site.queue_cap,
            state.most_messages,
            self.world.site.messages_most,
            state.latest_drain
        );
        self.world.note(&mut state, &summary);
        let count = state.broken.get(rule).copied().unwrap_or(0);
        let verdict = match (&crashed, count) {
            (Some(ended), _) => format!("the pilot ended by itself: {ended}"),
            (None, 0) => format!("the rule held: {rule}"),
            (None, count) => format!("the rule was broken: {rule}, {count} times"),
        };
        let text = format!("{verdict}; {}", totals.join(", "));
        self.world.note(&mut state, &text);
        println!("{text}");
        println!("{summary}");
        if crashed.is_some() {
            return ExitCode::from(if rule == "no crash" { 1 } else { 2 });
        }
        ExitCode::from(u8::from(count > 0))
    }
}

/// Discovery's agent on the pilot's machine.
fn serve_discovery(world: Arc<World>, listener: TcpListener, number: usize) {
    spawn(move || {
        let _ = listener.set_nonblocking(true);
        // A former address takes no new connection.
        while world.lock().discovery_address == number {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let world = world.clone();
                    spawn(move || answer_discovery(&world, stream, number));
                }
                Err(_) => sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|read| *read > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        if line.trim().is_empty() {
            return first.split_whitespace().nth(1).map(String::from);
        }
    }
}

fn answer_discovery(world: &World, stream: TcpStream, number_of_address: usize) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    let mut writer = stream;
    while let Some(path) = read_request(&mut reader) {
        let number = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let (body, up_to) = match number("since") {
            None => {
                let state = world.lock();
                (world.whole_list(&state), state.index)
            }
            Some(since) => {
                let deadline =
                    Instant::now() + Duration::from_millis(number("timeout_ms").unwrap_or(0).min(60_000));
                let mut state = world.lock();
                while state.index <= since && Instant::now() < deadline {
                    let left = deadline.saturating_duration_since(Instant::now());
                    state = world
                        .list_changed
                        .wait_timeout(state, left)
                        .map(|(state, _)| state)
                        .unwrap_or_else(|poisoned| poisoned.into_inner().0);
                }
                (world.changes(&state, since), state.index)
            }
        };
        let is_closed = {
            let state = world.lock();
            state.discovery_address != number_of_address && world.now() > state.discovery_moved_at + 1_500.0
        };
        if is_closed {
            return;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
        world.told(up_to, "discovery");
    }
}

/// An endpoint's listener, which exists while its process runs. Requests of proxies are counted, not sent: only the
/// pilot's probes come here.
fn serve_endpoint(world: Arc<World>, number: usize, held: TcpListener) {
    let address = world.lock().endpoints[number].address;
    spawn(move || {
        let mut listener = Some(held);
        loop {
            let runs = world.lock().endpoints[number].runs;
            if !runs {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let Some(open) = &listener else {
                sleep(Duration::from_millis(10));
                continue;
            };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                    let world = world.clone();
                    spawn(move || {
                        let Ok(clone) = stream.try_clone() else { return };
                        let mut reader = BufReader::new(clone);
                        let mut writer = stream;
                        if read_request(&mut reader).is_some() && world.lock().endpoints[number].runs {
                            world.lock().second.probes += 1;
                            while world.lock().endpoints[number].hangs {
                                sleep(Duration::from_millis(50));
                            }
                            let body = if world.site.report.0 == "on_probe" {
                                "inflight=2,queue=0,util=0.40"
                            } else {
                                ""
                            };
                            let _ = write!(
                                writer,
                                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
                                body.len()
                            );
                        }
                    });
                }
                Err(_) => sleep(Duration::from_millis(3)),
            }
        }
    });
}

/// A proxy: dials while it may, joins, and takes messages until its stream ends.
fn run_proxy(play: &Play, number: usize) {
    let world = &play.world;
    loop {
        let may_dial = {
            let state = world.lock();
            state.proxies[number].may_dial && state.proxies[number].reaches_pilot
        };
        if !may_dial {
            sleep(Duration::from_millis(5));
            continue;
        }
        if world.lock().stopping {
            return;
        }
        if let Ok(stream) = TcpStream::connect(play.listen) {
            let _ = stream.set_nodelay(true);
            let line = world.attach_line(number);
            let (Ok(mut writer), Ok(reader)) = (stream.try_clone(), stream.try_clone()) else { continue };
            let is_sent = writer.write_all(line.as_bytes()).is_ok();
            drop(writer);
            if is_sent {
                let generation = world.joined(number, stream);
                let why = read_stream(world, number, generation, reader);
                world.left(number, generation, &why);
            }
        }
        let (least, most) = world.site.redial_ms;
        sleep(ms(least + (most - least) * play.chance.next()));
    }
}

fn read_stream(world: &World, number: usize, generation: u64, stream: TcpStream) -> String {
    let mut parts = Vec::new();
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = Vec::new();
        match reader.by_ref().take(1 << 20).read_until(b'\n', &mut line) {
            Ok(0) => return "the stream ended".into(),
            Err(error) => return error.to_string(),
            Ok(_) => {}
        }
        let text = String::from_utf8_lossy(&line).into_owned();
        let Some(message) = Json::parse(text.trim()) else { return format!("can't read {text:?}") };
        match message.get("t").and_then(Json::text) {
            Some("assign") => {
                let continued = message.get("continued") == Some(&Json::Bool(true));
                parts.push(message);
                if !continued {
                    world.enter_channel(number, generation, std::mem::take(&mut parts));
                }
            }
            other => return format!("got {other:?}: {}", text.trim()),
        }
    }
}

/// Collectors: one connection a zone; what was met in a period is reported late.
fn send_reports(play: &Play) {
    let world = &play.world;
    let zones = world.site.zones.len();
    let mut collectors: Vec<Option<TcpStream>> = (0..zones).map(|_| None).collect();
    let mut late: Vec<(f64, Vec<(usize, String)>)> = Vec::new();
    let mut next = world.site.period_ms;
    loop {
        sleep(Duration::from_millis(10));
        let now = world.now();
        if now >= next {
            next += world.site.period_ms;
            late.push((now + world.site.heard_late_ms, world.take_reports()));
        }
        if world.lock().first_answer.is_none() {
            continue;
        }
        while late.first().is_some_and(|(at, _)| *at <= now) {
            let (_, lines) = late.remove(0);
            world.lock().second.reports += lines.len();
            for (zone, collector) in collectors.iter_mut().enumerate() {
                if collector.is_none() {
                    *collector = TcpStream::connect(play.listen).ok();
                    if let Some(stream) = collector {
                        let line =
                            format!("{{\"t\":\"telemetry\",\"locality\":\"{}\"}}\n", world.site.zones[zone]);
                        let _ = stream.write_all(line.as_bytes());
                    }
                }
                let text: String =
                    lines.iter().filter(|(of, _)| *of == zone).map(|(_, line)| line.as_str()).collect();
                if let Some(stream) = collector
                    && stream.write_all(text.as_bytes()).is_err()
                {
                    *collector = None;
                }
            }
        }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    match cases::play(case, record, trouble) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("the case can't run: {error}");
            ExitCode::from(2)
        }
    }
}
