//! Opens sealed manifests: verifies the seals, the format version and the list of members.

use std::collections::{BTreeMap, BTreeSet};

use sha2::{Digest, Sha256};

use crate::codec::{decode, encode};
use crate::error::FormatError;
use crate::keys::{Key, KeyRing};
use crate::{
    FORMAT_VERSION, MANIFEST_FILE, MAX_MANIFEST_BYTES, MAX_MEMBER_BYTES, MAX_MEMBERS, Sha256Digest, proto,
};

/// Maximum length of a member's name, in bytes.
const MAX_MEMBER_NAME_BYTES: usize = 64;

/// The content of a manifest whose seals have been verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedManifest {
    /// Epoch (fencing token) of the writer.
    pub epoch: u64,
    /// Version of the snapshot within its epoch.
    pub version: u64,
    /// Name of the controller that wrote the snapshot.
    pub controller: String,
    /// Members by name.
    pub members: BTreeMap<String, MemberInfo>,
    /// Name of the first known key that seals the manifest.
    pub key: String,
}

/// Length and digest that a manifest lists for a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// Length in bytes.
    pub bytes: u64,
    /// SHA-256 digest of the bytes.
    pub digest: Sha256Digest,
}

/// Verifies and decodes the bytes of a sealed manifest.
///
/// # Errors
/// Fails if the manifest is too long, malformed, not sealed by a known key or of another format, or if it lists an
/// invalid member.
pub fn open_manifest(bytes: &[u8], keys: &KeyRing) -> Result<OpenedManifest, FormatError> {
    let length = bytes.len() as u64;
    if length > MAX_MANIFEST_BYTES {
        let file = MANIFEST_FILE.into();
        return Err(FormatError::TooLong { file, bytes: length, max_bytes: MAX_MANIFEST_BYTES });
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

/// Checks the bytes around the manifest, which no seal covers: they have to be in canonical encoding, without unknown
/// fields, and each key may seal once. Otherwise these bytes could be changed without being detected.
fn check_envelope(sealed: &proto::Sealed, bytes: &[u8]) -> Result<(), FormatError> {
    let malformed =
        |reason: &str| FormatError::Malformed { file: MANIFEST_FILE.into(), reason: reason.into() };
    let seals = sealed.seals.iter().map(|seal| encode_seal(&seal.key, seal.mac.clone())).collect();
    let canonical = proto::Sealed { manifest: sealed.manifest.clone(), seals, ..Default::default() };
    if encode(&canonical) != bytes {
        return Err(malformed("not in canonical encoding"));
    }
    // A complete copy of a seal passes the check above.
    let key_names: BTreeSet<&String> = sealed.seals.iter().map(|seal| &seal.key).collect();
    if key_names.len() < sealed.seals.len() {
        return Err(malformed("two seals by the same key"));
    }
    Ok(())
}

/// Checks that at least one known key seals the manifest and that the seals of all known keys verify; returns the first
/// known key. Seals of unknown keys are ignored, so that keys can be rotated.
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
            limit: format!("at most {MAX_MEMBERS}"),
        });
    }
    let mut members = BTreeMap::new();
    for member in listed {
        let Ok(digest) = Sha256Digest::try_from(member.digest.as_slice()) else {
            return Err(FormatError::DigestMismatch(member.name));
        };
        if member.bytes > MAX_MEMBER_BYTES {
            let file = member.name;
            return Err(FormatError::TooLong { file, bytes: member.bytes, max_bytes: MAX_MEMBER_BYTES });
        }
        if !is_member_name(&member.name) || members.contains_key(&member.name) {
            return Err(FormatError::InvalidMemberName(member.name));
        }
        members.insert(member.name, MemberInfo { bytes: member.bytes, digest });
    }
    Ok(members)
}

/// Returns true if a member may have this name. An allowed name contains no path separator or dot, so no manifest can
/// refer to a file outside of the snapshot's directory.
fn is_member_name(name: &str) -> bool {
    let is_allowed = |char: char| char.is_ascii_lowercase() || char.is_ascii_digit() || char == '-';
    (1..=MAX_MEMBER_NAME_BYTES).contains(&name.len()) && name.chars().all(is_allowed) && name != MANIFEST_FILE
}

impl OpenedManifest {
    /// Checks a member's bytes against the length and digest that the manifest lists for it.
    ///
    /// # Errors
    /// Fails if the length or digest differs, or if the manifest does not list the member.
    pub fn verify_member(&self, member: &str, bytes: &[u8]) -> Result<(), FormatError> {
        let Some(info) = self.members.get(member) else {
            return Err(FormatError::InvalidMemberName(member.into()));
        };
        let matches =
            bytes.len() as u64 == info.bytes && Sha256::digest(bytes).as_slice() == info.digest.as_slice();
        if matches { Ok(()) } else { Err(FormatError::DigestMismatch(member.into())) }
    }
}

/// Returns the message of a seal.
pub(crate) fn encode_seal(key: &str, mac: Vec<u8>) -> proto::Seal {
    proto::Seal { key: key.into(), mac, ..Default::default() }
}
