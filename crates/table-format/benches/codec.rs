//! Compares table files in protobuf with JSON and with the text of runtime API commands: size, and entries encoded and
//! decoded per second. Prints the median of nine runs, with the slowest and the fastest one.
//! Run with `cargo bench -p lockcroft-table-format`.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

use lockcroft_runtime_api::split;
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
            format!("10.{}.{}.{}:8101", i / 65_536, i / 256 % 256, i % 256).parse().expect("valid address");
        (format!("server-{i:05}"), TableEntry { address, weight: 1 + (i % 256) as u32 })
    };
    Table { entries: (0..entries).map(entry).collect() }
}

/// Runs `work`, which processes `entries` entries, and prints the throughput in millions of entries per second.
fn print_throughput(name: &str, entries: usize, bytes: usize, mut work: impl FnMut()) {
    let rounds = (200_000 / entries).max(1);
    let mut rates: Vec<f64> = (0..9)
        .map(|_| {
            let started = Instant::now();
            (0..rounds).for_each(|_| work());
            (rounds * entries) as f64 / started.elapsed().as_secs_f64() / 1e6
        })
        .collect();
    rates.sort_by(f64::total_cmp);
    println!(
        "{entries:6} entries  {name:24} {bytes:8} bytes  {:6.2} ({:.2} to {:.2})",
        rates[4], rates[0], rates[8]
    );
}

fn main() {
    println!("million entries per second");
    let keys = KeyRing(vec![Key::new("k1", &[7; 32]).expect("long enough")]);
    for entries in [25, 600, 10_000] {
        let table = table(entries);
        let content =
            SnapshotContent { tables: BTreeMap::from([(0, table.clone())]), ..SnapshotContent::default() };
        let snapshot = seal("p", 1, 1, &content, &keys);
        let file = snapshot.members["table-0"].bytes.clone();
        print_throughput("file: encoded, sealed", entries, file.len(), || {
            drop(black_box(seal("p", 1, 1, &content, &keys)))
        });
        print_throughput("file: verified, decoded", entries, file.len() + snapshot.manifest.len(), || {
            let opened = open_manifest(&snapshot.manifest, &keys).expect("valid manifest");
            opened.verify_member("table-0", &file).expect("valid member");
            black_box(decode_table("table-0", &file)).expect("valid table");
        });
        let json_entries: Vec<JsonEntry> = table
            .entries
            .iter()
            .map(|(endpoint, entry)| JsonEntry {
                server: endpoint.clone(),
                address: entry.address.to_string(),
                weight: entry.weight,
            })
            .collect();
        let json = serde_json::to_vec(&json_entries).expect("encoded");
        print_throughput("JSON: encoded", entries, json.len(), || {
            drop(black_box(serde_json::to_vec(&json_entries)))
        });
        print_throughput("JSON: decoded", entries, json.len(), || {
            black_box(serde_json::from_slice::<Vec<JsonEntry>>(&json)).expect("valid JSON");
        });
        let encode_commands = || {
            let command = |(endpoint, entry): (&String, &TableEntry)| {
                format!(
                    "add server t0/{endpoint} {} weight {}; set server t0/{endpoint} state ready; ",
                    entry.address, entry.weight
                )
            };
            table.entries.iter().map(command).collect::<String>()
        };
        let text = encode_commands();
        print_throughput("commands: encoded", entries, text.len(), || drop(black_box(encode_commands())));
        print_throughput("commands: split", entries, text.len(), || drop(black_box(split(&text))));
    }
}
