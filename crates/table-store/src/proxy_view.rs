//! Reads the part of a snapshot that applies to one proxy.

use std::collections::BTreeSet;
use std::collections::btree_map::{BTreeMap, Entry};

use lockcroft_table_format::{
    EJECTED_MEMBER, GROUP_MEMBER_PREFIX, OpenedManifest, ProxyAssignment, ProxyGroup, Sha256Digest, Table,
    decode_ejected, decode_group, decode_table, table_member_name,
};

use crate::error::ReadError;
use crate::layout::{Epoch, SnapshotId, Version};
use crate::snapshot_files::SnapshotFiles;

/// The part of a snapshot that applies to one proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxySnapshot {
    /// Epoch of the writer.
    pub epoch: Epoch,
    /// Version of the snapshot within its epoch.
    pub version: Version,
    /// Assignments by class name. Empty if the controller has not assigned a table to the proxy yet; the proxy then
    /// keeps the tables that it has applied.
    pub assignments: BTreeMap<String, ProxyAssignment>,
    /// Assigned tables by number.
    pub tables: BTreeMap<u32, Table>,
    /// Names of the ejected endpoints.
    pub ejected: BTreeSet<String>,
}

impl ProxySnapshot {
    pub(crate) fn id(&self) -> SnapshotId {
        SnapshotId { epoch: self.epoch, version: self.version }
    }
}

/// A decoded member and the digest of its bytes.
struct CachedMember<T> {
    digest: Sha256Digest,
    value: T,
}

/// Reads snapshots for one proxy. Members that have not changed since an earlier snapshot are taken from a cache.
pub(crate) struct ProxyView {
    proxy: String,
    groups: BTreeMap<String, CachedMember<ProxyGroup>>,
    tables: BTreeMap<String, CachedMember<Table>>,
}

impl ProxyView {
    pub fn new(proxy: &str) -> Self {
        ProxyView { proxy: proxy.into(), groups: BTreeMap::new(), tables: BTreeMap::new() }
    }

    /// Reads the part of a snapshot that applies to the proxy.
    pub fn read(&mut self, files: &SnapshotFiles) -> Result<ProxySnapshot, ReadError> {
        let manifest = &files.manifest;
        let mut snapshot = ProxySnapshot {
            epoch: manifest.epoch,
            version: manifest.version,
            ejected: decode_ejected(&files.read_member(EJECTED_MEMBER)?)?,
            ..ProxySnapshot::default()
        };
        let Some(group) = self.find_group(files)? else { return Ok(snapshot) };
        for assignment in group.assignments.values() {
            if let Entry::Vacant(vacant) = snapshot.tables.entry(assignment.table) {
                vacant.insert(self.read_table(files, assignment.table)?);
            }
        }
        snapshot.assignments = group.assignments;
        self.drop_unlisted_members(manifest);
        Ok(snapshot)
    }

    /// Returns the first group that contains the proxy; `None` if no group does.
    fn find_group(&mut self, files: &SnapshotFiles) -> Result<Option<ProxyGroup>, ReadError> {
        for (name, info) in &files.manifest.members {
            if !name.starts_with(GROUP_MEMBER_PREFIX) {
                continue;
            }
            if self.groups.get(name).is_none_or(|cached| cached.digest != info.digest) {
                let group = self.read_group(files, name)?;
                self.groups.insert(name.clone(), CachedMember { digest: info.digest, value: group });
            }
            let group = &self.groups[name].value;
            if group.proxies.contains(&self.proxy) {
                return Ok(Some(group.clone()));
            }
        }
        Ok(None)
    }

    /// Reads a group. Returns an empty one if it does not contain the proxy, so that the cache does not keep its
    /// content.
    fn read_group(&self, files: &SnapshotFiles, name: &str) -> Result<ProxyGroup, ReadError> {
        let group = decode_group(name, &files.read_member(name)?)?;
        Ok(if group.proxies.contains(&self.proxy) { group } else { ProxyGroup::default() })
    }

    fn read_table(&mut self, files: &SnapshotFiles, number: u32) -> Result<Table, ReadError> {
        let name = table_member_name(number);
        let Some(info) = files.manifest.members.get(&name) else {
            return Err(ReadError::MissingTable { member: name });
        };
        if let Some(cached) = self.tables.get(&name)
            && cached.digest == info.digest
        {
            return Ok(cached.value.clone());
        }
        let numbered = decode_table(&name, &files.read_member(&name)?)?;
        if numbered.number != number {
            return Err(ReadError::WrongTable { member: name, stated: numbered.number });
        }
        let cached = CachedMember { digest: info.digest, value: numbered.table.clone() };
        self.tables.insert(name, cached);
        Ok(numbered.table)
    }

    fn drop_unlisted_members(&mut self, manifest: &OpenedManifest) {
        self.groups.retain(|name, _| manifest.members.contains_key(name));
        self.tables.retain(|name, _| manifest.members.contains_key(name));
    }
}
