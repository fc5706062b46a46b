//! Verbs that take files: invalid files and command lines start nothing and are reported; table files and problems.

use crate::controller_fixture::{ControllerFixture, endpoint_list_xml, run};

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn check_reports_errors_and_exits_with_2() {
    let fixture = ControllerFixture::new();
    let file = fixture.path("pilot.xml").display().to_string();
    let valid = run(&["check", &file]);
    assert_eq!((valid.status.code(), text(&valid.stdout)), (Some(0), format!("{file}: valid, 0 proxies\n")));
    let invalid = std::fs::read_to_string(&file).expect("read").replace("\"500ms\"", "\"500\"");
    std::fs::write(&file, invalid).expect("written");
    let output = run(&["check", &file]);
    assert_eq!(output.status.code(), Some(2));
    let line = text(&output.stderr);
    assert!(line.starts_with(&format!("{file}:7: /lockcroft/fleet: attribute report-period")), "{line}");
    assert!(line.contains("allowed: a time with its unit"), "{line}");
    let json = run(&["check", "--json", &file]);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(json["faults"][0]["line"], 7);
    // `serve` reports the same error and starts nothing.
    let started = run(&["serve", &file]);
    assert_eq!((started.status.code(), text(&started.stderr)), (Some(2), line));
    assert!(!fixture.socket().exists());
}

#[test]
fn check_reports_an_invalid_endpoint_list() {
    let fixture = ControllerFixture::new();
    std::fs::write(fixture.path("roster.xml"), endpoint_list_xml(&["e1", "e1"])).expect("written");
    let output = run(&["check", &fixture.path("pilot.xml").display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text(&output.stderr).contains("roster.xml:3: /roster/server: server e1 is already listed in line 2")
    );
}

#[test]
fn a_proxy_starts_from_its_file_and_rejects_an_invalid_one() {
    let fixture = ControllerFixture::new();
    let (file, control) = (fixture.path("proxy.xml"), fixture.path("r1.sock"));
    let text = format!(
        "<proxy name=\"r1\"><visits address=\"127.0.0.1:0\"/><control address=\"unix:{}\"/>\n\
         <choosing way=\"pair\"/><classes><class name=\"look\" patience=\"1s\"/></classes></proxy>\n",
        control.display()
    );
    std::fs::write(&file, text.replace("pair", "first")).expect("written");
    let invalid = run(&["proxy", &file.display().to_string()]);
    assert_eq!(invalid.status.code(), Some(2));
    let output = String::from_utf8_lossy(&invalid.stderr).into_owned();
    assert!(
        output.contains("proxy.xml:2: /proxy/choosing") && output.contains("one of wheel, lottery, pair"),
        "{output}"
    );
    std::fs::write(&file, text).expect("written");
    let mut proxy = std::process::Command::new(crate::controller_fixture::PROGRAM)
        .arg("proxy")
        .arg(&file)
        .spawn()
        .expect("started");
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(10);
    let info = loop {
        let output = run(&["ask", &control.display().to_string(), "show", "info"]);
        if output.status.success() || std::time::Instant::now() > deadline {
            break String::from_utf8_lossy(&output.stdout).into_owned();
        }
        std::thread::sleep(std::time::Duration::from_millis(30));
    };
    let _ = proxy.kill();
    let _ = proxy.wait();
    assert!(info.contains("node: r1"), "{info}");
}

#[test]
fn command_lines_have_help_and_exit_codes() {
    assert_eq!(run(&["serve"]).status.code(), Some(2));
    let help = text(&run(&["ask", "--help"]).stdout);
    assert!(help.contains("Examples:") && help.contains("show proxies"), "{help}");
    let unreachable = run(&["ask", "/nowhere/pilot.sock", "show", "info"]);
    assert_eq!(unreachable.status.code(), Some(1));
    assert!(text(&unreachable.stderr).contains("cannot be reached"));
    assert_eq!(run(&["rehearse", "/nowhere/day.xml"]).status.code(), Some(2));
}

#[test]
fn a_problem_is_solved_and_an_invalid_one_is_reported() {
    let fixture = ControllerFixture::new();
    let problem = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/problem.xml");
    let (picture, file) = (fixture.path("load.svg"), fixture.path("problem.xml"));
    let output = run(&["solve", problem, "--json", "--picture", &picture.display().to_string()]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["dropped"].as_array().map(Vec::len), Some(2));
    assert!(std::fs::read_to_string(picture).expect("written").starts_with("<svg"));
    let invalid = std::fs::read_to_string(problem).expect("read").replace("work=\"40ms\"", "work=\"0ms\"");
    std::fs::write(&file, invalid).expect("written");
    let output = run(&["solve", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("recent-calls (class 0: work 0)"), "{}", text(&output.stderr));
}

/// Writes a key file and a folder with three snapshots, and returns the arguments that name them.
fn write_snapshots(fixture: &ControllerFixture) -> Vec<String> {
    use std::os::unix::fs::PermissionsExt;
    let (folder, keys) = (fixture.path("tables"), fixture.path("keys"));
    std::fs::create_dir(&folder).expect("created");
    std::fs::write(&keys, format!("k1 {}\n", "ab".repeat(32))).expect("written");
    std::fs::set_permissions(&keys, std::fs::Permissions::from_mode(0o600)).expect("set");
    let key_ring = lockcroft_table_store::read_keys(&keys).expect("valid keys");
    let mut writer =
        lockcroft_table_store::SnapshotWriter::acquire_epoch(&folder, "north", key_ring).expect("acquired");
    let retention = lockcroft_table_store::RetentionPolicy { max_snapshots: 8, keep_earlier_epochs: false };
    for weight in [64, 128, 256] {
        let entry = lockcroft_table_format::TableEntry {
            address: "127.0.0.1:8101".parse().expect("an address"),
            weight,
        };
        let table = lockcroft_table_format::Table { entries: [("e1".to_string(), entry)].into() };
        let assignment = lockcroft_table_format::ProxyAssignment {
            table: 3,
            admission_per_mille: 500,
            allows_retries: true,
        };
        let group = lockcroft_table_format::ProxyGroup {
            proxies: ["r1".to_string(), "r2".to_string()].into(),
            assignments: [("look-up".to_string(), assignment)].into(),
        };
        let content = lockcroft_table_format::SnapshotContent {
            tables: [(3, table)].into(),
            groups: [(0, group)].into(),
            ejected: ["e9".to_string()].into(),
        };
        writer.write(&content, retention).expect("written");
    }
    let argument = |path: std::path::PathBuf| path.display().to_string();
    vec![argument(folder), "--keys".into(), argument(keys)]
}

/// Runs `lockcroft files` and returns the exit code, and standard output followed by standard error.
fn files(command: &str, store: &[String], more: &[&str]) -> (Option<i32>, String) {
    let mut arguments = vec!["files", command];
    arguments.extend(store.iter().map(String::as_str));
    arguments.extend(more);
    let output = run(&arguments);
    (output.status.code(), text(&output.stdout) + &text(&output.stderr))
}

#[test]
fn snapshots_are_shown_verified_compared_and_republished() {
    let fixture = ControllerFixture::new();
    let store = write_snapshots(&fixture);
    let (code, shown) = files("show", &store, &[]);
    assert_eq!(code, Some(0), "{shown}");
    let expected = "t3 e1 127.0.0.1:8101 weight 256\nlook-up t3 let in 0.5, second tries at r1,r2\nwithdrawn e9\napplied by 0 proxies\n";
    assert!(
        shown.starts_with("snapshot e1g3 by controller north, sealed with key k1")
            && shown.ends_with(expected),
        "{shown}"
    );
    let (_, diff) = files("diff", &store, &["e1g1", "e1g3"]);
    assert_eq!(
        diff,
        "- t3 e1 127.0.0.1:8101 weight 64\n+ t3 e1 127.0.0.1:8101 weight 256\n1 entries differ\n"
    );
    let (code, json) = files("show", &store, &["--generation", "e1g2", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!((code, &json["lines"][0]), (Some(0), &"t3 e1 127.0.0.1:8101 weight 128".into()));
    // Flips one bit in the current snapshot.
    let table = fixture.path("tables/e1/g3/table-3");
    let mut bytes = std::fs::read(&table).expect("read");
    bytes[3] ^= 1;
    std::fs::write(&table, bytes).expect("written");
    let (code, output) = files("verify", &store, &[]);
    assert_eq!(code, Some(1));
    assert_eq!(
        output.lines().next(),
        Some("e1g3 (current) table-3: does not match its recorded digest"),
        "{output}"
    );
    assert!(output.contains("e1g2 valid, sealed with key k1"), "{output}");
    assert_eq!(files("show", &store, &[]).0, Some(1), "no current snapshot is valid");
    let (code, output) = files("back", &store, &["e1g2"]);
    assert_eq!((code, output.starts_with("published snapshot e1g2 as e2g1;")), (Some(0), true), "{output}");
    assert!(files("show", &store, &[]).1.contains("weight 128"));
    let (code, output) = files("diff", &store, &["g1", "e1g3"]);
    assert!(code == Some(2) && output.contains("an epoch and a version such as e7g41"), "{output}");
}
