//! From bytes that nobody vouches for to messages.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use protobuf::Message;
use sha2::{Digest, Sha256};

use crate::content::{ProxyAssignment, ProxyGroup, Table, TableEntry};
use crate::keys::KeyRing;
use crate::seal::status_sum;
use crate::{FORMAT, LEVEL_MOST, MAX_MANIFEST_BYTES, MAX_MEMBER_BYTES, MEMBERS_MOST, WEIGHT_MOST, proto};

/// Why bytes are not believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormatError {
    /// What, its length, the most that is read.
    TooLong(String, u64, u64),
    /// What can't be taken apart, and where it fails.
    Torn(String, String),
    /// No seal of a key that is known here.
    Unsealed,
    /// A format that this program does not read.
    Format(u32),
    /// A name that no member may have, or that stands twice.
    Name(String),
    /// A member that is not as the manifest has it.
    Digest(String),
    /// A figure beyond its limits: where, what, the limit.
    Figure(String, String, String),
}

impl fmt::Display for FormatError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FormatError::TooLong(what, bytes, most) => write!(out, "{what}: {bytes} bytes, {most} at most"),
            FormatError::Torn(what, why) => write!(out, "{what}: torn or foreign: {why}"),
            FormatError::Unsealed => out.write_str("manifest: no seal of a key that is known here"),
            FormatError::Format(format) => write!(out, "manifest: format {format}, {FORMAT} is read here"),
            FormatError::Name(name) => write!(out, "manifest: member {name:?}: no such name may stand here"),
            FormatError::Digest(name) => write!(out, "{name}: not as the manifest has it"),
            FormatError::Figure(at, what, limit) => write!(out, "{at}: {what}; {limit}"),
        }
    }
}

impl std::error::Error for FormatError {}

/// A manifest that is sound and sealed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedManifest {
    pub epoch: u64,
    pub version: u64,
    pub pilot: String,
    /// Name, length, digest.
    pub members: BTreeMap<String, (u64, [u8; 32])>,
    /// The key that vouched for it.
    pub key: String,
}

/// Opens a sealed manifest.
///
/// # Errors
/// It is too long, torn, sealed with no known key, of another format, or names members that can't be.
pub fn open(bytes: &[u8], keys: &KeyRing) -> Result<OpenedManifest, FormatError> {
    let long = bytes.len() as u64;
    if long > MAX_MANIFEST_BYTES {
        return Err(FormatError::TooLong("manifest".into(), long, MAX_MANIFEST_BYTES));
    }
    let sealed: proto::Sealed = parse("manifest", bytes)?;
    // What stands around the manifest is under no seal: it has to be written as it would be written here, so that no
    // bit of it says nothing; fields that are not known here have no place there.
    let known = |seal: &proto::Seal| (seal.key.clone(), seal.mac.clone()).into();
    let seals = sealed.seals.iter().map(known).collect();
    let form = proto::Sealed { manifest: sealed.manifest.clone(), seals, ..Default::default() };
    if form.write_to_bytes().ok().as_deref() != Some(bytes) {
        return Err(FormatError::Torn("manifest".into(), "not in its one form".into()));
    }
    // A seal doubled in full is still in that form.
    let names: BTreeSet<&String> = sealed.seals.iter().map(|seal| &seal.key).collect();
    if names.len() < sealed.seals.len() {
        return Err(FormatError::Torn("manifest".into(), "a key seals it twice".into()));
    }
    let known =
        |seal: &proto::Seal| Some((keys.0.iter().find(|key| key.name == seal.key)?, seal.mac.clone()));
    let known: Vec<_> = sealed.seals.iter().filter_map(known).collect();
    let (key, _) = known.first().ok_or(FormatError::Unsealed)?;
    if !known.iter().all(|(key, mac)| key.verify(&sealed.manifest, mac)) {
        return Err(FormatError::Unsealed);
    }
    let manifest: proto::Manifest = parse("manifest", &sealed.manifest)?;
    if manifest.format != FORMAT {
        return Err(FormatError::Format(manifest.format));
    }
    if manifest.members.len() > MEMBERS_MOST {
        let count = format!("{} members", manifest.members.len());
        return Err(FormatError::Figure("manifest".into(), count, format!("{MEMBERS_MOST} at most")));
    }
    let mut members = BTreeMap::new();
    for member in manifest.members {
        let digest: [u8; 32] =
            member.digest.as_slice().try_into().map_err(|_| FormatError::Digest(member.name.clone()))?;
        if member.bytes > MAX_MEMBER_BYTES {
            return Err(FormatError::TooLong(member.name, member.bytes, MAX_MEMBER_BYTES));
        }
        if !is_name(&member.name) || members.contains_key(&member.name) {
            return Err(FormatError::Name(member.name));
        }
        members.insert(member.name, (member.bytes, digest));
    }
    Ok(OpenedManifest {
        epoch: manifest.epoch,
        version: manifest.version,
        pilot: manifest.pilot,
        members,
        key: key.name.clone(),
    })
}

/// Names stay within the folder, whatever a manifest says.
fn is_name(name: &str) -> bool {
    let sign = |sign: char| sign.is_ascii_lowercase() || sign.is_ascii_digit() || sign == '-';
    (1..=64).contains(&name.len()) && name.chars().all(sign) && name != crate::MANIFEST
}

impl OpenedManifest {
    /// Whether the bytes of a member are those that the manifest names.
    ///
    /// # Errors
    /// They are not, or there is no such member.
    pub fn check(&self, name: &str, bytes: &[u8]) -> Result<(), FormatError> {
        let (long, digest) = self.members.get(name).ok_or_else(|| FormatError::Name(name.into()))?;
        let same = bytes.len() as u64 == *long && Sha256::digest(bytes).as_slice() == digest;
        if same { Ok(()) } else { Err(FormatError::Digest(name.into())) }
    }
}

/// # Errors
/// The bytes are no table, or a figure in it is beyond its limits.
pub fn read_table(name: &str, bytes: &[u8]) -> Result<(u32, Table), FormatError> {
    let message: proto::Table = parse(name, bytes)?;
    let mut table = Table::default();
    for line in message.lines {
        let wrong = |what: String, limit: &str| {
            FormatError::Figure(format!("{name}, {}", line.server), what, limit.into())
        };
        let address = line.address.parse();
        let address = address.map_err(|_| wrong(format!("address {:?}", line.address), "IP:PORT"))?;
        if !(1..=WEIGHT_MOST).contains(&line.weight) {
            return Err(wrong(format!("weight {}", line.weight), "1 to 256"));
        }
        if table.lines.insert(line.server.clone(), TableEntry { address, weight: line.weight }).is_some() {
            return Err(wrong("stands twice".into(), "each server once"));
        }
    }
    Ok((message.number, table))
}

/// # Errors
/// The bytes are no group, or a figure in it is beyond its limits.
pub fn read_group(name: &str, bytes: &[u8]) -> Result<ProxyGroup, FormatError> {
    let message: proto::Group = parse(name, bytes)?;
    let mut group = ProxyGroup { proxies: message.proxies.into_iter().collect(), bound: BTreeMap::new() };
    for bound in message.bound {
        if bound.level > LEVEL_MOST {
            let at = format!("{name}, {}", bound.class);
            return Err(FormatError::Figure(at, format!("level {}", bound.level), "0 to 1000".into()));
        }
        let to = ProxyAssignment { table: bound.table, level: bound.level, again: bound.again };
        group.bound.insert(bound.class, to);
    }
    Ok(group)
}

/// # Errors
/// The bytes are no list of servers.
pub fn read_withdrawn(bytes: &[u8]) -> Result<BTreeSet<String>, FormatError> {
    let message: proto::Withdrawn = parse(crate::WITHDRAWN, bytes)?;
    Ok(message.servers.into_iter().collect())
}

/// # Errors
/// The bytes are no status, or are of one that is being written.
pub fn read_status(bytes: &[u8]) -> Result<proto::Status, FormatError> {
    let status: proto::Status = parse("status", bytes)?;
    if status.sum != status_sum(&status) {
        return Err(FormatError::Digest("status".into()));
    }
    Ok(proto::Status { sum: 0, ..status })
}

/// Lengths inside are held against the bytes that are there, never believed.
fn parse<M: Message>(what: &str, bytes: &[u8]) -> Result<M, FormatError> {
    M::parse_from_bytes(bytes).map_err(|why| FormatError::Torn(what.into(), why.to_string()))
}
