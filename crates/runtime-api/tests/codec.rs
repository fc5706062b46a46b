//! Lines in, answers out: in pieces of any size, malformed, too long.

use lockcroft_runtime_api::tables::{
    ServerStateRow, StatRow, read_server_states, read_stat, write_server_states, write_stat,
};
use lockcroft_runtime_api::{
    AccessLevel, Command, CommandHandler, CommandReader, CommandResult, CommandSpec, LineTooLong,
    MAX_LINE_BYTES, ResponseReader, Session, SessionState, escape_word, parse_line,
};
use proptest::prelude::*;

/// Answers with the words that it gets.
struct Echo;

const ENTRIES: [CommandSpec; 2] = [
    CommandSpec { words: "show echo [<word>]", level: AccessLevel::User, help: "say it" },
    CommandSpec { words: "set echo <word>", level: AccessLevel::Admin, help: "say it loud" },
];

impl CommandHandler for Echo {
    fn commands(&self) -> &'static [CommandSpec] {
        &ENTRIES
    }

    fn handle_command(&mut self, _: &CommandSpec, command: &Command) -> CommandResult {
        CommandResult::Text(format!(
            "{}{}",
            command.words[2..].join("|"),
            command.payload.clone().unwrap_or_default()
        ))
    }
}

fn talk(level: AccessLevel, text: &str) -> (String, SessionState) {
    let (mut reader, mut session, mut out) = (CommandReader::default(), Session::new(level), String::new());
    reader.push(text.as_bytes());
    let mut state = SessionState::Stay;
    while let Ok(Some(commands)) = reader.next_line() {
        state = session.execute_line(&commands, &mut Echo, &mut out);
        if state != SessionState::Stay {
            break;
        }
    }
    (out, state)
}

#[test]
fn a_connection_closes_after_one_line() {
    assert_eq!(
        talk(AccessLevel::User, "show echo a; show echo b\\ c\n"),
        ("a\n\nb c\n\n".into(), SessionState::Close)
    );
    assert_eq!(talk(AccessLevel::User, "\n"), ("\n".into(), SessionState::Close));
}

#[test]
fn prompt_keeps_the_connection_open() {
    assert_eq!(talk(AccessLevel::User, "prompt\nshow echo a\n"), ("\n> a\n\n> ".into(), SessionState::Stay));
    assert_eq!(talk(AccessLevel::User, "prompt i\nshow echo a\n"), ("\na\n\n".into(), SessionState::Stay));
    assert_eq!(talk(AccessLevel::User, "prompt i\nprompt n\nshow echo a\n").1, SessionState::Close);
    assert_eq!(talk(AccessLevel::User, "prompt\nquit\n").1, SessionState::Close);
}

#[test]
fn levels_are_enforced_and_only_lowered() {
    assert_eq!(talk(AccessLevel::Operator, "set echo x\n").0, "Permission denied\n\n");
    assert_eq!(talk(AccessLevel::Admin, "set echo x\n").0, "x\n\n");
    assert_eq!(talk(AccessLevel::Admin, "user; operator; show cli level\n").0, "\n\nuser\n\n");
}

#[test]
fn unknown_commands_get_the_list_for_their_level() {
    let (answer, _) = talk(AccessLevel::User, "shw echo\n");
    assert!(answer.starts_with("Unknown command") && answer.contains("show echo [<word>]"), "{answer}");
    assert!(!answer.contains("set echo"), "{answer}");
}

#[test]
fn payloads_end_with_their_terminator() {
    assert_eq!(talk(AccessLevel::User, "show echo <<\na 1\nb 2\n\n").0, "a 1\nb 2\n\n");
    assert_eq!(talk(AccessLevel::User, "show echo <<end\na\n\nb\nend\n").0, "a\n\nb\n\n");
}

#[test]
fn a_line_without_an_end_is_an_error() {
    let mut reader = CommandReader::default();
    let mut ended = None;
    for _ in 0..(1 << 20) / 1024 {
        reader.push(&[b'x'; 1024]);
        if let Err(LineTooLong) = reader.next_line() {
            ended = Some(reader.buffer().len());
            break;
        }
    }
    assert!(ended.is_some_and(|held| held <= MAX_LINE_BYTES + 1024), "{ended:?}");
}

#[test]
fn states_and_counters_are_read_as_they_were_written() {
    let state = ServerStateRow {
        backend: "t0".into(),
        endpoint: "e1".into(),
        address: "127.0.0.1".into(),
        port: 81,
        is_running: true,
        admin_state: 9,
        weight: 256,
        health: 4,
    };
    assert_eq!(read_server_states(&write_server_states(std::slice::from_ref(&state))), Ok(vec![state]));
    let row = StatRow {
        name: "t0".into(),
        endpoint: "e1".into(),
        status: "UP".into(),
        weight: 13,
        in_flight: Some(5),
        total: 99,
        abandoned: Some(6),
        shed: 1,
        connect_errors: 2,
        response_errors: 3,
        responses_5xx: 4,
        mean_latency_ms: 17,
        total_latency_ms: Some(1234),
    };
    assert_eq!(read_stat(&write_stat(std::slice::from_ref(&row))), Ok(vec![row]));
    // Of another maker, with columns that come in another order and without this project's own.
    let other = "# svname,pxname,stot,rtime,\ne1,t0,7,12,\n";
    assert_eq!(read_stat(other).map(|rows| (rows[0].total, rows[0].total_latency_ms)), Ok((7, None)));
}

#[test]
fn malformed_tables_are_refused() {
    for wrong in ["", "garbage", "# pxname,svname\nx\n", "# pxname,svname,stot,\na,b,many,\n"] {
        assert!(read_stat(wrong).is_err(), "{wrong:?}");
    }
    for wrong in ["", "2\n# be_name\n", "1\n", "1\n# be_name srv_name\nt0 e1\n"] {
        assert!(read_server_states(wrong).is_err(), "{wrong:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// How the bytes are cut up makes no difference.
    #[test]
    fn lines_are_the_same_in_any_pieces(lines in proptest::collection::vec("[a-z;\\\\ ]{0,30}", 1..8), cuts in proptest::collection::vec(1..20_usize, 1..50)) {
        let text = lines.join("\n") + "\n";
        let mut whole = CommandReader::default();
        whole.push(text.as_bytes());
        let mut pieces = CommandReader::default();
        let (mut at, mut got) = (0, Vec::new());
        for cut in cuts.iter().cycle() {
            if at >= text.len() { break }
            let end = (at + cut).min(text.len());
            pieces.push(&text.as_bytes()[at..end]);
            at = end;
            while let Ok(Some(line)) = pieces.next_line() { got.push(line) }
        }
        let mut wanted = Vec::new();
        while let Ok(Some(line)) = whole.next_line() { wanted.push(line) }
        prop_assert_eq!(got, wanted);
    }

    #[test]
    fn escaped_words_are_read_as_they_are(word in "[ -~]{1,20}") {
        let commands = parse_line(&format!("show {}", escape_word(&word)));
        prop_assert_eq!(&commands[0].words[1], &word);
    }

    /// Whatever comes, nothing panics, and a session answers every line.
    #[test]
    fn arbitrary_bytes_are_answered(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        let mut reader = CommandReader::default();
        reader.push(&bytes);
        let mut session = Session::new(AccessLevel::Admin);
        while let Ok(Some(commands)) = reader.next_line() {
            let mut out = String::new();
            session.execute_line(&commands, &mut Echo, &mut out);
            prop_assert!(out.ends_with('\n') || out.ends_with("> ") || commands.iter().any(|c| c.words == ["quit"]));
        }
    }

    #[test]
    fn answers_are_separated(texts in proptest::collection::vec("([a-z]{1,8}\n){0,3}", 1..6), prompt in any::<bool>(), cut in 1..9_usize) {
        let end = if prompt { "\n> " } else { "\n" };
        let all: String = texts.iter().map(|text| text.clone() + end).collect();
        let (mut answers, mut got) = (ResponseReader::default(), Vec::new());
        for piece in all.as_bytes().chunks(cut) {
            answers.push(piece);
            while let Some(answer) = answers.next_response() { got.push(answer) }
        }
        prop_assert_eq!(got, texts);
    }
}
