//! `lockcroft state`: shows, verifies and compacts the state that a controller persisted in a folder.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use lockcroft_state_store::{
    DirectoryStorage, EntryKey, EntryValue, LoadedState, RecoveryError, Store, StoreIdentity, load,
    read_identity,
};
use serde_json::{Value, json};

use crate::error::{CliError, report};

#[derive(Subcommand)]
pub enum StateCommand {
    /// Show the persisted entries and their times.
    #[command(after_help = "Example: lockcroft state show /var/lib/lockcroft/memory --json")]
    Show {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Verify every file; exit 1 if any part of one was ignored.
    #[command(after_help = "Example: lockcroft state verify /var/lib/lockcroft/memory")]
    Verify {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Write all entries to one snapshot; fails while a controller uses the folder.
    #[command(after_help = "Example: lockcroft state compact /var/lib/lockcroft/memory")]
    Compact { folder: PathBuf },
}

impl StateCommand {
    pub fn run(self) -> ExitCode {
        report(match self {
            StateCommand::Show { folder, json } => load_state(&folder).map(|loaded| show(&loaded, json)),
            StateCommand::Verify { folder, json } => load_state(&folder).map(|loaded| verify(&loaded, json)),
            StateCommand::Compact { folder } => compact(&folder),
        })
    }
}

fn require_identity(folder: &Path, storage: &DirectoryStorage) -> Result<StoreIdentity, CliError> {
    let identity =
        read_identity(storage).map_err(|error| CliError::at(folder, RecoveryError::from(error)))?;
    identity.ok_or_else(|| CliError::NoState(folder.into()))
}

fn load_state(folder: &Path) -> Result<LoadedState, CliError> {
    let storage = DirectoryStorage::open_read_only(folder);
    let identity = require_identity(folder, &storage)?;
    load(&storage, &identity).map_err(|error| CliError::at(folder, error))
}

fn show(loaded: &LoadedState, json: bool) -> ExitCode {
    let rows: Vec<Value> =
        loaded.state.iter().map(|(key, (at_ms, value))| entry_json(key, *at_ms, value)).collect();
    if json {
        println!("{}", json!({"entries": rows, "bytes": loaded.bytes, "snapshot": loaded.snapshot_number}));
    } else {
        rows.iter().for_each(|row| println!("{row}"));
        println!("{} entries, snapshot {}, {} bytes", rows.len(), loaded.snapshot_number, loaded.bytes);
    }
    ExitCode::SUCCESS
}

/// Returns an entry as JSON. Its time is in milliseconds since the Unix epoch.
fn entry_json(key: &EntryKey, at_ms: u64, value: &EntryValue) -> Value {
    match (key, value) {
        (EntryKey::Endpoint(name), EntryValue::Endpoint(endpoint)) => json!({
            "at_ms": at_ms, "server": name, "zone": endpoint.zone, "kind": endpoint.machine_type, "gone": endpoint.removed,
            "draining": endpoint.draining, "counter": endpoint.health_counter, "relief": endpoint.weight_factor,
            "warm_ms": endpoint.slow_start_until_ms, "doubted_until_ms": endpoint.outlier_until_ms,
        }),
        (EntryKey::AdmissionRate(class, table), EntryValue::AdmissionRate(rate)) => {
            json!({"at_ms": at_ms, "class": class, "table": table, "level": rate})
        }
        (EntryKey::Capacity(endpoint), EntryValue::Capacity(cores)) => {
            json!({"at_ms": at_ms, "server": endpoint, "cores": cores})
        }
        (key, value) => json!({"at_ms": at_ms, "key": format!("{key:?}"), "what": format!("{value:?}")}),
    }
}

fn verify(loaded: &LoadedState, json: bool) -> ExitCode {
    let valid = loaded.warnings.is_empty();
    if json {
        println!("{}", json!({"sound": valid, "remarks": loaded.warnings}));
    } else {
        loaded.warnings.iter().for_each(|warning| println!("{warning}"));
        let result = if valid { "all valid" } else { "not all valid" };
        println!("{} entries in {} files, {result}", loaded.state.len(), loaded.files);
    }
    if valid { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn compact(folder: &Path) -> Result<ExitCode, CliError> {
    let identity = require_identity(folder, &DirectoryStorage::open_read_only(folder))?;
    let storage = DirectoryStorage::open_exclusive(folder).map_err(|error| match error.kind() {
        io::ErrorKind::WouldBlock => CliError::StateInUse(folder.into()),
        _ => CliError::at(folder, RecoveryError::from(error)),
    })?;
    // Opening a store starts a new file number and writes the complete state as the snapshot of that number.
    let (store, loaded) = Store::open(storage, identity).map_err(|error| CliError::at(folder, error))?;
    println!("{} entries, {} bytes, snapshot {}", loaded.state.len(), store.bytes(), store.snapshot_number());
    Ok(ExitCode::SUCCESS)
}
