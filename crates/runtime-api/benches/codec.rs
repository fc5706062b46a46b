//! Throughput of the codec in lines per second, compared with splitting the whole text without support for chunks,
//! escapes and limits; and throughput of writing and parsing tables of counters. Run:
//! cargo bench -p lockcroft-runtime-api

use std::hint::black_box;
use std::time::{Duration, Instant};

use lockcroft_runtime_api::tables::{StatRow, read_stat, write_stat};
use lockcroft_runtime_api::{CommandReader, ResponseReader};

const LINES: usize = 200_000;
/// The size of a read from a socket in bytes.
const CHUNK_BYTES: usize = 4096;

fn command_lines() -> String {
    (0..LINES).map(|i| format!("set server t{}/server-{} weight {}\n", i % 40, i % 640, i % 257)).collect()
}

/// Returns the number of words that [`CommandReader`] decodes.
fn count_words(text: &str) -> usize {
    let (mut reader, mut words) = (CommandReader::default(), 0);
    for chunk in text.as_bytes().chunks(CHUNK_BYTES) {
        reader.push(chunk);
        while let Ok(Some(commands)) = reader.next_line() {
            words += commands.iter().map(|command| command.words.len()).sum::<usize>();
        }
    }
    words
}

/// Returns the number of words by splitting the whole text. Copies each word into a string, as the codec does.
fn count_words_by_splitting(text: &str) -> usize {
    let words = |line: &str| line.split(' ').map(String::from).collect::<Vec<_>>();
    text.split('\n').filter(|line| !line.is_empty()).map(|line| black_box(words(line)).len()).sum()
}

fn count_responses(text: &str) -> usize {
    let (mut reader, mut count) = (ResponseReader::default(), 0);
    for chunk in text.as_bytes().chunks(CHUNK_BYTES) {
        reader.push(chunk);
        while reader.next_response().is_some() {
            count += 1;
        }
    }
    count
}

/// Prints the rate in the median of seven runs, with the lowest and the highest rate.
fn print_rate(name: &str, unit: &str, count: usize, mut run: impl FnMut() -> usize) {
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
    let text = command_lines();
    assert_eq!(count_words(&text), count_words_by_splitting(&text));
    print_rate("codec, in chunks of 4 KB", "lines", LINES, || count_words(&text));
    print_rate("plain split, all at once", "lines", LINES, || count_words_by_splitting(&text));
    let empty = "\n".repeat(LINES);
    print_rate("empty responses", "responses", LINES, || count_responses(&empty));
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
    print_rate("show stat written", "rows", 640 * 50, || (0..50).map(|_| write_stat(&rows).len()).sum());
    print_rate("show stat read", "rows", 640 * 50, || {
        (0..50).filter_map(|_| read_stat(&table).ok()).map(|rows| rows.len()).sum()
    });
}
