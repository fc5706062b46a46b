//! A proxy's side: the newest sound generation, and what of it concerns the proxy.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use lockcroft_table_format::{
    KeyRing, MANIFEST, MAX_MANIFEST_BYTES, MAX_MEMBER_BYTES, OpenedManifest, ProxyAssignment, ProxyGroup,
    Table, WITHDRAWN, open, read_group, read_table, read_withdrawn,
};

use crate::follow::{SnapshotDecision, SnapshotSelector};
use crate::layout::{Epoch, StoreLayout, Version};

/// What a generation says for one proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedSnapshot {
    pub epoch: Epoch,
    pub version: Version,
    /// By class, with the tables that they name. None are named where its pilot has not put the proxy on any yet:
    /// it keeps what it holds.
    pub bound: BTreeMap<String, ProxyAssignment>,
    pub tables: BTreeMap<u32, Table>,
    pub withdrawn: BTreeSet<String>,
}

/// A generation that was not believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedSnapshot {
    pub epoch: Epoch,
    pub version: Version,
    pub why: String,
}

/// What one look gave.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScanResult {
    /// To be laid, oldest first: after a start, tables of an earlier epoch may come before withdrawals of this one.
    pub lay: Vec<AppliedSnapshot>,
    pub refused: Vec<RejectedSnapshot>,
}

/// Follows a folder for one proxy.
pub struct SnapshotReader {
    layout: StoreLayout,
    keys: KeyRing,
    proxy: String,
    follow: SnapshotSelector,
    /// The generation that was looked at last, if there was nothing wrong with it.
    seen: Option<(Epoch, Version)>,
    /// Members as they were read, by name, with their digests.
    groups: BTreeMap<String, ([u8; 32], ProxyGroup)>,
    tables: BTreeMap<String, ([u8; 32], Table)>,
}

impl SnapshotReader {
    /// Nothing older than `floor` is laid.
    pub fn new(folder: &Path, proxy: &str, keys: KeyRing, floor: Option<(Epoch, Version)>) -> Self {
        SnapshotReader {
            layout: StoreLayout::new(folder),
            keys,
            proxy: proxy.into(),
            follow: SnapshotSelector::from(floor),
            seen: None,
            groups: BTreeMap::new(),
            tables: BTreeMap::new(),
        }
    }

    /// Keys that were turned over.
    pub fn turn_over(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// What the newest sound generation brings beyond what was laid. Costs a look at a link where nothing is new.
    ///
    /// # Errors
    /// The folder can't be read.
    pub fn look(&mut self) -> io::Result<ScanResult> {
        let epochs = self.layout.epochs()?;
        let looked = if self.follow.stands() { self.go_on(&epochs) } else { self.start(&epochs) };
        if let Some(last) = looked.lay.last() {
            self.follow.laid(last.epoch, last.version);
            self.seen = Some((last.epoch, last.version));
        }
        Ok(looked)
    }

    /// The first sound one decides, and lower epochs are not looked at: what is held is better than what is older.
    fn go_on(&mut self, epochs: &[Epoch]) -> ScanResult {
        let mut looked = ScanResult::default();
        for epoch in epochs {
            let Some(version) = self.layout.current_version(*epoch) else { continue };
            if self.seen == Some((*epoch, version)) {
                break;
            }
            let refuse = |why: String| RejectedSnapshot { epoch: *epoch, version, why };
            match (self.read(*epoch, version), self.follow.consider(*epoch, version)) {
                (Err(why), _) => looked.refused.push(refuse(why)),
                (Ok(mine), SnapshotDecision::Lay) => {
                    looked.lay.push(mine);
                    break;
                }
                (Ok(_), SnapshotDecision::Stands) => break,
                (Ok(_), SnapshotDecision::Old) => {
                    // Of several only the one that would be the newest is worth telling.
                    if looked.refused.is_empty() {
                        looked.refused.push(refuse(self.follow.older()));
                    }
                    break;
                }
            }
        }
        looked
    }

    /// After a start: the last good generation, in its epoch whatever the link says, and not older than what was laid
    /// before the start if there is any other.
    fn start(&mut self, epochs: &[Epoch]) -> ScanResult {
        let (mut looked, mut old) = (ScanResult::default(), None);
        for epoch in epochs {
            let Some(current) = self.layout.current_version(*epoch) else { continue };
            let others = self.layout.versions(*epoch).unwrap_or_default();
            let others = others.into_iter().filter(|version| *version != current);
            for version in std::iter::once(current).chain(others) {
                let refuse = |why: String| RejectedSnapshot { epoch: *epoch, version, why };
                match (self.read(*epoch, version), self.follow.consider(*epoch, version)) {
                    (Err(why), _) => looked.refused.push(refuse(why)),
                    (Ok(mine), SnapshotDecision::Lay | SnapshotDecision::Stands) => {
                        self.begin_with(mine, &mut looked);
                        return looked;
                    }
                    (Ok(mine), SnapshotDecision::Old) => {
                        looked.refused.push(refuse(self.follow.older()));
                        old.get_or_insert(mine);
                    }
                }
            }
        }
        if let Some(mine) = old {
            self.begin_with(mine, &mut looked);
        }
        looked
    }

    fn begin_with(&mut self, mine: AppliedSnapshot, looked: &mut ScanResult) {
        if mine.bound.is_empty() {
            self.earlier(mine.epoch, &mine, looked);
        }
        looked.lay.push(mine);
    }

    /// A pilot that has put the proxy on no table yet: those of the one before it stand.
    fn earlier(&mut self, epoch: Epoch, mine: &AppliedSnapshot, looked: &mut ScanResult) {
        let epochs = self.layout.epochs().unwrap_or_default();
        for before in epochs.into_iter().filter(|before| *before < epoch) {
            let Some(version) = self.layout.current_version(before) else { continue };
            let Ok(mut found) = self.read(before, version) else { continue };
            if !found.bound.is_empty() {
                found.withdrawn.extend(mine.withdrawn.iter().cloned());
                looked.lay.push(found);
                return;
            }
        }
    }

    /// # Errors
    /// Why it is not believed.
    fn read(&mut self, epoch: Epoch, version: Version) -> Result<AppliedSnapshot, String> {
        let folder = self.layout.generation(epoch, version);
        let (opened, _) = manifest(&self.layout, epoch, version, &self.keys)?;
        let mut mine = AppliedSnapshot { epoch, version, ..AppliedSnapshot::default() };
        let withdrawn = member(&folder, &opened, WITHDRAWN)?;
        mine.withdrawn = read_withdrawn(&withdrawn).map_err(|wrong| wrong.to_string())?;
        let Some(group) = self.group(&folder, &opened)? else { return Ok(mine) };
        for bound in group.bound.values() {
            if let std::collections::btree_map::Entry::Vacant(place) = mine.tables.entry(bound.table) {
                place.insert(self.table(&folder, &opened, bound.table)?);
            }
        }
        mine.bound = group.bound;
        self.groups.retain(|name, _| opened.members.contains_key(name));
        self.tables.retain(|name, _| opened.members.contains_key(name));
        Ok(mine)
    }

    /// The group that names the proxy: of those that did not change, what was read before.
    fn group(&mut self, folder: &Path, opened: &OpenedManifest) -> Result<Option<ProxyGroup>, String> {
        for (name, (_, digest)) in opened.members.iter().filter(|(name, _)| name.starts_with("group-")) {
            if self.groups.get(name).is_none_or(|(known, _)| known != digest) {
                let bytes = member(folder, opened, name)?;
                let mut group = read_group(name, &bytes).map_err(|wrong| wrong.to_string())?;
                // Of the other groups only that they are others is kept.
                if !group.proxies.contains(&self.proxy) {
                    group = ProxyGroup::default();
                }
                self.groups.insert(name.clone(), (*digest, group));
            }
            let group = &self.groups[name].1;
            if group.proxies.contains(&self.proxy) {
                return Ok(Some(group.clone()));
            }
        }
        Ok(None)
    }

    fn table(&mut self, folder: &Path, opened: &OpenedManifest, number: u32) -> Result<Table, String> {
        let name = format!("table-{number}");
        let (_, digest) =
            opened.members.get(&name).ok_or_else(|| format!("{name}: named by a group and not there"))?;
        if let Some((known, table)) = self.tables.get(&name)
            && known == digest
        {
            return Ok(table.clone());
        }
        let bytes = member(folder, opened, &name)?;
        let (own, table) = read_table(&name, &bytes).map_err(|wrong| wrong.to_string())?;
        if own != number {
            return Err(format!("{name}: says that it is table {own}"));
        }
        self.tables.insert(name, (*digest, table.clone()));
        Ok(table)
    }
}

/// The manifest of a generation that stands where it belongs, and how many bytes it has.
pub(crate) fn manifest(
    layout: &StoreLayout,
    epoch: Epoch,
    version: Version,
    keys: &KeyRing,
) -> Result<(OpenedManifest, u64), String> {
    let bytes = read_most(&layout.generation(epoch, version).join(MANIFEST), MAX_MANIFEST_BYTES)?;
    let opened = open(&bytes, keys).map_err(|wrong| wrong.to_string())?;
    if (opened.epoch, opened.version) != (epoch, version) {
        return Err(format!("a copy of epoch {}, version {}", opened.epoch, opened.version));
    }
    Ok((opened, bytes.len() as u64))
}

pub(crate) fn member(folder: &Path, opened: &OpenedManifest, name: &str) -> Result<Vec<u8>, String> {
    let bytes = read_most(&folder.join(name), MAX_MEMBER_BYTES)?;
    opened.check(name, &bytes).map_err(|wrong| wrong.to_string())?;
    Ok(bytes)
}

/// A file's bytes, if they are no more than this; a longer one is not read at all.
pub(crate) fn read_most(path: &Path, most: u64) -> Result<Vec<u8>, String> {
    let name = || path.file_name().unwrap_or_default().to_string_lossy().into_owned();
    let read = || -> io::Result<Option<Vec<u8>>> {
        let file = File::open(path)?;
        let long = file.metadata()?.len();
        if long > most {
            return Ok(None);
        }
        let mut bytes = Vec::with_capacity(long as usize);
        // It may have grown since.
        file.take(most + 1).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    };
    match read() {
        Ok(Some(bytes)) => Ok(bytes),
        Ok(None) => Err(format!("{}: over {most} bytes", name())),
        Err(error) => Err(format!("{}: {error}", name())),
    }
}
