//! `lockcroft files`: what stands in a folder of generations, whether it is sound, what differs, and back by one.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Subcommand;
use lockcroft_table_format::{KeyRing, SnapshotContent};
use lockcroft_table_store::{
    Epoch, LoadedSnapshot, RetentionPolicy, SnapshotWriter, StatusReader, StoreLayout, Version, find,
    read_keys,
};
use serde_json::{Value, json};

#[derive(Subcommand)]
pub enum Files {
    /// Show what a generation holds: tables, groups, withdrawals, and who has laid it.
    #[command(after_help = "Examples:\n  lockcroft files show /srv/tables --keys /etc/lockcroft/keys\n  \
        lockcroft files show /srv/tables --keys /etc/lockcroft/keys --generation e7g41 --json")]
    Show {
        #[command(flatten)]
        place: Place,
        /// As e7g41; without it the newest that is sound.
        #[arg(long)]
        generation: Option<Name>,
    },
    /// Check every generation in the folder, bit by bit; exit 1 if one that is current is not sound.
    #[command(after_help = "Example: lockcroft files verify /srv/tables --keys /etc/lockcroft/keys")]
    Verify {
        #[command(flatten)]
        place: Place,
    },
    /// Tell what differs between two generations.
    #[command(
        after_help = "Example: lockcroft files diff /srv/tables --keys /etc/lockcroft/keys e7g40 e7g41"
    )]
    Diff {
        #[command(flatten)]
        place: Place,
        from: Name,
        to: Name,
    },
    /// Take the folder over and publish an earlier generation as the newest. The pilot that writes there is fenced off, and
    /// proxies follow its tables again once it is started anew.
    #[command(after_help = "Example: lockcroft files back /srv/tables --keys /etc/lockcroft/keys e7g40")]
    Back {
        #[command(flatten)]
        place: Place,
        to: Name,
    },
}

#[derive(clap::Args)]
pub struct Place {
    folder: PathBuf,
    /// The file with the keys that seal generations.
    #[arg(long)]
    keys: PathBuf,
    #[arg(long)]
    json: bool,
}

/// A generation's name, as `e7g41`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Name(Epoch, Version);

impl std::str::FromStr for Name {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts = text.strip_prefix('e').and_then(|rest| rest.split_once('g'));
        let name = parts.and_then(|(epoch, version)| Some(Name(epoch.parse().ok()?, version.parse().ok()?)));
        name.ok_or_else(|| format!("{text:?} is no generation; e7g41 is one"))
    }
}

impl std::fmt::Display for Name {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(out, "e{}g{}", self.0, self.1)
    }
}

impl Files {
    pub fn run(self) -> ExitCode {
        let done = match self {
            Files::Show { place, generation } => place.show(generation),
            Files::Verify { place } => place.verify(),
            Files::Diff { place, from, to } => place.diff(from, to),
            Files::Back { place, to } => place.back(to),
        };
        done.unwrap_or_else(|wrong| {
            eprintln!("lockcroft: {wrong}");
            ExitCode::FAILURE
        })
    }
}

impl Place {
    fn keys(&self) -> Result<KeyRing, String> {
        read_keys(&self.keys).map_err(|error| error.to_string())
    }

    fn find(&self, Name(epoch, version): Name) -> Result<LoadedSnapshot, String> {
        let found = find(&StoreLayout::new(&self.folder), epoch, version, &self.keys()?);
        found.map_err(|why| format!("{}: e{epoch}g{version}: {why}", self.folder.display()))
    }

    fn named(&self) -> Result<Vec<(Name, bool)>, String> {
        let layout = StoreLayout::new(&self.folder);
        let wrong = |e: std::io::Error| format!("{}: {e}", self.folder.display());
        let mut names = Vec::new();
        for epoch in layout.epochs().map_err(wrong)? {
            let current = layout.current_version(epoch);
            let versions = layout.versions(epoch).map_err(wrong)?;
            names
                .extend(versions.into_iter().map(|version| (Name(epoch, version), Some(version) == current)));
        }
        Ok(names)
    }

    fn show(&self, generation: Option<Name>) -> Result<ExitCode, String> {
        let (name, found) = match generation {
            Some(name) => (name, self.find(name)?),
            None => {
                let current = self.named()?.into_iter().filter(|(_, current)| *current);
                let mut sound = current.filter_map(|(name, _)| Some((name, self.find(name).ok()?)));
                sound
                    .next()
                    .ok_or_else(|| format!("{}: no sound generation is current", self.folder.display()))?
            }
        };
        let laid = self.laid(name);
        if self.json {
            println!("{}", show_json(name, &found, &laid));
        } else {
            println!(
                "generation {name} by {}, sealed with {}, {} bytes",
                found.pilot, found.key, found.bytes
            );
            show(&found.content);
            println!("laid by {} proxies", laid.len());
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Proxies whose last word is that they have laid it.
    fn laid(&self, name: Name) -> Vec<String> {
        let statuses = StatusReader::default().look(&self.folder).unwrap_or_default();
        let on = |status: &lockcroft_table_format::proto::Status| {
            status.laid.last().is_some_and(|laid| Name(laid.epoch, laid.version) == name)
        };
        statuses.into_iter().filter(on).map(|status| status.proxy).collect()
    }

    fn verify(&self) -> Result<ExitCode, String> {
        let keys = self.keys()?;
        let layout = StoreLayout::new(&self.folder);
        let (mut rows, mut sound) = (Vec::new(), true);
        for (name, current) in self.named()? {
            let found = find(&layout, name.0, name.1, &keys);
            sound &= found.is_ok() || !current;
            let said =
                found.map_or_else(|why| why.to_string(), |found| format!("sound, sealed with {}", found.key));
            if self.json {
                rows.push(json!({"generation": name.to_string(), "current": current, "said": said}));
            } else {
                println!("{name}{} {said}", if current { " (current)" } else { "" });
            }
        }
        if self.json {
            println!("{}", json!({"generations": rows, "sound": sound}));
        }
        Ok(if sound { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn diff(&self, from: Name, to: Name) -> Result<ExitCode, String> {
        let (before, after) = (self.find(from)?.content, self.find(to)?.content);
        let (old, new) = (rows(&before), rows(&after));
        let gone = old.iter().filter(|row| !new.contains(row)).map(|row| format!("- {row}"));
        let come = new.iter().filter(|row| !old.contains(row)).map(|row| format!("+ {row}"));
        let lines: Vec<String> = gone.chain(come).collect();
        if self.json {
            println!("{}", json!({"from": from.to_string(), "to": to.to_string(), "lines": lines}));
        } else {
            lines.iter().for_each(|line| println!("{line}"));
            println!("{} lines differ", after.differs(&before));
        }
        Ok(ExitCode::SUCCESS)
    }

    fn back(&self, to: Name) -> Result<ExitCode, String> {
        let found = self.find(to)?;
        let wrong = |wrong: String| format!("{}: {wrong}", self.folder.display());
        let mut writer =
            SnapshotWriter::take(&self.folder, "operator", self.keys()?).map_err(|e| wrong(e.to_string()))?;
        let keep = RetentionPolicy { generations: 2, earlier_epochs: true };
        let written = writer.write(&found.content, keep).map_err(|e| wrong(e.to_string()))?;
        let name = Name(written.epoch, written.version);
        if self.json {
            println!("{}", json!({"published": name.to_string(), "as": to.to_string()}));
        } else {
            println!(
                "{to} is published as {name}; the pilot that wrote there is fenced off until it is started anew"
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// Each line of a generation, as text that stands for itself.
fn rows(content: &SnapshotContent) -> Vec<String> {
    let mut rows = Vec::new();
    for (number, table) in &content.tables {
        let line = |(server, line): (&String, &lockcroft_table_format::TableEntry)| {
            format!("t{number} {server} {} weight {}", line.address, line.weight)
        };
        rows.extend(table.lines.iter().map(line));
    }
    for group in content.groups.values() {
        let proxies = group.proxies.iter().cloned().collect::<Vec<_>>().join(",");
        for (class, bound) in &group.bound {
            let again = if bound.again { ", second tries" } else { "" };
            rows.push(format!(
                "{class} t{} let in {}{again} at {proxies}",
                bound.table,
                f64::from(bound.level) / 1e3
            ));
        }
    }
    rows.extend(content.withdrawn.iter().map(|server| format!("withdrawn {server}")));
    rows
}

fn show(content: &SnapshotContent) {
    rows(content).iter().for_each(|row| println!("{row}"));
}

fn show_json(name: Name, found: &LoadedSnapshot, laid: &[String]) -> Value {
    json!({
        "generation": name.to_string(),
        "pilot": found.pilot,
        "key": found.key,
        "bytes": found.bytes,
        "lines": rows(&found.content),
        "laid_by": laid,
    })
}
