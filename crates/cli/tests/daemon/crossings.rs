//! Instants at which something ends while something is still owed, each forced: the test holds the other end, or
//! the pilot itself.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::{Value, json};
use socket2::SockRef;

use crate::stand::{Discovery, House, Probed, Proxy, SOON, attach, endpoint, entry, free, wall};

const ALIVE: &str = "{\"t\":\"hb\"}\n";
/// So many endpoints with long names make a table that fills the buffers of a socket.
const LONG: usize = 2000;
const FULL: &str = "\"full\":true";

fn one_endpoint() -> (Discovery, House) {
    let discovery = Discovery::start(1, vec![entry("s-a", endpoint(), "up", 0)]);
    let house = House::start(discovery.address, 256);
    (discovery, house)
}

/// A list so long that its table fills the buffers of a socket; nothing probes its endpoints.
fn long_list(first: &str, status: &str) -> Vec<Value> {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let name = |at| format!("s-{at}-{}", "long".repeat(50));
    let others = (0..LONG - 1).map(|at| entry(&name(at), address, "up", 0));
    std::iter::once(entry(first, address, status, 0)).chain(others).collect()
}

fn long_tables(discovery: &Discovery) -> House {
    House::with(free(), discovery.address, 256, |config| {
        config["settings"]["policy_limits"]["probes"] = json!(false);
        config["settings"]["specifics"]["queue_cap"] = json!(1e6);
        config["settings"]["specifics"]["egress_per_s"] = json!(1e6);
    })
}

/// Waits until bytes of the message lie here, without reading one.
fn begun(proxy: &Proxy) {
    proxy.stream.set_read_timeout(Some(SOON)).expect("set");
    assert!(proxy.stream.peek(&mut [0; 64]).expect("a message comes") > 0);
}

/// The proxy's small room to read into makes the pilot wait in the middle of a message.
fn slow_reader(house: &House, proxy: usize) -> Proxy {
    let mut slow = house.connect();
    SockRef::from(&slow.stream).set_recv_buffer_size(1 << 16).expect("set");
    slow.say(&attach(proxy));
    slow
}

#[test]
fn a_peer_that_closes_its_sending_side_still_gets_its_answer() {
    let (_discovery, house) = one_endpoint();
    for _ in 0..40 {
        // Both lie there when the pilot looks: the question, and the end of what will be asked.
        let mut stranger = house.connect();
        house.hold();
        stranger.say(ALIVE);
        stranger.closes_half();
        house.go_on();
        let heard = stranger.rest().expect("a good close");
        assert!(heard.contains("hb_ok"), "{heard:?}");
    }
}

#[test]
fn a_last_line_without_its_end_is_heard_and_a_cut_one_rejected() {
    let (_discovery, house) = one_endpoint();
    for (said, wanted) in
        [(ALIVE.trim_end(), "hb_ok"), (&ALIVE[..7], "reject"), ("{\"t\":\"attach\"", "reject")]
    {
        let mut stranger = house.connect();
        stranger.say(said);
        stranger.closes_half();
        let heard = stranger.rest().expect("a good close");
        assert!(heard.contains(wanted), "{said:?}: {heard:?}");
    }
}

#[test]
fn unread_bytes_do_not_take_the_last_word_along() {
    let (_discovery, house) = one_endpoint();
    for _ in 0..20 {
        let mut stranger = house.connect();
        // The pilot finds it all at once, and has something to say to the first line.
        house.hold();
        stranger.say("GET / HTTP/1.1\r\n");
        stranger.say(&"x".repeat(1 << 16));
        house.go_on();
        let heard = stranger.rest().expect("a good close, not a reset");
        assert!(heard.contains("reject"), "{heard:?}");
    }
}

#[test]
fn connections_reset_before_they_are_taken_or_read_cost_nobody_else_anything() {
    let (_discovery, house) = one_endpoint();
    house.connect();
    house.hold();
    for at in 0..200 {
        let mut stranger = house.connect();
        if at % 2 == 0 {
            stranger.say(&attach(5));
        }
        stranger.resets();
    }
    let mut proxy = house.connect();
    proxy.say(&attach(3));
    house.go_on();
    assert!(proxy.until(&[FULL]).is_some());
    assert!(house.join(5, false).until(&[FULL]).is_some());
}

#[test]
fn a_sign_of_life_is_answered_before_its_connection_makes_room() {
    let discovery = Discovery::start(1, vec![entry("s-a", endpoint(), "up", 0)]);
    let house = House::start(discovery.address, 64);
    house.connect();
    let mut strangers: Vec<Proxy> = (0..150).map(|_| house.connect()).collect();
    strangers.iter_mut().for_each(|stranger| stranger.say(ALIVE));
    for stranger in &mut strangers {
        let heard = stranger.rest().expect("a good close");
        assert!(heard.contains("hb_ok") && heard.contains("reject"), "{heard:?}");
    }
}

#[test]
fn a_joining_that_lies_unread_when_its_time_is_over_counts() {
    let (_discovery, house) = one_endpoint();
    let mut proxies: Vec<Proxy> = (0..8).map(|_| house.connect()).collect();
    // All are taken by now: a later one was answered.
    let mut life = house.connect();
    life.say(ALIVE);
    assert!(life.until(&["hb_ok"]).is_some());
    house.hold();
    (0..8).zip(&mut proxies).for_each(|(at, proxy)| proxy.say(&attach(at)));
    thread::sleep(Duration::from_millis(1700));
    house.go_on();
    assert!(proxies.iter_mut().all(|proxy| proxy.until(&[FULL]).is_some()));
}

#[test]
fn a_herd_that_comes_at_once_is_taken_whole_and_signs_of_life_are_answered() {
    let discovery = Discovery::start(1, vec![entry("s-a", endpoint(), "up", 0)]);
    let house = House::with(free(), discovery.address, 4096, |config| {
        config["settings"]["specifics"]["agents"] = json!(1500);
        config["settings"]["specifics"]["queue_cap"] = json!(100_000);
        config["settings"]["specifics"]["egress_per_s"] = json!(50_000);
    });
    house.connect();
    house.hold();
    let mut herd: Vec<Proxy> = (0..1500)
        .map(|at| {
            let stream = TcpStream::connect_timeout(&house.listen, Duration::from_millis(800));
            let mut proxy = Proxy::new(stream.expect("the queue of the listener has room"));
            proxy.say(&attach(at));
            proxy
        })
        .collect();
    let mut life = house.connect();
    life.say(ALIVE);
    house.go_on();
    assert!(life.until(&["hb_ok"]).is_some());
    assert!(herd.iter_mut().all(|proxy| proxy.until(&[FULL]).is_some()));
}

#[test]
fn a_message_that_is_half_written_at_the_end_is_finished() {
    let discovery = Discovery::start(1, long_list("s-a", "up"));
    let mut house = long_tables(&discovery);
    let mut slow = slow_reader(&house, 3);
    begun(&slow);
    SockRef::from(&slow.stream).set_recv_buffer_size(1 << 20).expect("set");
    house.signal(Signal::TERM);
    let heard = slow.rest().expect("a good close");
    let table: Value = serde_json::from_str(heard.lines().next().expect("a line")).expect("a whole message");
    assert_eq!(table["endpoints"].as_array().map(Vec::len), Some(LONG));
    assert_eq!(house.ended(Duration::from_millis(700)), Some(0));
}

#[test]
fn a_reader_that_stops_within_a_message_gets_all_of_it_and_then_the_last_word() {
    let discovery = Discovery::start(1, long_list("s-a", "up"));
    let house = long_tables(&discovery);
    let mut slow = slow_reader(&house, 3);
    begun(&slow);
    let mut other = house.join(4, false);
    assert!(other.until(&[FULL]).is_some());
    discovery.tell(long_list("s-a", "draining"));
    assert!(other.until(&["[\"s-a\",0.0]"]).is_some());
    SockRef::from(&slow.stream).set_recv_buffer_size(1 << 20).expect("set");
    let first = slow.until(&[FULL]).expect("a message");
    let table: Value = serde_json::from_str(&first).expect("a whole message");
    assert_eq!(table["endpoints"].as_array().map(Vec::len), Some(LONG));
    let change = slow.until(&["s-a"]).expect("a change");
    assert!(change.contains("[[\"s-a\",0.0]]"), "{change}");
}

#[test]
fn a_newer_stream_gets_its_table_while_the_older_ones_message_is_half_written() {
    let discovery = Discovery::start(1, long_list("s-a", "up"));
    let house = long_tables(&discovery);
    let older = slow_reader(&house, 3);
    begun(&older);
    let mut newer = house.join(3, false);
    let table = newer.until(&[FULL]).expect("a table");
    assert!(serde_json::from_str::<Value>(&table).is_ok());
    drop(older);
    discovery.tell(long_list("s-a", "draining"));
    assert!(newer.until(&["[\"s-a\",0.0]"]).is_some());
}

/// A discovery of which each answer is given by the test.
struct Scripted {
    address: SocketAddr,
    calls: mpsc::Receiver<(String, TcpStream)>,
}

impl Scripted {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let (sender, calls) = mpsc::channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut head = vec![0; 4096];
                let read = stream.read(&mut head).unwrap_or(0);
                let _ = sender.send((String::from_utf8_lossy(&head[..read]).into_owned(), stream));
            }
        });
        Scripted { address, calls }
    }

    /// The next call on a connection of its own.
    fn called(&self) -> (String, TcpStream) {
        self.calls.recv_timeout(SOON).expect("the pilot calls")
    }
}

/// The next call on a connection that stands.
fn again(stream: &mut TcpStream) -> String {
    let mut head = vec![0; 4096];
    let read = stream.read(&mut head).expect("the pilot calls");
    String::from_utf8_lossy(&head[..read]).into_owned()
}

fn answer(index: u64, whole: bool, entries: &[Value]) -> String {
    let body = json!({"index": index, "snapshot": whole, "endpoints": entries}).to_string();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn a_drain_told_by_the_old_discovery_while_the_new_one_is_silent_is_passed_on() {
    let (a, b) = (endpoint(), endpoint());
    let old = Scripted::start();
    let house = House::start(old.address, 128);
    let (_, mut stream) = old.called();
    let up = [entry("s-a", a, "up", 0), entry("s-b", b, "up", 0)];
    stream.write_all(answer(2, true, &up).as_bytes()).expect("written");
    let mut proxy = house.join(3, false);
    assert!(proxy.until(&[FULL]).is_some());
    assert!(again(&mut stream).contains("since=2"));
    let silent = Scripted::start();
    house.move_discovery(silent.address);
    let (_, _held) = silent.called();
    stream.write_all(answer(3, false, &[entry("s-b", b, "draining", 0)]).as_bytes()).expect("written");
    assert!(proxy.until(&["[\"s-b\",0.0]"]).is_some());
}

#[test]
fn a_late_whole_list_of_the_old_discovery_takes_nothing_back() {
    let (a, b) = (endpoint(), endpoint());
    let up = [entry("s-a", a, "up", 0), entry("s-b", b, "up", 0)];
    let old = Scripted::start();
    let house = House::start(old.address, 128);
    let (_, mut stream) = old.called();
    stream.write_all(answer(2, true, &up).as_bytes()).expect("written");
    let mut proxy = house.join(3, false);
    assert!(proxy.until(&[FULL]).is_some());
    assert!(again(&mut stream).contains("since=2"));
    let new = Scripted::start();
    house.move_discovery(new.address);
    let (_, mut told) = new.called();
    // Both lie there when the pilot goes on, in the wrong order.
    house.hold();
    told.write_all(answer(5, true, &[up[0].clone(), entry("s-b", b, "draining", 0)]).as_bytes())
        .expect("written");
    stream.write_all(answer(2, true, &up).as_bytes()).expect("written");
    house.go_on();
    assert!(proxy.until(&["[\"s-b\",0.0]"]).is_some());
    assert!(again(&mut told).contains("since=5"));
    told.write_all(answer(6, false, &[entry("s-c", endpoint(), "up", 0)]).as_bytes()).expect("written");
    let change = proxy.until(&["s-c"]).expect("a change");
    assert!(!change.contains("s-b"), "{change}");
}

#[test]
fn a_watch_that_dies_halfway_through_an_answer_is_begun_anew() {
    let (a, b) = (endpoint(), endpoint());
    let discovery = Scripted::start();
    let house = House::start(discovery.address, 128);
    let (_, mut stream) = discovery.called();
    let up = [entry("s-a", a, "up", 0), entry("s-b", b, "up", 0)];
    stream.write_all(answer(2, true, &up).as_bytes()).expect("written");
    let mut proxy = house.join(3, false);
    assert!(proxy.until(&[FULL]).is_some());
    assert!(again(&mut stream).contains("since=2"));
    let change = answer(3, false, &[entry("s-b", b, "draining", 0)]);
    stream.write_all(&change.as_bytes()[..change.len() - 20]).expect("written");
    // It stays open and silent: a new connection asks for the same.
    let (call, mut second) = discovery.called();
    assert!(call.contains("since=2"), "{call}");
    second.write_all(change.as_bytes()).expect("written");
    assert!(proxy.until(&["[\"s-b\",0.0]"]).is_some());
}

#[test]
fn an_endpoint_that_comes_back_at_another_address_is_probed_there() {
    let (a, before, after) = (endpoint(), Probed::start(), Probed::start());
    let discovery =
        Discovery::start(1, vec![entry("s-a", a, "up", 0), entry("s-b", before.address, "up", 0)]);
    let house = House::start(discovery.address, 128);
    let mut proxy = house.join(3, false);
    assert!(proxy.until(&[FULL]).is_some());
    discovery.tell(vec![entry("s-a", a, "up", 0), entry("s-b", after.address, "up", wall())]);
    after.asked(2);
    assert!(proxy.until(&["[\"s-b\",0."]).is_some());
}

#[test]
fn while_its_address_is_taken_a_pilot_waits_and_heeds_signals() {
    let discovery = Discovery::start(1, vec![entry("s-a", endpoint(), "up", 0)]);
    let taken = TcpListener::bind("127.0.0.1:0").expect("bound");
    let listen = taken.local_addr().expect("bound");
    let mut house = House::with(listen, discovery.address, 128, |_| {});
    house.heeds_signals();
    house.signal(Signal::HUP);
    drop(taken);
    let mut life = house.connect();
    life.say(ALIVE);
    assert!(life.until(&["hb_ok"]).is_some());
    house.signal(Signal::TERM);
    assert_eq!(house.ended(Duration::from_millis(700)), Some(0));

    let taken = TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut house = House::with(taken.local_addr().expect("bound"), discovery.address, 128, |_| {});
    house.heeds_signals();
    house.signal(Signal::TERM);
    assert_eq!(house.ended(Duration::from_millis(700)), Some(0));
}

#[test]
fn told_to_end_twice_a_pilot_ends_once_and_at_once() {
    let discovery = Discovery::start(1, long_list("s-a", "up"));
    let mut house = long_tables(&discovery);
    let slow = slow_reader(&house, 3);
    begun(&slow);
    house.signal(Signal::TERM);
    house.signal(Signal::TERM);
    assert_eq!(house.ended(Duration::from_millis(700)), Some(0));
}
