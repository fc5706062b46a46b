//! `lockcroft files`: what a folder of table snapshots holds, whether each is sound, what differs between two, and
//! publishing an earlier one again.

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

/// What `files back` leaves of the earlier snapshots.
const RETENTION: RetentionPolicy = RetentionPolicy { max_snapshots: 2, keep_earlier_epochs: true };

#[derive(Subcommand)]
pub enum FilesCommand {
    /// Show what a generation holds: tables, groups, withdrawals, and who has laid it.
    #[command(after_help = "Examples:\n  lockcroft files show /srv/tables --keys /etc/lockcroft/keys\n  \
        lockcroft files show /srv/tables --keys /etc/lockcroft/keys --generation e7g41 --json")]
    Show {
        #[command(flatten)]
        store: StoreArgs,
        /// As e7g41; without it the newest that is sound.
        #[arg(long)]
        generation: Option<SnapshotName>,
    },
    /// Check every generation in the folder, bit by bit; exit 1 if one that is current is not sound.
    #[command(after_help = "Example: lockcroft files verify /srv/tables --keys /etc/lockcroft/keys")]
    Verify {
        #[command(flatten)]
        store: StoreArgs,
    },
    /// Tell what differs between two generations.
    #[command(
        after_help = "Example: lockcroft files diff /srv/tables --keys /etc/lockcroft/keys e7g40 e7g41"
    )]
    Diff {
        #[command(flatten)]
        store: StoreArgs,
        from: SnapshotName,
        to: SnapshotName,
    },
    /// Take the folder over and publish an earlier generation as the newest. The pilot that writes there is fenced off, and
    /// proxies follow its tables again once it is started anew.
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
    /// The file with the keys that seal generations.
    #[arg(long)]
    keys: PathBuf,
    #[arg(long)]
    json: bool,
}

/// A snapshot that the folder holds.
struct ListedSnapshot {
    name: SnapshotName,
    /// Its epoch's pointer names it.
    current: bool,
}

impl FilesCommand {
    pub fn run(self) -> ExitCode {
        report(match self {
            FilesCommand::Show { store, generation } => store.show(generation),
            FilesCommand::Verify { store } => store.verify(),
            FilesCommand::Diff { store, from, to } => store.diff(from, to),
            FilesCommand::Back { store, to } => store.publish_again(to),
        })
    }
}

impl StoreArgs {
    fn read_keys(&self) -> Result<KeyRing, CliError> {
        read_keys(&self.keys).map_err(CliError::other)
    }

    fn load(&self, name: SnapshotName) -> Result<LoadedSnapshot, CliError> {
        let found =
            load_snapshot(&StoreLayout::new(&self.folder), name.epoch, name.version, &self.read_keys()?);
        found.map_err(|error| CliError::Snapshot { folder: self.folder.clone(), name, source: error.into() })
    }

    /// Every snapshot in the folder, in the order of the layout: epoch by epoch.
    fn list(&self) -> Result<Vec<ListedSnapshot>, CliError> {
        let layout = StoreLayout::new(&self.folder);
        let at_folder = |error: std::io::Error| CliError::at(&self.folder, error);
        let mut snapshots = Vec::new();
        for epoch in layout.epochs().map_err(at_folder)? {
            let current_version = layout.current_version(epoch);
            for version in layout.versions(epoch).map_err(at_folder)? {
                let name = SnapshotName { epoch, version };
                snapshots.push(ListedSnapshot { name, current: Some(version) == current_version });
            }
        }
        Ok(snapshots)
    }

    /// The first current snapshot of the folder that is sound.
    fn load_current(&self) -> Result<(SnapshotName, LoadedSnapshot), CliError> {
        let current = self.list()?.into_iter().filter(|snapshot| snapshot.current);
        let mut sound = current.filter_map(|snapshot| Some((snapshot.name, self.load(snapshot.name).ok()?)));
        sound.next().ok_or_else(|| CliError::NoSoundSnapshot(self.folder.clone()))
    }

    fn show(&self, generation: Option<SnapshotName>) -> Result<ExitCode, CliError> {
        let (name, snapshot) = match generation {
            Some(name) => (name, self.load(name)?),
            None => self.load_current()?,
        };
        let proxies = self.proxies_that_applied(name);
        if self.json {
            println!("{}", snapshot_json(name, &snapshot, &proxies));
            return Ok(ExitCode::SUCCESS);
        }
        let LoadedSnapshot { controller, key, bytes, .. } = &snapshot;
        println!("generation {name} by {controller}, sealed with {key}, {bytes} bytes");
        rows(&snapshot.content).iter().for_each(|row| println!("{row}"));
        println!("laid by {} proxies", proxies.len());
        Ok(ExitCode::SUCCESS)
    }

    /// Proxies whose last report says that they applied this snapshot.
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
        let mut sound = true;
        for ListedSnapshot { name, current } in self.list()? {
            let found = load_snapshot(&layout, name.epoch, name.version, &keys);
            sound &= found.is_ok() || !current;
            let finding = match found {
                Ok(snapshot) => format!("sound, sealed with {}", snapshot.key),
                Err(error) => error.to_string(),
            };
            if self.json {
                json_rows.push(json!({"generation": name.to_string(), "current": current, "said": finding}));
            } else {
                println!("{name}{} {finding}", if current { " (current)" } else { "" });
            }
        }
        if self.json {
            println!("{}", json!({"generations": json_rows, "sound": sound}));
        }
        Ok(if sound { ExitCode::SUCCESS } else { ExitCode::FAILURE })
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
            println!("{} lines differ", after.changed_entry_count(&before));
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Takes the folder over, which fences off its writer, and publishes an earlier snapshot as the newest.
    fn publish_again(&self, earlier: SnapshotName) -> Result<ExitCode, CliError> {
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
                "{earlier} is published as {published}; the pilot that wrote there is fenced off until it is started anew"
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
