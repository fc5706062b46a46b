//! Races between the end of a connection or of the controller and messages that are still pending. Each race is forced:
//! the test stops reading, or stops the process of the controller.

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::{Value, json};
use socket2::SockRef;

use crate::platform_controller::{
    FULL_TABLE, PlatformController, Proxy, attach_message, free_address, reserve_address,
};
use crate::platform_testbed::{Discovery, TEST_TIMEOUT, endpoint, entry};

const HEARTBEAT: &str = "{\"t\":\"hb\"}\n";
/// The number of endpoints with long names whose table fills the buffers of a socket.
const LONG_LIST_LENGTH: usize = 2000;

fn one_endpoint_testbed() -> (Discovery, PlatformController) {
    let discovery = Discovery::start(1, vec![entry("s-a", endpoint(), "up", 0)]);
    let controller = PlatformController::start(discovery.address, 256);
    (discovery, controller)
}

/// Returns a list whose table fills the buffers of a socket. Only its first endpoint has the given status.
fn long_list(first: &str, status: &str) -> Vec<Value> {
    list_of_long_names(first, status, 200)
}

/// Returns a list of [`LONG_LIST_LENGTH`] endpoints whose names have about `name_length` letters.
fn list_of_long_names(first: &str, status: &str, name_length: usize) -> Vec<Value> {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let name = |at| format!("s-{at}-{}", "long".repeat(name_length / 4));
    let others = (0..LONG_LIST_LENGTH - 1).map(|at| entry(&name(at), address, "up", 0));
    std::iter::once(entry(first, address, status, 0)).chain(others).collect()
}

/// Starts a controller without health checks whose capacity to send is enough for long tables.
fn controller_with_long_tables(discovery: &Discovery) -> PlatformController {
    PlatformController::start_with(free_address(), discovery.address, 256, |config| {
        config["settings"]["policy_limits"]["probes"] = json!(false);
        config["settings"]["specifics"]["queue_cap"] = json!(1e6);
        config["settings"]["specifics"]["egress_per_s"] = json!(1e6);
    })
}

/// Waits until bytes can be read, without reading them.
fn wait_for_bytes(proxy: &Proxy) {
    proxy.stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    assert!(proxy.stream.peek(&mut [0; 64]).expect("a message") > 0);
}

/// Attaches a proxy whose small receive buffer makes the controller's write stall within a message.
fn attach_slow_reader(controller: &PlatformController, proxy: usize) -> Proxy {
    let mut slow = controller.connect();
    SockRef::from(&slow.stream).set_recv_buffer_size(1 << 16).expect("set");
    slow.send(&attach_message(proxy));
    slow
}

#[test]
fn a_client_that_shuts_down_its_sending_direction_receives_its_answer() {
    let (_discovery, controller) = one_endpoint_testbed();
    for _ in 0..40 {
        // The heartbeat and the end of the stream have both arrived when the controller reads.
        let mut client = controller.connect();
        controller.pause();
        client.send(HEARTBEAT);
        client.close_write();
        controller.resume();
        let received = client.read_to_end().expect("an orderly close");
        assert!(received.contains("hb_ok"), "{received:?}");
    }
}

#[test]
fn a_last_line_without_a_newline_is_processed_and_a_truncated_one_rejected() {
    let (_discovery, controller) = one_endpoint_testbed();
    for (sent, expected) in
        [(HEARTBEAT.trim_end(), "hb_ok"), (&HEARTBEAT[..7], "reject"), ("{\"t\":\"attach\"", "reject")]
    {
        let mut client = controller.connect();
        client.send(sent);
        client.close_write();
        let received = client.read_to_end().expect("an orderly close");
        assert!(received.contains(expected), "{sent:?}: {received:?}");
    }
}

#[test]
fn unread_bytes_do_not_discard_the_last_message() {
    let (_discovery, controller) = one_endpoint_testbed();
    for _ in 0..20 {
        let mut client = controller.connect();
        // Both parts have arrived when the controller reads; it answers the first line.
        controller.pause();
        client.send("GET / HTTP/1.1\r\n");
        client.send(&"x".repeat(1 << 16));
        controller.resume();
        let received = client.read_to_end().expect("an orderly close, not a reset");
        assert!(received.contains("reject"), "{received:?}");
    }
}

#[test]
fn connections_reset_before_accept_or_read_do_not_affect_others() {
    let (_discovery, controller) = one_endpoint_testbed();
    controller.connect();
    controller.pause();
    for at in 0..200 {
        let mut client = controller.connect();
        if at % 2 == 0 {
            client.send(&attach_message(5));
        }
        client.reset();
    }
    let mut proxy = controller.connect();
    proxy.send(&attach_message(3));
    controller.resume();
    assert!(proxy.wait_for_line(&[FULL_TABLE]).is_some());
    assert!(controller.attach_proxy(5, false).wait_for_line(&[FULL_TABLE]).is_some());
}

#[test]
fn a_heartbeat_is_answered_before_its_connection_is_closed_for_capacity() {
    let discovery = Discovery::start(1, vec![entry("s-a", endpoint(), "up", 0)]);
    let controller = PlatformController::start(discovery.address, 64);
    controller.connect();
    let mut clients: Vec<Proxy> = (0..150).map(|_| controller.connect()).collect();
    clients.iter_mut().for_each(|client| client.send(HEARTBEAT));
    for client in &mut clients {
        let received = client.read_to_end().expect("an orderly close");
        assert!(received.contains("hb_ok") && received.contains("reject"), "{received:?}");
    }
}

#[test]
fn an_attach_that_is_unread_at_its_deadline_is_accepted() {
    let (_discovery, controller) = one_endpoint_testbed();
    let mut proxies: Vec<Proxy> = (0..8).map(|_| controller.connect()).collect();
    // A later connection is answered, so all of these have been accepted.
    let mut heartbeat = controller.connect();
    heartbeat.send(HEARTBEAT);
    assert!(heartbeat.wait_for_line(&["hb_ok"]).is_some());
    controller.pause();
    (0..8).zip(&mut proxies).for_each(|(at, proxy)| proxy.send(&attach_message(at)));
    thread::sleep(Duration::from_millis(1700));
    controller.resume();
    assert!(proxies.iter_mut().all(|proxy| proxy.wait_for_line(&[FULL_TABLE]).is_some()));
}

#[test]
fn simultaneous_attaches_are_all_accepted_and_heartbeats_answered() {
    let discovery = Discovery::start(1, vec![entry("s-a", endpoint(), "up", 0)]);
    let controller = PlatformController::start_with(free_address(), discovery.address, 4096, |config| {
        config["settings"]["specifics"]["agents"] = json!(1500);
        config["settings"]["specifics"]["queue_cap"] = json!(100_000);
        config["settings"]["specifics"]["egress_per_s"] = json!(50_000);
    });
    controller.connect();
    controller.pause();
    let mut attaching: Vec<Proxy> = (0..1500)
        .map(|at| {
            let stream = TcpStream::connect_timeout(&controller.listen, Duration::from_millis(800));
            let mut proxy = Proxy::new(stream.expect("the accept queue has capacity"));
            proxy.send(&attach_message(at));
            proxy
        })
        .collect();
    let mut heartbeat = controller.connect();
    heartbeat.send(HEARTBEAT);
    controller.resume();
    assert!(heartbeat.wait_for_line(&["hb_ok"]).is_some());
    assert!(attaching.iter_mut().all(|proxy| proxy.wait_for_line(&[FULL_TABLE]).is_some()));
}

#[test]
fn a_partially_written_message_is_completed_at_shutdown() {
    let discovery = Discovery::start(1, long_list("s-a", "up"));
    let mut controller = controller_with_long_tables(&discovery);
    let mut slow = attach_slow_reader(&controller, 3);
    wait_for_bytes(&slow);
    SockRef::from(&slow.stream).set_recv_buffer_size(1 << 20).expect("set");
    controller.signal(Signal::TERM);
    let received = slow.read_to_end().expect("an orderly close");
    let table: Value =
        serde_json::from_str(received.lines().next().expect("a line")).expect("a complete message");
    assert_eq!(table["endpoints"].as_array().map(Vec::len), Some(LONG_LIST_LENGTH));
    assert_eq!(controller.exit_code_within(Duration::from_millis(700)), Some(0));
}

/// Guards against a `reject` that is lost because an earlier message is partially written.
#[test]
fn a_reject_behind_a_partially_written_message_is_written() {
    // The table is longer than the 4 MiB that the kernel buffers for one connection.
    let discovery = Discovery::start(1, list_of_long_names("s-a", "up", 3000));
    let controller = controller_with_long_tables(&discovery);
    let mut slow = attach_slow_reader(&controller, 3);
    wait_for_bytes(&slow);
    slow.send("this is no message\n");
    thread::sleep(Duration::from_millis(150));
    SockRef::from(&slow.stream).set_recv_buffer_size(1 << 20).expect("set");
    let received = slow.read_to_end().expect("an orderly close");
    let lines: Vec<Value> =
        received.lines().map(|line| serde_json::from_str(line).expect("a complete message")).collect();
    let entries = lines.iter().filter_map(|line| line["endpoints"].as_array()).map(Vec::len);
    assert_eq!(entries.sum::<usize>(), LONG_LIST_LENGTH);
    assert_eq!(lines.last().map(|last| &last["t"]), Some(&json!("reject")));
}

#[test]
fn a_reader_that_stalls_within_a_message_receives_all_of_it_and_then_the_latest_change() {
    let discovery = Discovery::start(1, long_list("s-a", "up"));
    let controller = controller_with_long_tables(&discovery);
    let mut slow = attach_slow_reader(&controller, 3);
    wait_for_bytes(&slow);
    let mut other = controller.attach_proxy(4, false);
    assert!(other.wait_for_line(&[FULL_TABLE]).is_some());
    discovery.publish(long_list("s-a", "draining"));
    assert!(other.wait_for_line(&["[\"s-a\",0.0]"]).is_some());
    SockRef::from(&slow.stream).set_recv_buffer_size(1 << 20).expect("set");
    let first = slow.wait_for_line(&[FULL_TABLE]).expect("a message");
    let table: Value = serde_json::from_str(&first).expect("a complete message");
    assert_eq!(table["endpoints"].as_array().map(Vec::len), Some(LONG_LIST_LENGTH));
    let change = slow.wait_for_line(&["s-a"]).expect("a change");
    assert!(change.contains("[[\"s-a\",0.0]]"), "{change}");
}

#[test]
fn a_newer_stream_receives_its_table_while_a_message_to_the_older_one_is_partially_written() {
    let discovery = Discovery::start(1, long_list("s-a", "up"));
    let controller = controller_with_long_tables(&discovery);
    let older = attach_slow_reader(&controller, 3);
    wait_for_bytes(&older);
    let mut newer = controller.attach_proxy(3, false);
    let table = newer.wait_for_line(&[FULL_TABLE]).expect("a table");
    assert!(serde_json::from_str::<Value>(&table).is_ok());
    drop(older);
    discovery.publish(long_list("s-a", "draining"));
    assert!(newer.wait_for_line(&["[\"s-a\",0.0]"]).is_some());
}

#[test]
fn a_controller_whose_address_is_in_use_waits_and_handles_signals() {
    let discovery = Discovery::start(1, vec![entry("s-a", endpoint(), "up", 0)]);
    let (reserved, listen) = reserve_address();
    let mut controller = PlatformController::start_with(listen, discovery.address, 128, |_| {});
    controller.wait_for_signal_handlers();
    controller.signal(Signal::HUP);
    drop(reserved);
    let mut heartbeat = controller.connect();
    heartbeat.send(HEARTBEAT);
    assert!(heartbeat.wait_for_line(&["hb_ok"]).is_some());
    controller.signal(Signal::TERM);
    assert_eq!(controller.exit_code_within(Duration::from_millis(700)), Some(0));

    let (_reserved, listen) = reserve_address();
    let mut controller = PlatformController::start_with(listen, discovery.address, 128, |_| {});
    controller.wait_for_signal_handlers();
    controller.signal(Signal::TERM);
    assert_eq!(controller.exit_code_within(Duration::from_millis(700)), Some(0));
}

#[test]
fn a_second_sigterm_neither_delays_nor_repeats_the_shutdown() {
    let discovery = Discovery::start(1, long_list("s-a", "up"));
    let mut controller = controller_with_long_tables(&discovery);
    let slow = attach_slow_reader(&controller, 3);
    wait_for_bytes(&slow);
    controller.signal(Signal::TERM);
    controller.signal(Signal::TERM);
    assert_eq!(controller.exit_code_within(Duration::from_millis(700)), Some(0));
}
