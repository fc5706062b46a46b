//! `lockcroft state`: what a controller's state folder holds, whether it is sound, and all of it as one snapshot.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use lockcroft_state_store::{
    DirectoryStorage, EntryValue, Key, LoadedState, RecoveryError, Store, StoreIdentity, load, owner_of,
};
use serde_json::{Value, json};

use crate::error::{CliError, report};

#[derive(Subcommand)]
pub enum StateCommand {
    /// Show what was learned, and when.
    #[command(after_help = "Example: lockcroft state show /var/lib/lockcroft/memory --json")]
    Show {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Check every file; exit 1 if anything had to be cut or passed over.
    #[command(after_help = "Example: lockcroft state verify /var/lib/lockcroft/memory")]
    Verify {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Write all that is known as one snapshot; not while a pilot holds the folder.
    #[command(after_help = "Example: lockcroft state compact /var/lib/lockcroft/memory")]
    Compact { folder: PathBuf },
}

impl StateCommand {
    pub fn run(self) -> ExitCode {
        report(match self {
            StateCommand::Show { folder, json } => read(&folder).map(|loaded| show(&loaded, json)),
            StateCommand::Verify { folder, json } => read(&folder).map(|loaded| verify(&loaded, json)),
            StateCommand::Compact { folder } => compact(&folder),
        })
    }
}

fn identity(folder: &Path, storage: &DirectoryStorage) -> Result<StoreIdentity, CliError> {
    let identity = owner_of(storage).map_err(|error| CliError::at(folder, RecoveryError::from(error)))?;
    identity.ok_or_else(|| CliError::NoState(folder.into()))
}

fn read(folder: &Path) -> Result<LoadedState, CliError> {
    let storage = DirectoryStorage::look(folder);
    let identity = identity(folder, &storage)?;
    load(&storage, &identity).map_err(|error| CliError::at(folder, error))
}

fn show(loaded: &LoadedState, json: bool) -> ExitCode {
    let rows: Vec<Value> =
        loaded.state.iter().map(|(key, (at_ms, value))| entry_json(key, *at_ms, value)).collect();
    if json {
        println!("{}", json!({"entries": rows, "bytes": loaded.bytes, "snapshot": loaded.from}));
    } else {
        rows.iter().for_each(|row| println!("{row}"));
        println!("{} entries, snapshot {}, {} bytes", rows.len(), loaded.from, loaded.bytes);
    }
    ExitCode::SUCCESS
}

/// One learned value with the time of its entry, in milliseconds since the Unix epoch.
fn entry_json(key: &Key, at_ms: u64, value: &EntryValue) -> Value {
    match (key, value) {
        (Key::Server(name), EntryValue::Server(endpoint)) => json!({
            "at_ms": at_ms, "server": name, "zone": endpoint.zone, "kind": endpoint.kind, "gone": endpoint.gone,
            "draining": endpoint.draining, "counter": endpoint.counter, "relief": endpoint.relief,
            "warm_ms": endpoint.warm_ms, "doubted_until_ms": endpoint.doubted_until_ms,
        }),
        (Key::Level(class, table), EntryValue::Level(rate)) => {
            json!({"at_ms": at_ms, "class": class, "table": table, "level": rate})
        }
        (Key::Size(endpoint), EntryValue::Size(cores)) => {
            json!({"at_ms": at_ms, "server": endpoint, "cores": cores})
        }
        (key, value) => json!({"at_ms": at_ms, "key": format!("{key:?}"), "what": format!("{value:?}")}),
    }
}

fn verify(loaded: &LoadedState, json: bool) -> ExitCode {
    let sound = loaded.remarks.is_empty();
    if json {
        println!("{}", json!({"sound": sound, "remarks": loaded.remarks}));
    } else {
        loaded.remarks.iter().for_each(|remark| println!("{remark}"));
        let verdict = if sound { "sound" } else { "not all sound" };
        println!("{} entries in {} files, {verdict}", loaded.state.len(), loaded.files);
    }
    if sound { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn compact(folder: &Path) -> Result<ExitCode, CliError> {
    let identity = identity(folder, &DirectoryStorage::look(folder))?;
    let storage = DirectoryStorage::hold(folder).map_err(|error| match error.kind() {
        io::ErrorKind::WouldBlock => CliError::StateInUse(folder.into()),
        _ => CliError::at(folder, RecoveryError::from(error)),
    })?;
    // Opening a store begins a new file number, which writes all of the state as its snapshot.
    let (store, loaded) = Store::open(storage, identity).map_err(|error| CliError::at(folder, error))?;
    println!("{} entries, {} bytes, snapshot {}", loaded.state.len(), store.bytes(), store.number());
    Ok(ExitCode::SUCCESS)
}
