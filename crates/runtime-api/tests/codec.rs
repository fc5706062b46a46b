//! The codec and the session, with input in chunks of any size, malformed input and lines that are too long.

use lockcroft_runtime_api::tables::{
    ServerStateRow, StatRow, read_server_states, read_stat, write_server_states, write_stat,
};
use lockcroft_runtime_api::{
    AccessLevel, Command, CommandHandler, CommandReader, CommandResult, CommandSpec, LineTooLong,
    MAX_LINE_BYTES, ResponseReader, Session, SessionState, escape_word, parse_line,
};
use proptest::prelude::*;

/// A handler that responds with the arguments and the payload of a command.
struct EchoHandler;

const COMMANDS: [CommandSpec; 2] = [
    CommandSpec { words: "show echo [<word>]", level: AccessLevel::User, help: "return the word" },
    CommandSpec {
        words: "set echo <word>",
        level: AccessLevel::Admin,
        help: "return the word, for administrators",
    },
];

impl CommandHandler for EchoHandler {
    fn commands(&self) -> &'static [CommandSpec] {
        &COMMANDS
    }

    fn handle_command(&mut self, _: &CommandSpec, command: &Command) -> CommandResult {
        CommandResult::Text(format!(
            "{}{}",
            command.words[2..].join("|"),
            command.payload.clone().unwrap_or_default()
        ))
    }
}

/// Returns the responses to the lines of a new connection, and the state of the session after the last line.
fn execute_lines(level: AccessLevel, text: &str) -> (String, SessionState) {
    let (mut reader, mut session, mut out) = (CommandReader::default(), Session::new(level), String::new());
    reader.push(text.as_bytes());
    let mut state = SessionState::Stay;
    while let Ok(Some(commands)) = reader.next_line() {
        state = session.execute_line(&commands, &mut EchoHandler, &mut out);
        if state != SessionState::Stay {
            break;
        }
    }
    (out, state)
}

#[test]
fn a_session_without_prompt_closes_after_one_line() {
    assert_eq!(
        execute_lines(AccessLevel::User, "show echo a; show echo b\\ c\n"),
        ("a\n\nb c\n\n".into(), SessionState::Close)
    );
    assert_eq!(execute_lines(AccessLevel::User, "\n"), ("\n".into(), SessionState::Close));
}

#[test]
fn the_prompt_command_keeps_the_session_open() {
    assert_eq!(
        execute_lines(AccessLevel::User, "prompt\nshow echo a\n"),
        ("\n> a\n\n> ".into(), SessionState::Stay)
    );
    assert_eq!(
        execute_lines(AccessLevel::User, "prompt i\nshow echo a\n"),
        ("\na\n\n".into(), SessionState::Stay)
    );
    assert_eq!(execute_lines(AccessLevel::User, "prompt i\nprompt n\nshow echo a\n").1, SessionState::Close);
    assert_eq!(execute_lines(AccessLevel::User, "prompt\nquit\n").1, SessionState::Close);
}

#[test]
fn access_levels_are_enforced_and_can_only_be_lowered() {
    assert_eq!(execute_lines(AccessLevel::Operator, "set echo x\n").0, "Permission denied\n\n");
    assert_eq!(execute_lines(AccessLevel::Admin, "set echo x\n").0, "x\n\n");
    assert_eq!(execute_lines(AccessLevel::Admin, "user; operator; show cli level\n").0, "\n\nuser\n\n");
}

#[test]
fn unknown_commands_are_answered_with_the_help_for_the_access_level() {
    let (response, _) = execute_lines(AccessLevel::User, "shw echo\n");
    assert!(response.starts_with("Unknown command") && response.contains("show echo [<word>]"), "{response}");
    assert!(!response.contains("set echo"), "{response}");
}

#[test]
fn a_payload_ends_at_its_terminator() {
    assert_eq!(execute_lines(AccessLevel::User, "show echo <<\na 1\nb 2\n\n").0, "a 1\nb 2\n\n");
    assert_eq!(execute_lines(AccessLevel::User, "show echo <<end\na\n\nb\nend\n").0, "a\n\nb\n\n");
}

#[test]
fn an_endless_line_is_rejected_before_the_buffer_exceeds_the_limit() {
    let mut reader = CommandReader::default();
    let mut buffered_at_error = None;
    for _ in 0..(1 << 20) / 1024 {
        reader.push(&[b'x'; 1024]);
        if let Err(LineTooLong) = reader.next_line() {
            buffered_at_error = Some(reader.buffer().len());
            break;
        }
    }
    assert!(buffered_at_error.is_some_and(|bytes| bytes <= MAX_LINE_BYTES + 1024), "{buffered_at_error:?}");
}

#[test]
fn written_server_states_and_counters_are_parsed_unchanged() {
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
    // A table with the columns in another order and without the extensions, as other programs write it.
    let other = "# svname,pxname,stot,rtime,\ne1,t0,7,12,\n";
    assert_eq!(read_stat(other).map(|rows| (rows[0].total, rows[0].total_latency_ms)), Ok((7, None)));
}

#[test]
fn malformed_tables_are_rejected() {
    for malformed in ["", "garbage", "# pxname,svname\nx\n", "# pxname,svname,stot,\na,b,many,\n"] {
        assert!(read_stat(malformed).is_err(), "{malformed:?}");
    }
    for malformed in ["", "2\n# be_name\n", "1\n", "1\n# be_name srv_name\nt0 e1\n"] {
        assert!(read_server_states(malformed).is_err(), "{malformed:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The decoded lines do not depend on the sizes of the received chunks.
    #[test]
    fn lines_are_decoded_equally_from_chunks_of_any_size(lines in proptest::collection::vec("[a-z;\\\\ ]{0,30}", 1..8), chunk_sizes in proptest::collection::vec(1..20_usize, 1..50)) {
        let text = lines.join("\n") + "\n";
        let mut whole = CommandReader::default();
        whole.push(text.as_bytes());
        let mut chunked = CommandReader::default();
        let (mut offset, mut decoded) = (0, Vec::new());
        for chunk_size in chunk_sizes.iter().cycle() {
            if offset >= text.len() { break }
            let end = (offset + chunk_size).min(text.len());
            chunked.push(&text.as_bytes()[offset..end]);
            offset = end;
            while let Ok(Some(line)) = chunked.next_line() { decoded.push(line) }
        }
        let mut expected = Vec::new();
        while let Ok(Some(line)) = whole.next_line() { expected.push(line) }
        prop_assert_eq!(decoded, expected);
    }

    #[test]
    fn escaped_words_are_parsed_unchanged(word in "[ -~]{1,20}") {
        let commands = parse_line(&format!("show {}", escape_word(&word)));
        prop_assert_eq!(&commands[0].words[1], &word);
    }

    /// No input causes a panic, and a session responds to every line.
    #[test]
    fn arbitrary_bytes_get_a_response(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        let mut reader = CommandReader::default();
        reader.push(&bytes);
        let mut session = Session::new(AccessLevel::Admin);
        while let Ok(Some(commands)) = reader.next_line() {
            let mut out = String::new();
            session.execute_line(&commands, &mut EchoHandler, &mut out);
            prop_assert!(out.ends_with('\n') || out.ends_with("> ") || commands.iter().any(|command| command.words == ["quit"]));
        }
    }

    #[test]
    fn responses_are_separated_in_chunks_of_any_size(texts in proptest::collection::vec("([a-z]{1,8}\n){0,3}", 1..6), prompt in any::<bool>(), chunk_size in 1..9_usize) {
        let end = if prompt { "\n> " } else { "\n" };
        let all: String = texts.iter().map(|text| text.clone() + end).collect();
        let (mut reader, mut decoded) = (ResponseReader::default(), Vec::new());
        for chunk in all.as_bytes().chunks(chunk_size) {
            reader.push(chunk);
            while let Some(response) = reader.next_response() { decoded.push(response) }
        }
        prop_assert_eq!(decoded, texts);
    }
}
