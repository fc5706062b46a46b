//! Clients of `lockcroft platform`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::json;

use crate::clients::{
    connect_with_small_window, discard_received, longest_answer_during_flood, run_alone, send_some,
};
use crate::platform_controller::{PlatformController, attach_message, free_address};
use crate::platform_testbed::{Discovery, endpoint, entry};
use crate::process_memory::assert_memory_below;

/// The smallest memory limit of a controller's machine; the platform kills a process above it.
const MEMORY_LIMIT_MB: u64 = 32;
const MAX_SOCKETS: usize = 1024;
const PROXIES: usize = 400;
/// The longest message that the protocol allows, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

fn start_controller() -> PlatformController {
    let discovery = Discovery::start(2, vec![entry("s-a", endpoint(), "up", 0)]);
    PlatformController::start_with(free_address(), discovery.address, MAX_SOCKETS, |config| {
        config["limits"]["memory_mb"] = json!(MEMORY_LIMIT_MB);
        config["settings"]["specifics"]["agents"] = json!(PROXIES);
    })
}

fn assert_within_memory_limit(controller: &PlatformController) {
    assert_memory_below(controller.process.id(), MEMORY_LIMIT_MB);
}

fn attach_all(controller: &PlatformController) -> Vec<TcpStream> {
    // The controller listens from then on.
    drop(controller.connect());
    (0..PROXIES)
        .map(|proxy| {
            let mut stream = connect_with_small_window(controller.listen);
            send_some(&mut stream, attach_message(proxy).as_bytes());
            stream
        })
        .collect()
}

#[test]
fn attached_clients_that_stop_within_a_long_message_keep_the_memory_limit() {
    let _alone = run_alone();
    let controller = start_controller();
    let mut streams = attach_all(&controller);
    let part = format!("{{\"t\":\"done\",\"filler\":\"{}", "x".repeat(MAX_MESSAGE_BYTES - 100));
    for stream in &mut streams {
        send_some(stream, part.as_bytes());
    }
    std::thread::sleep(Duration::from_millis(3000));
    assert_within_memory_limit(&controller);
}

#[test]
fn unattached_clients_that_stop_within_a_message_keep_the_memory_limit() {
    let _alone = run_alone();
    let controller = start_controller();
    let mut streams = Vec::new();
    for _ in 0..900 {
        let mut stream = controller.connect().stream;
        send_some(&mut stream, &[b'x'; 16_000]);
        streams.push(stream);
    }
    std::thread::sleep(Duration::from_millis(500));
    assert_within_memory_limit(&controller);
}

#[test]
fn attached_clients_that_do_not_read_keep_the_memory_limit() {
    let _alone = run_alone();
    let controller = start_controller();
    let mut streams = attach_all(&controller);
    let heartbeats = "{\"t\":\"hb\"}\n".repeat(50_000);
    for stream in &mut streams {
        send_some(stream, heartbeats.as_bytes());
    }
    std::thread::sleep(Duration::from_millis(500));
    assert_within_memory_limit(&controller);
    // What the system holds for these clients is memory of the controller's machine too.
    let held: usize = streams.iter_mut().map(unread_bytes).sum();
    println!("{held} bytes unread");
    assert!(held < MEMORY_LIMIT_MB as usize * 1_000_000, "{held} bytes are held for clients");
}

/// Reads until the controller sends nothing more, and returns the number of bytes.
fn unread_bytes(stream: &mut TcpStream) -> usize {
    stream.set_read_timeout(Some(Duration::from_millis(50))).expect("set");
    let mut buffer = vec![0; 1 << 16];
    let mut unread = 0;
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        unread += read;
    }
    unread
}

#[test]
fn a_message_of_very_many_short_fields_keeps_the_memory_limit() {
    let _alone = run_alone();
    let controller = start_controller();
    let objects = "{\"\":0},".repeat(MAX_MESSAGE_BYTES / 7 - 20);
    let elements = "[],".repeat(MAX_MESSAGE_BYTES / 3 - 40);
    for (proxy, filler) in [objects, elements].iter().enumerate() {
        let mut connection = controller.connect();
        connection.send(&attach_message(proxy));
        let message = format!("{{\"t\":\"hb\",\"filler\":[{filler}0]}}\n");
        assert!(message.len() <= MAX_MESSAGE_BYTES);
        send_some(&mut connection.stream, message.as_bytes());
        connection.wait_for_line(&["hb_ok"]).expect("an answer");
    }
    assert_within_memory_limit(&controller);
}

/// The time within which another client has to be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends messages at full speed after this first one, while another client asks for signs of life.
fn flood(first: &str, message: fn(usize) -> String) {
    let controller = start_controller();
    let mut heartbeat = controller.attach_proxy(1, false);
    let mut sender = controller.connect();
    sender.send(first);
    discard_received(sender.stream.try_clone().expect("cloned"));
    let longest = longest_answer_during_flood(sender.stream, message, || {
        heartbeat.send("{\"t\":\"hb\"}\n");
        heartbeat.wait_for_line(&["hb_ok"]).expect("an answer");
    });
    assert!(longest < ANSWER_TIMEOUT, "{longest:?} for {}", message(7));
    assert_within_memory_limit(&controller);
}

#[test]
fn messages_of_one_client_at_full_speed_neither_delay_others_nor_fill_the_memory() {
    let _alone = run_alone();
    let collector = "{\"t\":\"telemetry\",\"locality\":\"a\"}\n";
    flood("", |_| "{\"t\":\"hb\"}\n".into());
    flood(&attach_message(2), |_| "{\"t\":\"hb\"}\n".into());
    flood(&attach_message(2), |number| format!("{{\"t\":\"unknown-{number}\"}}\n"));
    flood(&attach_message(2), |number| {
        format!("{{\"t\":\"done\",\"node\":2,\"nonce\":{number},\"latency\":1}}\n")
    });
    flood(collector, |number| report_of(&format!("s-{number}")));
    flood(collector, |_| report_of("s-a"));
    flood(collector, |number| {
        format!(
            "{{\"t\":\"client_stats\",\"node\":2,\"route\":\"new-{number}\",\"total\":1,\"errors\":0,\"interval\":9}}\n"
        )
    });
}

/// A client that attaches under ever new numbers, each on a connection of its own.
#[test]
fn attachments_at_full_speed_neither_delay_others_nor_fill_the_memory() {
    let _alone = run_alone();
    let controller = start_controller();
    let mut heartbeat = controller.attach_proxy(1, false);
    let sender = AttachingClient { address: controller.listen };
    let longest = longest_answer_during_flood(
        sender,
        |number| attach_message(2 + number % (PROXIES - 2)),
        || {
            heartbeat.send("{\"t\":\"hb\"}\n");
            heartbeat.wait_for_line(&["hb_ok"]).expect("an answer");
        },
    );
    assert!(longest < ANSWER_TIMEOUT, "{longest:?}");
    assert_within_memory_limit(&controller);
}

/// Opens a connection for each message, and closes it.
struct AttachingClient {
    address: SocketAddr,
}

impl Write for AttachingClient {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        TcpStream::connect(self.address)?.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn report_of(endpoint: &str) -> String {
    json!({"t": "upstream_stats", "locality": "a", "endpoint": endpoint, "total": 9, "errors": 1, "rtt": 4,
        "interval": 9})
    .to_string()
        + "\n"
}
