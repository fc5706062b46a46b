//! Runs the adapter as a process and checks its replies, errors and exit status.

use std::io::Write;
use std::process::{Command, Stdio};

use expect_test::{Expect, expect};

const SETTINGS: &str = r#"{"classes":[{"name":"look","target_us":1000000,"worth":3.0,"new_key":null}],"kinds":["big"],
"policy_limits":{"probes":true},"rules":{"cold_from":0.2},"specifics":{"overhead":4.0},"zones":["north"]}"#;

/// Sends lines to an adapter, and compares its replies, errors and exit status with the expected text.
fn assert_session(lines: &str, expected: Expect) {
    let settings = SETTINGS.replace('\n', "");
    let with_key_ranges = settings.replace("\"overhead\"", "\"partitions_n\":8,\"overhead\"");
    let input = lines.replace("{WITH_KEY_RANGES}", &with_key_ranges).replace("{SETTINGS}", &settings);
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_lockcroft-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    adapter.stdin.take().expect("piped").write_all(input.as_bytes()).expect("the adapter reads");
    let output = adapter.wait_with_output().expect("the adapter ends");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let status = output.status.code().map_or("killed".to_string(), |code| code.to_string());
    expected.assert_eq(&format!("{}{}exit {status}\n", text(&output.stdout), text(&output.stderr)));
}

#[test]
fn a_killed_instance_restarts_without_its_state() {
    assert_session(
        "CLOCK 5000000\nEOF_BATCH\n\
         CLOCK 6000000\nBORN 3 77 {SETTINGS}\nREGISTRY 3 disk 0 1\nITEM endpoint-a north big 0 U 1 -\nEOF_BATCH\n\
         CLOCK 6500000\nREMINDER 3 0\nEOF_BATCH\n\
         CLOCK 6600000\nENROLLED 3 1 0 2.5 north\nKILLED 3\nBORN 3 78 {SETTINGS}\nREGISTRY 3 disk 0 1\n\
         ITEM endpoint-b north big 0 U 1 -\nEOF_BATCH\n\
         CLOCK 7100000\nREMINDER 3 0\nRECEIPT 3 0 1 500\nPEER_DATA 3 1 -\nEOF_BATCH\n",
        expect![[r#"
            YIELD
            SLEEP 3 36680 0
            YIELD
            POLL 3 endpoint-a
            SLEEP 3 200000 0
            YIELD
            SLEEP 3 111155 0
            YIELD
            POLL 3 endpoint-b
            SLEEP 3 200000 0
            YIELD
            exit 0
        "#]],
    );
}

#[test]
fn an_instance_with_key_ranges_raises_an_event_and_stays_idle() {
    assert_session(
        "CLOCK 1\nBORN 0 1 {WITH_KEY_RANGES}\nREGISTRY 0 disk 0 0\nEOF_BATCH\nCLOCK 2\nHANDED 0 1 4\nRECORDED 0 1 4 endpoint-a\n\
         WEIGHT_SEEN 0 4 look 1 0 1000\nEOF_BATCH\n",
        expect![[r#"
            NOTE_DOWN 0 key ranges are not supported, the instance stays idle
            YIELD
            YIELD
            exit 0
        "#]],
    );
}

#[test]
fn malformed_input_ends_the_adapter_with_an_error_and_no_reply() {
    let start = "CLOCK 1\nBORN 0 1 {SETTINGS}\n";
    for (lines, expected) in [
        (
            "CLOCK 1\nSURPRISE 0\nEOF_BATCH\n",
            expect![[r#"
            lockcroft-sim-adapter: line 2: "SURPRISE": unknown message
            exit 1
        "#]],
        ),
        (
            "CLOCK 1\nKILLED 4\nEOF_BATCH\n",
            expect![[r#"
            lockcroft-sim-adapter: line 2: "KILLED": instance 4 is not running
            exit 1
        "#]],
        ),
        (
            "CLOCK 1\nBORN 0 1 {\"classes\": oops}\nEOF_BATCH\n",
            expect![[r#"
            lockcroft-sim-adapter: line 2: "BORN": settings: expected value at line 1 column 13
            exit 1
        "#]],
        ),
        (
            "ENROLLED 0 1 5 2.5 west\nEOF_BATCH\n",
            expect![[r#"
            lockcroft-sim-adapter: line 3: "ENROLLED": unknown zone "west"
            exit 1
        "#]],
        ),
        (
            "ROUNDUP 0 many 48250 1 north 1000000 endpoint-a -\nEOF_BATCH\n",
            expect![[r#"
            lockcroft-sim-adapter: line 3: "ROUNDUP": tries is not a valid number: "many"
            exit 1
        "#]],
        ),
        (
            "REGISTRY 0 diff 1 2\nITEM endpoint-a north big 0 U 1 -\nEOF_BATCH\n",
            expect![[r#"
            lockcroft-sim-adapter: line 5: "EOF_BATCH": expected 1 more entries of the endpoint list
            exit 1
        "#]],
        ),
        (
            "REGISTRY 0 diff 1 1\nITEM endpoint-a north big 0 X 1 -\nEOF_BATCH\n",
            expect![[r#"
            lockcroft-sim-adapter: line 4: "ITEM": unknown state "X"
            exit 1
        "#]],
        ),
        (
            "DETACHED 0 1\n",
            expect![[r#"
            lockcroft-sim-adapter: line 4: input cut off inside a batch
            exit 1
        "#]],
        ),
        (
            "DETACHED 0 1\nEOF_BA",
            expect![[r#"
            lockcroft-sim-adapter: line 4: input cut off inside the line
            exit 1
        "#]],
        ),
    ] {
        let full = if lines.starts_with("CLOCK") { lines.into() } else { format!("{start}{lines}") };
        assert_session(&full, expected);
    }
}
