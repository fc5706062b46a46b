//! Keys that seal manifests.
//!
//! Several keys can be valid at the same time, so that keys are rotated without an interruption: the new key is added
//! at the readers, then at the writers, and then the old key is removed.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::error::{KeyError, KeyRingError};
use crate::{MAX_KEYS, MIN_KEY_BYTES};

/// A named key for HMAC-SHA-256.
#[derive(Clone)]
pub struct Key {
    /// Name of the key, which each of its seals states.
    pub name: String,
    secret: Vec<u8>,
}

/// Omits the secret, so that it never appears in a log.
impl fmt::Debug for Key {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "Key({})", self.name)
    }
}

impl Key {
    /// Returns a key of this name.
    ///
    /// # Errors
    /// Fails if the secret is shorter than [`MIN_KEY_BYTES`].
    pub fn new(name: &str, secret: &[u8]) -> Result<Self, KeyError> {
        if secret.len() < MIN_KEY_BYTES {
            return Err(KeyError::TooShort { name: name.into(), bytes: secret.len() });
        }
        Ok(Key { name: name.into(), secret: secret.into() })
    }

    fn mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            <Hmac<Sha256> as KeyInit>::new_from_slice(&self.secret).expect("HMAC accepts keys of any length");
        mac.update(bytes);
        mac
    }

    /// Returns the message authentication code (MAC) of the bytes.
    #[must_use]
    pub fn sign(&self, bytes: &[u8]) -> Vec<u8> {
        self.mac(bytes).finalize().into_bytes().to_vec()
    }

    /// Returns true if `mac` is the message authentication code of the bytes. Compares in constant time.
    #[must_use]
    pub fn verify(&self, bytes: &[u8], mac: &[u8]) -> bool {
        self.mac(bytes).verify_slice(mac).is_ok()
    }
}

/// The keys of a writer, which seals with each of them, or of a reader, which accepts a seal by any of them.
#[derive(Clone, Debug, Default)]
pub struct KeyRing(pub Vec<Key>);

impl KeyRing {
    pub(crate) fn get(&self, name: &str) -> Option<&Key> {
        self.0.iter().find(|key| key.name == name)
    }
}

/// Parses the text of a key file: one key per line, its name and its secret in hex digits; `#` starts a comment.
impl FromStr for KeyRing {
    type Err = KeyRingError;

    fn from_str(text: &str) -> Result<Self, KeyRingError> {
        let mut ring = KeyRing::default();
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let key = parse_key(line, &ring);
            ring.0.push(key.map_err(|error| KeyRingError::Line { line: index + 1, error })?);
        }
        match ring.0.len() {
            0 => Err(KeyRingError::Empty),
            count if count > MAX_KEYS => Err(KeyRingError::TooMany(count)),
            _ => Ok(ring),
        }
    }
}

fn parse_key(line: &str, earlier: &KeyRing) -> Result<Key, KeyError> {
    let (name, secret) = line.split_once(char::is_whitespace).ok_or(KeyError::MissingSecret)?;
    if earlier.get(name).is_some() {
        return Err(KeyError::Duplicate(name.into()));
    }
    let secret = parse_hex(secret.trim()).ok_or(KeyError::NotHex)?;
    Key::new(name, &secret)
}

fn parse_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u32>> = text.chars().map(|digit| digit.to_digit(16)).collect();
    let digits = digits.filter(|digits| digits.len() % 2 == 0)?;
    Some(digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect())
}
