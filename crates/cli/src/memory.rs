//! `lockcroft memory`: what a pilot's folder holds, whether it is sound, and all of it in one snapshot.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Subcommand;
use lockcroft_state_store::{
    DirectoryStorage, EntryValue, Key, LoadedState, RecoveryError, Store, load, owner_of,
};
use serde_json::json;

#[derive(Subcommand)]
pub enum Memory {
    /// Show what was learned, and when.
    #[command(after_help = "Example: lockcroft memory show /var/lib/lockcroft/memory --json")]
    Show {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Check every file; exit 1 if anything had to be cut or passed over.
    #[command(after_help = "Example: lockcroft memory verify /var/lib/lockcroft/memory")]
    Verify {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Write all that is known as one snapshot; not while a pilot holds the folder.
    #[command(after_help = "Example: lockcroft memory compact /var/lib/lockcroft/memory")]
    Compact { folder: PathBuf },
}

impl Memory {
    pub fn run(self) -> ExitCode {
        let done = match self {
            Memory::Show { folder, json } => read(&folder).map(|loaded| show(&loaded, json)),
            Memory::Verify { folder, json } => read(&folder).map(|loaded| verify(&loaded, json)),
            Memory::Compact { folder } => compact(&folder),
        };
        done.unwrap_or_else(|wrong| {
            eprintln!("lockcroft: {wrong}");
            ExitCode::FAILURE
        })
    }
}

fn read(folder: &std::path::Path) -> Result<LoadedState, String> {
    let wrong = |trouble: RecoveryError| format!("{}: {trouble}", folder.display());
    let disk = DirectoryStorage::look(folder);
    let owner = owner_of(&disk).map_err(|e| wrong(e.into()))?;
    let owner = owner.ok_or_else(|| format!("{}: no memory", folder.display()))?;
    load(&disk, &owner).map_err(wrong)
}

fn show(loaded: &LoadedState, json: bool) -> ExitCode {
    let row = |(key, (at_ms, what)): (&Key, &(u64, EntryValue))| match (key, what) {
        (Key::Server(name), EntryValue::Server(note)) => json!({
            "at_ms": at_ms, "server": name, "zone": note.zone, "kind": note.kind, "gone": note.gone,
            "draining": note.draining, "counter": note.counter, "relief": note.relief,
            "warm_ms": note.warm_ms, "doubted_until_ms": note.doubted_until_ms,
        }),
        (Key::Level(class, table), EntryValue::Level(level)) => {
            json!({"at_ms": at_ms, "class": class, "table": table, "level": level})
        }
        (Key::Size(server), EntryValue::Size(cores)) => {
            json!({"at_ms": at_ms, "server": server, "cores": cores})
        }
        (key, what) => json!({"at_ms": at_ms, "key": format!("{key:?}"), "what": format!("{what:?}")}),
    };
    let rows: Vec<_> = loaded.state.iter().map(row).collect();
    if json {
        println!("{}", json!({"entries": rows, "bytes": loaded.bytes, "snapshot": loaded.from}));
    } else {
        rows.iter().for_each(|row| println!("{row}"));
        println!("{} entries, snapshot {}, {} bytes", rows.len(), loaded.from, loaded.bytes);
    }
    ExitCode::SUCCESS
}

fn verify(loaded: &LoadedState, json: bool) -> ExitCode {
    if json {
        println!("{}", json!({"sound": loaded.remarks.is_empty(), "remarks": loaded.remarks}));
    } else {
        loaded.remarks.iter().for_each(|remark| println!("{remark}"));
        println!(
            "{} entries in {} files, {}",
            loaded.state.len(),
            loaded.files,
            if loaded.remarks.is_empty() { "sound" } else { "not all sound" }
        );
    }
    if loaded.remarks.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn compact(folder: &std::path::Path) -> Result<ExitCode, String> {
    let wrong = |trouble: RecoveryError| format!("{}: {trouble}", folder.display());
    let owner = owner_of(&DirectoryStorage::look(folder)).map_err(|e| wrong(e.into()))?;
    let owner = owner.ok_or_else(|| format!("{}: no memory", folder.display()))?;
    let disk = DirectoryStorage::hold(folder).map_err(|e| match e.kind() {
        std::io::ErrorKind::WouldBlock => format!("{}: a pilot holds it", folder.display()),
        _ => wrong(e.into()),
    })?;
    // To begin a number is to write all of it.
    let (store, loaded) = Store::open(disk, owner).map_err(wrong)?;
    println!("{} entries, {} bytes, snapshot {}", loaded.state.len(), store.bytes(), store.number());
    Ok(ExitCode::SUCCESS)
}
