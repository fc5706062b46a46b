//! Wrong files and command lines start nothing and say why.

use crate::help::{House, roster, run};

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn check_says_what_is_wrong_and_exits_with_2() {
    let house = House::new();
    let file = house.path("pilot.xml").display().to_string();
    let sound = run(&["check", &file]);
    assert_eq!((sound.status.code(), text(&sound.stdout)), (Some(0), format!("{file}: sound, 0 proxies\n")));
    let wrong = std::fs::read_to_string(&file).expect("there").replace("\"500ms\"", "\"500\"");
    std::fs::write(&file, wrong).expect("written");
    let said = run(&["check", &file]);
    assert_eq!(said.status.code(), Some(2));
    let line = text(&said.stderr);
    assert!(line.starts_with(&format!("{file}:7: /lockcroft/fleet: attribute report-period")), "{line}");
    assert!(line.contains("allowed: a time with its unit"), "{line}");
    let json = run(&["check", "--json", &file]);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(json["faults"][0]["line"], 7);
    // What can't be checked is not started either.
    let started = run(&["serve", &file]);
    assert_eq!((started.status.code(), text(&started.stderr)), (Some(2), line));
    assert!(!house.socket().exists());
}

#[test]
fn a_wrong_roster_beside_the_settings_is_found_before_the_start() {
    let house = House::new();
    std::fs::write(house.path("roster.xml"), roster(&["e1", "e1"])).expect("written");
    let said = run(&["check", &house.path("pilot.xml").display().to_string()]);
    assert_eq!(said.status.code(), Some(2));
    assert!(
        text(&said.stderr).contains("roster.xml:3: /roster/server: server e1 is listed in line 2 already")
    );
}

#[test]
fn a_proxy_is_started_by_its_file_and_refuses_a_wrong_one() {
    let house = House::new();
    let (file, control) = (house.path("proxy.xml"), house.path("r1.sock"));
    let text = format!(
        "<proxy name=\"r1\"><visits address=\"127.0.0.1:0\"/><control address=\"unix:{}\"/>\n\
         <choosing way=\"pair\"/><classes><class name=\"look\" patience=\"1s\"/></classes></proxy>\n",
        control.display()
    );
    std::fs::write(&file, text.replace("pair", "first")).expect("written");
    let wrong = run(&["proxy", &file.display().to_string()]);
    assert_eq!(wrong.status.code(), Some(2));
    let said = String::from_utf8_lossy(&wrong.stderr).into_owned();
    assert!(
        said.contains("proxy.xml:2: /proxy/choosing") && said.contains("one of wheel, lottery, pair"),
        "{said}"
    );
    std::fs::write(&file, text).expect("written");
    let mut proxy =
        std::process::Command::new(crate::help::PROGRAM).arg("proxy").arg(&file).spawn().expect("started");
    let end = std::time::Instant::now() + std::time::Duration::from_secs(10);
    let info = loop {
        let said = run(&["ask", &control.display().to_string(), "show", "info"]);
        if said.status.success() || std::time::Instant::now() > end {
            break String::from_utf8_lossy(&said.stdout).into_owned();
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
fn a_problem_is_solved_and_a_wrong_one_is_named() {
    let house = House::new();
    let problem = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/problem.xml");
    let (picture, file) = (house.path("load.svg"), house.path("problem.xml"));
    let said = run(&["solve", problem, "--json", "--picture", &picture.display().to_string()]);
    assert_eq!(said.status.code(), Some(0), "{}", text(&said.stderr));
    let json: serde_json::Value = serde_json::from_slice(&said.stdout).expect("JSON");
    assert_eq!(json["dropped"].as_array().map(Vec::len), Some(2));
    assert!(std::fs::read_to_string(picture).expect("drawn").starts_with("<svg"));
    let wrong = std::fs::read_to_string(problem).expect("there").replace("work=\"40ms\"", "work=\"0ms\"");
    std::fs::write(&file, wrong).expect("written");
    let said = run(&["solve", &file.display().to_string()]);
    assert_eq!(said.status.code(), Some(2));
    assert!(text(&said.stderr).contains("recent-calls (class 0: work 0)"), "{}", text(&said.stderr));
}
