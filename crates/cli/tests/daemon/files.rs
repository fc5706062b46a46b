//! Wrong files and command lines start nothing and say why.

use crate::controller_fixture::{ControllerFixture, roster, run};

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn check_reports_errors_and_exits_with_2() {
    let fixture = ControllerFixture::new();
    let file = fixture.path("pilot.xml").display().to_string();
    let sound = run(&["check", &file]);
    assert_eq!((sound.status.code(), text(&sound.stdout)), (Some(0), format!("{file}: sound, 0 proxies\n")));
    let wrong = std::fs::read_to_string(&file).expect("there").replace("\"500ms\"", "\"500\"");
    std::fs::write(&file, wrong).expect("written");
    let output = run(&["check", &file]);
    assert_eq!(output.status.code(), Some(2));
    let line = text(&output.stderr);
    assert!(line.starts_with(&format!("{file}:7: /lockcroft/fleet: attribute report-period")), "{line}");
    assert!(line.contains("allowed: a time with its unit"), "{line}");
    let json = run(&["check", "--json", &file]);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(json["faults"][0]["line"], 7);
    // What can't be checked is not started either.
    let started = run(&["serve", &file]);
    assert_eq!((started.status.code(), text(&started.stderr)), (Some(2), line));
    assert!(!fixture.socket().exists());
}

#[test]
fn an_invalid_endpoint_list_is_found_before_the_start() {
    let fixture = ControllerFixture::new();
    std::fs::write(fixture.path("roster.xml"), roster(&["e1", "e1"])).expect("written");
    let output = run(&["check", &fixture.path("pilot.xml").display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text(&output.stderr).contains("roster.xml:3: /roster/server: server e1 is listed in line 2 already")
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
    let wrong = run(&["proxy", &file.display().to_string()]);
    assert_eq!(wrong.status.code(), Some(2));
    let output = String::from_utf8_lossy(&wrong.stderr).into_owned();
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
    let end = std::time::Instant::now() + std::time::Duration::from_secs(10);
    let info = loop {
        let output = run(&["ask", &control.display().to_string(), "show", "info"]);
        if output.status.success() || std::time::Instant::now() > end {
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
    let nobody = run(&["ask", "/nowhere/pilot.sock", "show", "info"]);
    assert_eq!(nobody.status.code(), Some(1));
    assert!(text(&nobody.stderr).contains("cannot be reached"));
    assert_eq!(run(&["rehearse", "/nowhere/day.xml"]).status.code(), Some(2));
}

#[test]
fn a_problem_is_solved_and_an_invalid_one_is_explained() {
    let fixture = ControllerFixture::new();
    let problem = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/problem.xml");
    let (picture, file) = (fixture.path("load.svg"), fixture.path("problem.xml"));
    let output = run(&["solve", problem, "--json", "--picture", &picture.display().to_string()]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["dropped"].as_array().map(Vec::len), Some(2));
    assert!(std::fs::read_to_string(picture).expect("drawn").starts_with("<svg"));
    let wrong = std::fs::read_to_string(problem).expect("there").replace("work=\"40ms\"", "work=\"0ms\"");
    std::fs::write(&file, wrong).expect("written");
    let output = run(&["solve", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text(&output.stderr).contains("recent-calls (class 0: work is out of range: 0)"),
        "{}",
        text(&output.stderr)
    );
}

/// A folder of three generations with its key file.
fn tables(fixture: &ControllerFixture) -> Vec<String> {
    use std::os::unix::fs::PermissionsExt;
    let (folder, keys) = (fixture.path("tables"), fixture.path("keys"));
    std::fs::create_dir(&folder).expect("made");
    std::fs::write(&keys, format!("k1 {}\n", "ab".repeat(32))).expect("written");
    std::fs::set_permissions(&keys, std::fs::Permissions::from_mode(0o600)).expect("set");
    let read = lockcroft_table_store::read_keys(&keys).expect("sound");
    let mut writer =
        lockcroft_table_store::SnapshotWriter::acquire_epoch(&folder, "north", read).expect("taken");
    let keep = lockcroft_table_store::RetentionPolicy { max_snapshots: 8, keep_earlier_epochs: false };
    for weight in [64, 128, 256] {
        let line = lockcroft_table_format::TableEntry {
            address: "127.0.0.1:8101".parse().expect("an address"),
            weight,
        };
        let table = lockcroft_table_format::Table { entries: [("e1".to_string(), line)].into() };
        let bound = lockcroft_table_format::ProxyAssignment {
            table: 3,
            admission_per_mille: 500,
            allows_retries: true,
        };
        let group = lockcroft_table_format::ProxyGroup {
            proxies: ["r1".to_string(), "r2".to_string()].into(),
            assignments: [("look-up".to_string(), bound)].into(),
        };
        let content = lockcroft_table_format::SnapshotContent {
            tables: [(3, table)].into(),
            groups: [(0, group)].into(),
            ejected: ["e9".to_string()].into(),
        };
        writer.write(&content, keep).expect("written");
    }
    let path = |path: std::path::PathBuf| path.display().to_string();
    vec![path(folder), "--keys".into(), path(keys)]
}

fn files(command: &str, place: &[String], more: &[&str]) -> (Option<i32>, String) {
    let mut words = vec!["files", command];
    words.extend(place.iter().map(String::as_str));
    words.extend(more);
    let output = run(&words);
    (output.status.code(), text(&output.stdout) + &text(&output.stderr))
}

#[test]
fn a_snapshot_folder_is_shown_verified_compared_and_an_earlier_one_republished() {
    let fixture = ControllerFixture::new();
    let place = tables(&fixture);
    let (code, shown) = files("show", &place, &[]);
    assert_eq!(code, Some(0), "{shown}");
    let expected = "t3 e1 127.0.0.1:8101 weight 256\nlook-up t3 let in 0.5, second tries at r1,r2\nwithdrawn e9\nlaid by 0 proxies\n";
    assert!(
        shown.starts_with("generation e1g3 by north, sealed with k1") && shown.ends_with(expected),
        "{shown}"
    );
    let (_, diff) = files("diff", &place, &["e1g1", "e1g3"]);
    assert_eq!(diff, "- t3 e1 127.0.0.1:8101 weight 64\n+ t3 e1 127.0.0.1:8101 weight 256\n1 lines differ\n");
    let (code, json) = files("show", &place, &["--generation", "e1g2", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!((code, &json["lines"][0]), (Some(0), &"t3 e1 127.0.0.1:8101 weight 128".into()));
    // One bit of the current one.
    let table = fixture.path("tables/e1/g3/table-3");
    let mut bytes = std::fs::read(&table).expect("there");
    bytes[3] ^= 1;
    std::fs::write(&table, bytes).expect("written");
    let (code, output) = files("verify", &place, &[]);
    assert_eq!(code, Some(1));
    assert_eq!(
        output.lines().next(),
        Some("e1g3 (current) table-3: does not match its recorded digest"),
        "{output}"
    );
    assert!(output.contains("e1g2 sound, sealed with k1"), "{output}");
    assert_eq!(files("show", &place, &[]).0, Some(1), "nothing sound is current");
    let (code, output) = files("back", &place, &["e1g2"]);
    assert_eq!((code, output.starts_with("e1g2 is published as e2g1")), (Some(0), true), "{output}");
    assert!(files("show", &place, &[]).1.contains("weight 128"));
    let (code, output) = files("diff", &place, &["g1", "e1g3"]);
    assert!(code == Some(2) && output.contains("e7g41 is one"), "{output}");
}
