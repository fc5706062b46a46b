//! Races between lists of the discovery service, and between a list and the end of its connection. Each race is forced:
//! the test sends every response itself.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;

use serde_json::{Value, json};

use crate::platform_controller::{FULL_TABLE, PlatformController};
use crate::platform_testbed::{CheckedEndpoint, Discovery, TEST_TIMEOUT, endpoint, entry, wall_clock_ms};

/// A discovery service that passes each call to the test, which sends the response.
struct ScriptedDiscovery {
    address: SocketAddr,
    calls: mpsc::Receiver<(String, TcpStream)>,
}

impl ScriptedDiscovery {
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
        ScriptedDiscovery { address, calls }
    }

    /// Waits for the next call on a new connection, and returns its head and the connection.
    fn next_call(&self) -> (String, TcpStream) {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("the controller sends a request")
    }
}

/// Reads the next call on an open connection.
fn next_call_on(stream: &mut TcpStream) -> String {
    let mut head = vec![0; 4096];
    let read = stream.read(&mut head).expect("the controller sends a request");
    String::from_utf8_lossy(&head[..read]).into_owned()
}

/// Returns a response with a list, or with the changes to one if `full` is false.
fn response(index: u64, full: bool, entries: &[Value]) -> String {
    let body = json!({"index": index, "snapshot": full, "endpoints": entries}).to_string();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn a_drain_from_the_old_discovery_is_applied_while_the_new_one_is_silent() {
    let (a, b) = (endpoint(), endpoint());
    let old = ScriptedDiscovery::start();
    let controller = PlatformController::start(old.address, 128);
    let (_, mut stream) = old.next_call();
    let up = [entry("s-a", a, "up", 0), entry("s-b", b, "up", 0)];
    stream.write_all(response(2, true, &up).as_bytes()).expect("written");
    let mut proxy = controller.attach_proxy(3, false);
    assert!(proxy.wait_for_line(&[FULL_TABLE]).is_some());
    assert!(next_call_on(&mut stream).contains("since=2"));
    let silent = ScriptedDiscovery::start();
    controller.switch_discovery(silent.address);
    let (_, _open_connection) = silent.next_call();
    stream.write_all(response(3, false, &[entry("s-b", b, "draining", 0)]).as_bytes()).expect("written");
    assert!(proxy.wait_for_line(&["[\"s-b\",0.0]"]).is_some());
}

#[test]
fn a_late_full_list_of_the_old_discovery_reverts_nothing() {
    let (a, b) = (endpoint(), endpoint());
    let up = [entry("s-a", a, "up", 0), entry("s-b", b, "up", 0)];
    let old = ScriptedDiscovery::start();
    let controller = PlatformController::start(old.address, 128);
    let (_, mut stream) = old.next_call();
    stream.write_all(response(2, true, &up).as_bytes()).expect("written");
    let mut proxy = controller.attach_proxy(3, false);
    assert!(proxy.wait_for_line(&[FULL_TABLE]).is_some());
    assert!(next_call_on(&mut stream).contains("since=2"));
    let new = ScriptedDiscovery::start();
    controller.switch_discovery(new.address);
    let (_, mut new_stream) = new.next_call();
    // Both responses have arrived when the controller resumes; the list of the old discovery is the later one.
    controller.pause();
    new_stream
        .write_all(response(5, true, &[up[0].clone(), entry("s-b", b, "draining", 0)]).as_bytes())
        .expect("written");
    stream.write_all(response(2, true, &up).as_bytes()).expect("written");
    controller.resume();
    assert!(proxy.wait_for_line(&["[\"s-b\",0.0]"]).is_some());
    assert!(next_call_on(&mut new_stream).contains("since=5"));
    new_stream
        .write_all(response(6, false, &[entry("s-c", endpoint(), "up", 0)]).as_bytes())
        .expect("written");
    let change = proxy.wait_for_line(&["s-c"]).expect("a change");
    assert!(!change.contains("s-b"), "{change}");
}

#[test]
fn a_watch_that_breaks_within_a_response_is_restarted() {
    let (a, b) = (endpoint(), endpoint());
    let discovery = ScriptedDiscovery::start();
    let controller = PlatformController::start(discovery.address, 128);
    let (_, mut stream) = discovery.next_call();
    let up = [entry("s-a", a, "up", 0), entry("s-b", b, "up", 0)];
    stream.write_all(response(2, true, &up).as_bytes()).expect("written");
    let mut proxy = controller.attach_proxy(3, false);
    assert!(proxy.wait_for_line(&[FULL_TABLE]).is_some());
    assert!(next_call_on(&mut stream).contains("since=2"));
    let change = response(3, false, &[entry("s-b", b, "draining", 0)]);
    stream.write_all(&change.as_bytes()[..change.len() - 20]).expect("written");
    // The connection stays open and silent: the controller repeats the call on a new one.
    let (call, mut second) = discovery.next_call();
    assert!(call.contains("since=2"), "{call}");
    second.write_all(change.as_bytes()).expect("written");
    assert!(proxy.wait_for_line(&["[\"s-b\",0.0]"]).is_some());
}

#[test]
fn an_endpoint_that_returns_at_another_address_is_health_checked_there() {
    let (a, before, after) = (endpoint(), CheckedEndpoint::start(), CheckedEndpoint::start());
    let discovery =
        Discovery::start(1, vec![entry("s-a", a, "up", 0), entry("s-b", before.address, "up", 0)]);
    let controller = PlatformController::start(discovery.address, 128);
    let mut proxy = controller.attach_proxy(3, false);
    assert!(proxy.wait_for_line(&[FULL_TABLE]).is_some());
    discovery.publish(vec![entry("s-a", a, "up", 0), entry("s-b", after.address, "up", wall_clock_ms())]);
    after.wait_for_checks(2);
    assert!(proxy.wait_for_line(&["[\"s-b\",0."]).is_some());
}
