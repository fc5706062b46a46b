//! The configuration file of a proxy.

use std::path::Path;
use std::time::Duration;

use expect_test::expect;
use lockcroft_proxy::{LoadBalancingPolicy, ProxyConfig};

const COMPLETE: &str = r#"<proxy name="r1">
  <visits address="127.0.0.1:8080" clients-most="11" silent-most="12s" keep-most-bytes="13"/>
  <control address="unix:/run/r1.sock"/>
  <files folder="tables" keys="keys" look-every="14s"/>
  <choosing way="pair" seed="15" shuns-after="16" shuns-for="17s"/>
  <tries connect-within="18ms" idle-most="19s" try-most="20s" second-share="0.21"/>
  <limits outstanding-most="22" waiting-most="23" waiting-for="24ms" retry-after="25s" stall-a-line="26us"/>
  <classes><class name="look-up" patience="2s"/></classes>
  <standing><server name="e1" address="127.0.0.1:8101"/></standing>
</proxy>"#;

const MINIMAL: &str = r#"<proxy name="r1">
  <visits address="127.0.0.1:8080"/>
  <control address="127.0.0.1:81"/>
  <classes><class name="look-up" patience="2s"/></classes>
</proxy>"#;

fn open(text: &str) -> Result<ProxyConfig, String> {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("proxy.xml");
    std::fs::write(&file, text).expect("written");
    let config = ProxyConfig::open(&file);
    config.map_err(|errors| errors.to_string().replace(&file.display().to_string(), "FILE"))
}

#[test]
fn every_attribute_sets_its_field() {
    let config = open(COMPLETE).expect("valid");
    assert_eq!(config.max_clients, 11);
    assert_eq!(config.header_timeout, Duration::from_secs(12));
    assert_eq!(config.max_buffered_body_bytes, 13);
    assert_eq!(config.control_addresses, ["unix:/run/r1.sock".parse().expect("an address")]);
    let files = config.table_files.expect("present");
    assert!(files.folder.ends_with("tables") && files.folder != Path::new("tables"), "{files:?}");
    assert!(files.key_file.ends_with("keys") && files.key_file != Path::new("keys"), "{files:?}");
    assert_eq!(files.poll_interval, Duration::from_secs(14));
    assert_eq!(config.limits.policy, LoadBalancingPolicy::PowerOfTwoChoices);
    assert_eq!(config.seed, 15);
    assert_eq!(config.limits.ejection_threshold, 16);
    assert_eq!(config.limits.ejection_time, Duration::from_secs(17));
    assert_eq!(config.connect_timeout, Duration::from_millis(18));
    assert_eq!(config.idle_timeout, Duration::from_secs(19));
    assert_eq!(config.attempt_timeout, Duration::from_secs(20));
    assert!((config.retry_ratio - 0.21).abs() < 1e-9);
    assert_eq!(config.limits.max_in_flight, 22);
    assert_eq!(config.max_queued_requests, 23);
    assert_eq!(config.queue_timeout, Duration::from_millis(24));
    assert_eq!(config.retry_after, Duration::from_secs(25));
    assert_eq!(config.stall_per_command, Duration::from_micros(26));
    assert_eq!(config.classes, [("look-up".to_string(), Duration::from_secs(2))]);
    assert_eq!(config.default_table, [("e1".to_string(), "127.0.0.1:8101".parse().expect("an address"))]);
}

#[test]
fn missing_attributes_have_their_defaults() {
    let config = open(MINIMAL).expect("valid");
    assert_eq!(config.max_clients, 4096);
    assert_eq!(config.header_timeout, Duration::from_secs(10));
    assert_eq!(config.max_buffered_body_bytes, 65_536);
    assert_eq!(config.limits.policy, LoadBalancingPolicy::SmoothWeightedRoundRobin);
    assert_eq!((config.seed, config.limits.max_in_flight, config.limits.ejection_threshold), (0, 0, 0));
    assert_eq!(config.limits.ejection_time, Duration::from_secs(5));
    assert_eq!(config.connect_timeout, Duration::from_millis(500));
    assert_eq!(config.idle_timeout, Duration::from_secs(15));
    assert_eq!(config.attempt_timeout, Duration::from_secs(60));
    assert!((config.retry_ratio - 0.1).abs() < 1e-9);
    assert_eq!(config.max_queued_requests, 100);
    assert_eq!(config.queue_timeout, Duration::from_millis(100));
    assert_eq!(config.retry_after, Duration::from_secs(1));
    assert_eq!(config.stall_per_command, Duration::ZERO);
    assert!(config.default_table.is_empty() && config.table_files.is_none());
}

#[test]
fn all_errors_of_a_file_are_reported_with_their_location() {
    let invalid = COMPLETE
        .replace("unix:/run/r1.sock", "127.0.0.1:99999")
        .replace("127.0.0.1:8101", "127.0.0.1:99998")
        .replace("127.0.0.1:8080", "127.0.0.1:99997");
    expect![[r#"
        FILE:3: /proxy/control: "127.0.0.1:99999" is neither unix:PATH nor IP:PORT; allowed: IP:PORT
        FILE:9: /proxy/standing/server: "127.0.0.1:99998" is not a valid address; allowed: IP:PORT
        FILE:1: /proxy: visits: "127.0.0.1:99997" is not a valid address; allowed: IP:PORT"#]]
    .assert_eq(&open(&invalid).expect_err("invalid"));
    let invalid = COMPLETE.replace("look-every=\"14s\"", "look-every=\"soon\"");
    expect![[r#"FILE:4: /proxy/files: attribute look-every: "soon" does not fit; allowed: a time with its unit (us, ms, s, min, h), such as 500ms"#]].assert_eq(&open(&invalid).expect_err("invalid"));
}
