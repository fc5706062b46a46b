//! `lockcroft files`: shows, verifies and compares the snapshots in a folder of table files, and republishes an earlier
//! snapshot.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Subcommand;
use lockcroft_table_format::{KeyRing, proto};
use lockcroft_table_store::{
    LoadedSnapshot, RetentionPolicy, SnapshotWriter, StatusReader, StoreLayout, load_snapshot, read_keys,
};
use serde_json::{Value, json};

use crate::error::{CliError, report};
use crate::snapshot_name::SnapshotName;
use crate::snapshot_rows::rows;

/// The snapshots that `files back` retains: those of all earlier epochs, from which proxies may still read.
const RETENTION: RetentionPolicy = RetentionPolicy { max_snapshots: 2, keep_earlier_epochs: true };

#[derive(Subcommand)]
pub enum FilesCommand {
    /// Show a snapshot: its tables, the groups of proxies, ejected servers, and the proxies that applied it.
    #[command(after_help = "Examples:\n  lockcroft files show /srv/tables --keys /etc/lockcroft/keys\n  \
        lockcroft files show /srv/tables --keys /etc/lockcroft/keys --generation e7g41 --json")]
    Show {
        #[command(flatten)]
        store: StoreArgs,
        /// The name of the snapshot, such as e7g41; by default the newest current one that is valid.
        #[arg(long = "generation", value_name = "GENERATION")]
        name: Option<SnapshotName>,
    },
    /// Verify every snapshot in the folder; exit 1 if a current one is invalid.
    #[command(after_help = "Example: lockcroft files verify /srv/tables --keys /etc/lockcroft/keys")]
    Verify {
        #[command(flatten)]
        store: StoreArgs,
    },
    /// Show the differences between two snapshots.
    #[command(
        after_help = "Example: lockcroft files diff /srv/tables --keys /etc/lockcroft/keys e7g40 e7g41"
    )]
    Diff {
        #[command(flatten)]
        store: StoreArgs,
        from: SnapshotName,
        to: SnapshotName,
    },
    /// Publish an earlier snapshot again, as the newest one in a new epoch. This fences off the controller that writes
    /// to the folder; proxies apply its tables again once it is restarted.
    #[command(after_help = "Example: lockcroft files back /srv/tables --keys /etc/lockcroft/keys e7g40")]
    Back {
        #[command(flatten)]
        store: StoreArgs,
        to: SnapshotName,
    },
}

#[derive(clap::Args)]
pub struct StoreArgs {
    folder: PathBuf,
    /// The file with the keys that snapshots are sealed with.
    #[arg(long)]
    keys: PathBuf,
    #[arg(long)]
    json: bool,
}

/// A snapshot in the folder.
struct ListedSnapshot {
    name: SnapshotName,
    /// True if the link `current` of its epoch points to it.
    is_current: bool,
}

impl FilesCommand {
    pub fn run(self) -> ExitCode {
        report(match self {
            FilesCommand::Show { store, name } => store.show(name),
            FilesCommand::Verify { store } => store.verify(),
            FilesCommand::Diff { store, from, to } => store.diff(from, to),
            FilesCommand::Back { store, to } => store.republish(to),
        })
    }
}

impl StoreArgs {
    fn read_keys(&self) -> Result<KeyRing, CliError> {
        read_keys(&self.keys).map_err(CliError::other)
    }

    fn load(&self, name: SnapshotName) -> Result<LoadedSnapshot, CliError> {
        let loaded =
            load_snapshot(&StoreLayout::new(&self.folder), name.epoch, name.version, &self.read_keys()?);
        loaded.map_err(|error| CliError::Snapshot { folder: self.folder.clone(), name, source: error.into() })
    }

    /// Returns every snapshot in the folder, valid or not; the highest epoch and version come first.
    fn list(&self) -> Result<Vec<ListedSnapshot>, CliError> {
        let layout = StoreLayout::new(&self.folder);
        let at_folder = |error: std::io::Error| CliError::at(&self.folder, error);
        let mut snapshots = Vec::new();
        for epoch in layout.epochs().map_err(at_folder)? {
            let current_version = layout.current_version(epoch);
            for version in layout.versions(epoch).map_err(at_folder)? {
                let name = SnapshotName { epoch, version };
                snapshots.push(ListedSnapshot { name, is_current: Some(version) == current_version });
            }
        }
        Ok(snapshots)
    }

    /// Loads the current snapshot of the highest epoch for which it is valid.
    fn load_current(&self) -> Result<(SnapshotName, LoadedSnapshot), CliError> {
        let current = self.list()?.into_iter().filter(|snapshot| snapshot.is_current);
        let mut valid = current.filter_map(|snapshot| Some((snapshot.name, self.load(snapshot.name).ok()?)));
        valid.next().ok_or_else(|| CliError::NoValidSnapshot(self.folder.clone()))
    }

    fn show(&self, name: Option<SnapshotName>) -> Result<ExitCode, CliError> {
        let (name, snapshot) = match name {
            Some(name) => (name, self.load(name)?),
            None => self.load_current()?,
        };
        let proxies = self.proxies_that_applied(name);
        if self.json {
            println!("{}", snapshot_json(name, &snapshot, &proxies));
            return Ok(ExitCode::SUCCESS);
        }
        let LoadedSnapshot { controller, key, bytes, .. } = &snapshot;
        println!("snapshot {name} by controller {controller}, sealed with key {key}, {bytes} bytes");
        rows(&snapshot.content).iter().for_each(|row| println!("{row}"));
        println!("applied by {} proxies", proxies.len());
        Ok(ExitCode::SUCCESS)
    }

    /// Returns the proxies whose status file states this snapshot as the last one they applied. A status directory that
    /// can't be read counts as empty.
    fn proxies_that_applied(&self, name: SnapshotName) -> Vec<String> {
        let applied = |status: &proto::Status| {
            let last = status.laid.last();
            last.is_some_and(|laid| SnapshotName { epoch: laid.epoch, version: laid.version } == name)
        };
        let statuses = StatusReader::default().read_changed(&self.folder).unwrap_or_default();
        statuses.into_iter().filter(applied).map(|status| status.proxy).collect()
    }

    fn verify(&self) -> Result<ExitCode, CliError> {
        let keys = self.read_keys()?;
        let layout = StoreLayout::new(&self.folder);
        let mut json_rows = Vec::new();
        let mut valid = true;
        for ListedSnapshot { name, is_current } in self.list()? {
            let loaded = load_snapshot(&layout, name.epoch, name.version, &keys);
            valid &= loaded.is_ok() || !is_current;
            let result = match loaded {
                Ok(snapshot) => format!("valid, sealed with key {}", snapshot.key),
                Err(error) => error.to_string(),
            };
            if self.json {
                json_rows
                    .push(json!({"generation": name.to_string(), "current": is_current, "said": result}));
            } else {
                println!("{name}{} {result}", if is_current { " (current)" } else { "" });
            }
        }
        if self.json {
            println!("{}", json!({"generations": json_rows, "sound": valid}));
        }
        Ok(if valid { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn diff(&self, from: SnapshotName, to: SnapshotName) -> Result<ExitCode, CliError> {
        let before = self.load(from)?.content;
        let after = self.load(to)?.content;
        let old_rows = rows(&before);
        let new_rows = rows(&after);
        let removed = old_rows.iter().filter(|row| !new_rows.contains(row)).map(|row| format!("- {row}"));
        let added = new_rows.iter().filter(|row| !old_rows.contains(row)).map(|row| format!("+ {row}"));
        let differences: Vec<String> = removed.chain(added).collect();
        if self.json {
            println!("{}", json!({"from": from.to_string(), "to": to.to_string(), "lines": differences}));
        } else {
            differences.iter().for_each(|row| println!("{row}"));
            println!("{} entries differ", after.changed_entry_count(&before));
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Acquires a new epoch, which fences off the current writer, and publishes an earlier snapshot as the newest one.
    fn republish(&self, earlier: SnapshotName) -> Result<ExitCode, CliError> {
        let snapshot = self.load(earlier)?;
        let mut writer = SnapshotWriter::acquire_epoch(&self.folder, "operator", self.read_keys()?)
            .map_err(|error| CliError::at(&self.folder, error))?;
        let written =
            writer.write(&snapshot.content, RETENTION).map_err(|error| CliError::at(&self.folder, error))?;
        let published = SnapshotName { epoch: written.epoch, version: written.version };
        if self.json {
            println!("{}", json!({"published": published.to_string(), "as": earlier.to_string()}));
        } else {
            println!(
                "published snapshot {earlier} as {published}; the controller that wrote here is fenced off until it is restarted"
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn snapshot_json(name: SnapshotName, snapshot: &LoadedSnapshot, proxies: &[String]) -> Value {
    json!({
        "generation": name.to_string(),
        "pilot": snapshot.controller,
        "key": snapshot.key,
        "bytes": snapshot.bytes,
        "lines": rows(&snapshot.content),
        "laid_by": proxies,
    })
}
