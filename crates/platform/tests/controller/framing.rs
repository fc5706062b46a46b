//! Arbitrary input bytes, split at arbitrary positions.

use lockcroft_runtime_api::LineBuffer;
use proptest::prelude::*;

use crate::harness::Harness;

/// Generates valid messages, some with one changed byte, and random bytes.
fn any_line() -> impl Strategy<Value = Vec<u8>> {
    let valid = prop_oneof![
        Just(r#"{"t":"hb"}"#),
        Just(r#"{"t":"attach","node":5,"locality":"a","w":21.5,"cold":true}"#),
        Just(r#"{"t":"telemetry","locality":"a"}"#),
        Just(r#"{"t":"done","node":3,"nonce":905,"latency":310.4}"#),
        Just(r#"{"t":"client_stats","node":3,"route":"look","total":19,"errors":0,"interval":1000.0}"#),
        Just(
            r#"{"t":"upstream_stats","locality":"a","endpoint":"s-a","total":9,"errors":1,"rtt":4,"interval":9}"#
        ),
    ];
    let changed = (valid, any::<prop::sample::Index>(), any::<u8>(), any::<bool>());
    let changed = changed.prop_map(|(line, at, byte, change)| {
        let mut line = line.as_bytes().to_vec();
        let at = at.index(line.len());
        line[at] = if change { byte } else { line[at] };
        line
    });
    prop_oneof![4 => changed, 1 => prop::collection::vec(any::<u8>(), 0..60)]
}

proptest! {
    #[test]
    fn lines_do_not_depend_on_how_the_input_is_split(bytes in prop::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), any::<u8>()], 0..200),
            cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..8)) {
        let lines = |pieces: &[&[u8]]| {
            let (mut line_buffer, mut lines) = (LineBuffer::default(), Vec::new());
            for piece in pieces {
                line_buffer.buffer().extend_from_slice(piece);
                while let Some(line) = line_buffer.next_line(<[u8]>::to_vec) {
                    lines.push(line);
                }
            }
            (lines, line_buffer.pending().to_vec())
        };
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|cut| &bytes[cut[0]..cut[1]]).collect();
        prop_assert_eq!(lines(&pieces), lines(&[&bytes]));
    }

    /// Unidentified clients, collectors and proxies may send any bytes; a proxy that follows the protocol still gets
    /// its table.
    #[test]
    fn arbitrary_messages_do_not_affect_other_proxies(messages in prop::collection::vec((1..6_u64, any_line()), 0..60)) {
        let mut harness = Harness::new();
        harness.attach(9, 7, true);
        for (at, (connection, line)) in messages.iter().enumerate() {
            if at % 7 == 0 {
                harness.control_plane.connection_ended(*connection);
                harness.accept(*connection);
            }
            harness.control_plane.line_received(harness.now, *connection, line);
        }
        let trace = harness.run_to(5.5);
        prop_assert!(trace.contains("9 < {\"t\":\"assign\",\"full\":true"), "{}", trace);
    }
}
