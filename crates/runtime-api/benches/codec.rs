//! Lines a second through the codec, against a plain `split` reader that knows neither pieces nor
//! escapes nor limits; and tables of counters. Run: cargo bench -p lockcroft-runtime-api

use std::hint::black_box;
use std::time::{Duration, Instant};

use lockcroft_runtime_api::tables::{StatRow, read_stat, write_stat};
use lockcroft_runtime_api::{CommandReader, ResponseReader};

const LINES: usize = 200_000;
/// What a socket gives at a time.
const PIECE: usize = 4096;

fn text() -> String {
    (0..LINES).map(|i| format!("set server t{}/server-{} weight {}\n", i % 40, i % 640, i % 257)).collect()
}

fn codec(text: &str) -> usize {
    let (mut reader, mut words) = (CommandReader::default(), 0);
    for piece in text.as_bytes().chunks(PIECE) {
        reader.push(piece);
        while let Ok(Some(commands)) = reader.next_line() {
            words += commands.iter().map(|command| command.words.len()).sum::<usize>();
        }
    }
    words
}

/// The baseline: all at once, and each word as a string of its own, as the codec gives it.
fn plain(text: &str) -> usize {
    let words = |line: &str| line.split(' ').map(String::from).collect::<Vec<_>>();
    text.split('\n').filter(|line| !line.is_empty()).map(|line| black_box(words(line)).len()).sum()
}

fn answers(text: &str) -> usize {
    let (mut answers, mut count) = (ResponseReader::default(), 0);
    for piece in text.as_bytes().chunks(PIECE) {
        answers.push(piece);
        while answers.next_response().is_some() {
            count += 1;
        }
    }
    count
}

/// The median of seven runs.
fn time(name: &str, unit: &str, count: usize, mut run: impl FnMut() -> usize) {
    let mut times: Vec<Duration> = (0..7)
        .map(|_| {
            let started_at = Instant::now();
            black_box(run());
            started_at.elapsed()
        })
        .collect();
    times.sort();
    let rate = |time: Duration| count as f64 / time.as_secs_f64() / 1e6;
    println!(
        "{name}: {:.2} million {unit}/s ({:.2} to {:.2})",
        rate(times[3]),
        rate(times[6]),
        rate(times[0])
    );
}

fn main() {
    let text = text();
    assert_eq!(codec(&text), plain(&text));
    time("codec, in pieces of 4 KB", "lines", LINES, || codec(&text));
    time("plain split, all at once", "lines", LINES, || plain(&text));
    let empty = "\n".repeat(LINES);
    time("empty answers", "answers", LINES, || answers(&empty));
    let row = |i: usize| StatRow {
        name: "t0".into(),
        endpoint: format!("server-{i}"),
        status: "UP".into(),
        weight: 256,
        total: i as u64 * 7,
        total_latency_ms: Some(i as u64),
        ..StatRow::default()
    };
    let rows: Vec<StatRow> = (0..640).map(row).collect();
    let table = write_stat(&rows);
    time("show stat written", "rows", 640 * 50, || (0..50).map(|_| write_stat(&rows).len()).sum());
    time("show stat read", "rows", 640 * 50, || {
        (0..50).filter_map(|_| read_stat(&table).ok()).map(|r| r.len()).sum()
    });
}
