//! `lockcroft platform` as a process: a run with changes, invalid clients, invalid configurations, and health checks.

use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use crate::controller_fixture::PROGRAM;
use crate::platform_controller::{PlatformController, Proxy, config_json};
use crate::platform_testbed::{CheckedEndpoint, Discovery, endpoint, entry, wall_clock_ms};

#[test]
fn drains_restarts_and_a_new_discovery_address_reach_proxies() {
    let [a, b, c] = [endpoint(), endpoint(), endpoint()];
    let discovery = Discovery::start(1, vec![entry("s-a", a, "up", 0), entry("s-b", b, "up", 0)]);
    let mut controller = PlatformController::start(discovery.address, 128);
    let mut heartbeat = controller.connect();
    heartbeat.send("{\"t\":\"hb\"}\n");
    assert!(heartbeat.wait_for_line(&["hb_ok"]).is_some());
    let mut proxy = controller.attach_proxy(3, true);
    let full = proxy.wait_for_line(&["\"full\":true"]).expect("a table");
    assert!(full.contains("s-a") && full.contains("s-b"), "{full}");

    // A newer stream of the same proxy is kept, and the older one is closed.
    let mut newer = controller.attach_proxy(3, false);
    assert!(newer.wait_for_line(&["\"full\":true"]).is_some());
    assert!(proxy.is_closed_by_peer());

    discovery.publish(vec![entry("s-a", a, "up", 0), entry("s-b", b, "draining", 0)]);
    assert!(newer.wait_for_line(&["[\"s-b\",0.0]"]).is_some());
    discovery.publish(vec![entry("s-a", a, "up", 0), entry("s-b", b, "up", wall_clock_ms())]);
    assert!(newer.wait_for_line(&["[\"s-b\",0."]).is_some_and(|line| !line.contains("[\"s-b\",0.0]")));

    // An incomplete file changes nothing; the complete one contains another discovery address.
    let path = controller.folder.path().join("config.json");
    std::fs::write(&path, "{\"name\":\"n0\",").expect("written");
    controller.signal(Signal::HUP);
    thread::sleep(Duration::from_millis(200));
    let entries = vec![entry("s-a", a, "up", 0), entry("s-b", b, "up", 0), entry("s-c", c, "up", 0)];
    let other = Discovery::start(9, entries);
    std::fs::write(&path, config_json(controller.listen, other.address, 128)).expect("written");
    controller.signal(Signal::HUP);
    assert!(newer.wait_for_line(&["s-c"]).is_some());

    controller.signal(Signal::TERM);
    assert_eq!(controller.exit_code_within(Duration::from_millis(700)), Some(0));
}

#[test]
fn invalid_and_excess_connections_are_closed_and_proxies_still_attach() {
    let a = endpoint();
    let discovery = Discovery::start(1, vec![entry("s-a", a, "up", 0)]);
    let mut controller = PlatformController::start(discovery.address, 64);
    let mut first = controller.attach_proxy(1, false);
    assert!(first.wait_for_line(&["\"full\":true"]).is_some());
    for garbage in ["GET / HTTP/1.1\r\nHost: x\r\n\r\n", "{\"t\":\"assign\"}\n", "\u{0}\u{1}\n"] {
        let mut client = controller.connect();
        client.send(garbage);
        assert!(client.is_closed_by_peer(), "{garbage:?}");
    }
    let mut endless = controller.connect();
    let _ = endless.stream.write_all(&[b'x'; 1 << 17]);
    assert!(endless.is_closed_by_peer());
    // More connections than the limit allows, which send nothing.
    let mut silent: Vec<Proxy> = (0..100).map(|_| controller.connect()).collect();
    let mut second = controller.attach_proxy(2, true);
    assert!(second.wait_for_line(&["\"full\":true"]).is_some());
    assert!(silent.iter_mut().all(Proxy::is_closed_by_peer));
    discovery.publish(vec![entry("s-a", a, "up", 0), entry("s-z", endpoint(), "up", 0)]);
    for proxy in [&mut first, &mut second] {
        assert!(proxy.wait_for_line(&["s-z"]).is_some());
    }
    assert_eq!(controller.exit_code_within(Duration::ZERO), None, "the controller still runs");
}

#[test]
fn a_missing_or_invalid_configuration_is_reported() {
    let missing =
        Command::new(PROGRAM).arg("platform").env_remove("LB_CONFIG").output().expect("the program runs");
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("LB_CONFIG"));
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let valid = config_json(address, address, 64);
    for (from, to, field) in [
        ("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"zz\"", "seed"),
        ("\"discovery\":\"127.0.0.1:9\"", "\"discovery\":7", "discovery"),
        ("\"sockets\":64", "\"sockets\":-1", "limits.sockets"),
        ("\"settings\":{", "\"settings\":7,\"x\":{", "settings"),
        ("{\"", "{", "key must be a string"),
    ] {
        assert!(valid.contains(from), "{from}");
        std::fs::write(&path, valid.replacen(from, to, 1)).expect("written");
        let check = Command::new(PROGRAM).args(["platform", "--check"]).env("LB_CONFIG", &path).output();
        let check = check.expect("the program runs");
        let errors = String::from_utf8_lossy(&check.stderr).into_owned();
        assert_eq!(check.status.code(), Some(2), "{errors}");
        assert!(errors.contains(field) && errors.contains("config.json"), "{errors}");
    }
}

/// A health check that is answered by 503 with a load report is not a failure. If it were, endpoints that several
/// controllers check at the same time would lose all their weight, and the others would be overloaded.
#[test]
fn an_endpoint_that_reports_saturation_keeps_its_entry_and_a_failing_one_loses_it() {
    let (saturated, failing) = (CheckedEndpoint::start(), CheckedEndpoint::start());
    let entries =
        vec![entry("s-full", saturated.address, "up", 0), entry("s-fails", failing.address, "up", 0)];
    let discovery = Discovery::start(1, entries);
    let controller = PlatformController::start(discovery.address, 128);
    let mut proxy = controller.attach_proxy(3, false);
    let table = proxy.wait_for_line(&["\"full\":true"]).expect("a table");
    assert!(table.contains("s-full") && table.contains("s-fails"), "{table}");
    saturated.set_status("503 Service Unavailable");
    saturated.wait_for_checks(8);
    failing.set_status("500 Internal Server Error");
    let change = proxy.wait_for_line(&["\"endpoints\""]).expect("a change");
    assert!(change.contains("[\"s-fails\",0.0]") && !change.contains("[\"s-full\",0.0]"), "{change}");
}
