//! Opens a sealed manifest: checks its seals, its format and the names of its members.

use std::collections::{BTreeMap, BTreeSet};

use sha2::{Digest, Sha256};

use crate::codec::{decode, encode};
use crate::error::FormatError;
use crate::keys::{Key, KeyRing};
use crate::{
    FORMAT_VERSION, MANIFEST_FILE, MAX_MANIFEST_BYTES, MAX_MEMBER_BYTES, MAX_MEMBERS, Sha256Digest, proto,
};

/// The longest name of a member, in bytes.
const MAX_MEMBER_NAME_BYTES: usize = 64;

/// A manifest whose seals were verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedManifest {
    /// Epoch (fencing token) of the writer.
    pub epoch: u64,
    /// Version of the snapshot within its epoch.
    pub version: u64,
    /// Name of the controller that wrote it.
    pub controller: String,
    /// The members by name.
    pub members: BTreeMap<String, MemberInfo>,
    /// Name of the first known key that seals it.
    pub key: String,
}

/// What a manifest states about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// Length in bytes.
    pub bytes: u64,
    /// SHA-256 of the bytes.
    pub digest: Sha256Digest,
}

/// Opens a sealed manifest.
///
/// # Errors
/// It is too long, malformed, not sealed by a known key, of another format, or lists members that may not exist.
pub fn open_manifest(bytes: &[u8], keys: &KeyRing) -> Result<OpenedManifest, FormatError> {
    let length = bytes.len() as u64;
    if length > MAX_MANIFEST_BYTES {
        let what = MANIFEST_FILE.into();
        return Err(FormatError::TooLong { what, bytes: length, max: MAX_MANIFEST_BYTES });
    }
    let sealed: proto::Sealed = decode(MANIFEST_FILE, bytes)?;
    check_envelope(&sealed, bytes)?;
    let key = verify_seals(&sealed, keys)?;
    let manifest: proto::Manifest = decode(MANIFEST_FILE, &sealed.manifest)?;
    if manifest.format != FORMAT_VERSION {
        return Err(FormatError::UnsupportedFormat(manifest.format));
    }
    Ok(OpenedManifest {
        epoch: manifest.epoch,
        version: manifest.version,
        controller: manifest.pilot,
        members: read_members(manifest.members)?,
        key: key.name.clone(),
    })
}

/// Checks what no seal covers: the bytes around the manifest have to be the canonical encoding, without unknown fields,
/// and each key may seal once. Else bits could change unnoticed.
fn check_envelope(sealed: &proto::Sealed, bytes: &[u8]) -> Result<(), FormatError> {
    let malformed =
        |reason: &str| FormatError::Malformed { what: MANIFEST_FILE.into(), reason: reason.into() };
    let seals = sealed.seals.iter().map(|seal| encode_seal(&seal.key, seal.mac.clone())).collect();
    let canonical = proto::Sealed { manifest: sealed.manifest.clone(), seals, ..Default::default() };
    if encode(&canonical) != bytes {
        return Err(malformed("not in its one form"));
    }
    // A seal that is repeated as a whole is still in canonical encoding.
    let key_names: BTreeSet<&String> = sealed.seals.iter().map(|seal| &seal.key).collect();
    if key_names.len() < sealed.seals.len() {
        return Err(malformed("a key seals it twice"));
    }
    Ok(())
}

/// Checks that a known key seals the manifest and that the seals of all known keys are right; returns the first such key.
fn verify_seals<'a>(sealed: &proto::Sealed, keys: &'a KeyRing) -> Result<&'a Key, FormatError> {
    let mut first_key = None;
    for seal in &sealed.seals {
        let Some(key) = keys.get(&seal.key) else { continue };
        if !key.verify(&sealed.manifest, &seal.mac) {
            return Err(FormatError::NoValidSeal);
        }
        first_key.get_or_insert(key);
    }
    first_key.ok_or(FormatError::NoValidSeal)
}

fn read_members(listed: Vec<proto::Member>) -> Result<BTreeMap<String, MemberInfo>, FormatError> {
    if listed.len() > MAX_MEMBERS {
        return Err(FormatError::OutOfRange {
            location: MANIFEST_FILE.into(),
            value: format!("{} members", listed.len()),
            limit: format!("{MAX_MEMBERS} at most"),
        });
    }
    let mut members = BTreeMap::new();
    for member in listed {
        let Ok(digest) = Sha256Digest::try_from(member.digest.as_slice()) else {
            return Err(FormatError::DigestMismatch(member.name));
        };
        if member.bytes > MAX_MEMBER_BYTES {
            let what = member.name;
            return Err(FormatError::TooLong { what, bytes: member.bytes, max: MAX_MEMBER_BYTES });
        }
        if !is_member_name(&member.name) || members.contains_key(&member.name) {
            return Err(FormatError::InvalidMemberName(member.name));
        }
        members.insert(member.name, MemberInfo { bytes: member.bytes, digest });
    }
    Ok(members)
}

/// Whether a member may have this name. No such name leads out of the snapshot's directory, whatever a manifest lists.
fn is_member_name(name: &str) -> bool {
    let is_allowed = |char: char| char.is_ascii_lowercase() || char.is_ascii_digit() || char == '-';
    (1..=MAX_MEMBER_NAME_BYTES).contains(&name.len()) && name.chars().all(is_allowed) && name != MANIFEST_FILE
}

impl OpenedManifest {
    /// Checks a member's bytes against the length and digest that the manifest states.
    ///
    /// # Errors
    /// They differ, or the manifest does not list the member.
    pub fn verify_member(&self, member: &str, bytes: &[u8]) -> Result<(), FormatError> {
        let Some(info) = self.members.get(member) else {
            return Err(FormatError::InvalidMemberName(member.into()));
        };
        let matches =
            bytes.len() as u64 == info.bytes && Sha256::digest(bytes).as_slice() == info.digest.as_slice();
        if matches { Ok(()) } else { Err(FormatError::DigestMismatch(member.into())) }
    }
}

/// The message of a seal.
pub(crate) fn encode_seal(key: &str, mac: Vec<u8>) -> proto::Seal {
    proto::Seal { key: key.into(), mac, ..Default::default() }
}
