//! Tables as protobuf files against JSON and against the text of runtime commands: bytes, and entries a second encoded
//! and decoded. Medians of nine, with the slowest and fastest. `cargo bench -p lockcroft-table-format`

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

use lockcroft_runtime_api::parse_line;
use lockcroft_table_format::{
    Key, KeyRing, SnapshotContent, Table, TableEntry, decode_table, open_manifest, seal,
};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct JsonEntry {
    server: String,
    address: String,
    weight: u32,
}

fn table(entries: usize) -> Table {
    let entry = |i: usize| {
        let address =
            format!("10.{}.{}.{}:8101", i / 65_536, i / 256 % 256, i % 256).parse().expect("an address");
        (format!("server-{i:05}"), TableEntry { address, weight: 1 + (i % 256) as u32 })
    };
    Table { entries: (0..entries).map(entry).collect() }
}

/// Prints entries a second, in millions.
fn rate(name: &str, lines: usize, bytes: usize, mut work: impl FnMut()) {
    let rounds = (200_000 / lines).max(1);
    let mut rates: Vec<f64> = (0..9)
        .map(|_| {
            let started = Instant::now();
            (0..rounds).for_each(|_| work());
            (rounds * lines) as f64 / started.elapsed().as_secs_f64() / 1e6
        })
        .collect();
    rates.sort_by(f64::total_cmp);
    println!(
        "{lines:6} lines  {name:24} {bytes:8} bytes  {:6.2} ({:.2} to {:.2})",
        rates[4], rates[0], rates[8]
    );
}

fn main() {
    println!("million lines a second");
    let keys = KeyRing(vec![Key::new("k1", &[7; 32]).expect("long enough")]);
    for lines in [25, 600, 10_000] {
        let table = table(lines);
        let content =
            SnapshotContent { tables: BTreeMap::from([(0, table.clone())]), ..SnapshotContent::default() };
        let snapshot = seal("p", 1, 1, &content, &keys);
        let file = snapshot.members["table-0"].bytes.clone();
        rate("file: written, sealed", lines, file.len(), || {
            drop(black_box(seal("p", 1, 1, &content, &keys)))
        });
        rate("file: checked, read", lines, file.len() + snapshot.manifest.len(), || {
            let opened = open_manifest(&snapshot.manifest, &keys).expect("sound");
            opened.verify_member("table-0", &file).expect("sound");
            black_box(decode_table("table-0", &file)).expect("sound");
        });
        let all: Vec<JsonEntry> = table
            .entries
            .iter()
            .map(|(server, line)| JsonEntry {
                server: server.clone(),
                address: line.address.to_string(),
                weight: line.weight,
            })
            .collect();
        let json = serde_json::to_vec(&all).expect("written");
        rate("JSON: written", lines, json.len(), || drop(black_box(serde_json::to_vec(&all))));
        rate("JSON: read", lines, json.len(), || {
            black_box(serde_json::from_slice::<Vec<JsonEntry>>(&json)).expect("sound");
        });
        let write = || {
            let command = |(server, line): (&String, &TableEntry)| {
                format!(
                    "add server t0/{server} {} weight {}; set server t0/{server} state ready; ",
                    line.address, line.weight
                )
            };
            table.entries.iter().map(command).collect::<String>()
        };
        let text = write();
        rate("commands: written", lines, text.len(), || drop(black_box(write())));
        rate("commands: split", lines, text.len(), || drop(black_box(parse_line(&text))));
    }
}
