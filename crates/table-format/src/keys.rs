//! Keys that seal manifests. Two may be valid at once, so that they can be turned over without a gap: first
//! readers are given the new one beside the old, then writers, then the old one is taken away.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Bytes of a key at least: as many as the hash gives.
pub const KEY_LEAST: usize = 32;

/// A named key.
#[derive(Clone)]
pub struct Key {
    pub name: String,
    secret: Vec<u8>,
}

// What is secret stands in no log.
impl std::fmt::Debug for Key {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(out, "Key({})", self.name)
    }
}

impl Key {
    /// # Errors
    /// The secret is shorter than `KEY_LEAST`.
    pub fn new(name: &str, secret: &[u8]) -> Result<Self, String> {
        if secret.len() < KEY_LEAST {
            return Err(format!("key {name}: {} bytes, {KEY_LEAST} at least", secret.len()));
        }
        Ok(Key { name: name.into(), secret: secret.into() })
    }

    fn mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&self.secret).expect("any length will do");
        mac.update(bytes);
        mac
    }

    pub fn sign(&self, bytes: &[u8]) -> Vec<u8> {
        self.mac(bytes).finalize().into_bytes().to_vec()
    }

    /// Compares in constant time.
    pub fn verify(&self, bytes: &[u8], mac: &[u8]) -> bool {
        self.mac(bytes).verify_slice(mac).is_ok()
    }
}

/// The keys of one side: a writer seals with each, a reader believes any.
#[derive(Clone, Debug, Default)]
pub struct KeyRing(pub Vec<Key>);

/// A file holds no more keys than this.
const KEYS_MOST: usize = 8;

impl KeyRing {
    /// Reads keys from a text: a line each, a name and the secret in hex; `#` begins a remark.
    ///
    /// # Errors
    /// The line, what is wrong and what is allowed.
    pub fn read(text: &str) -> Result<Self, String> {
        let mut keys: Vec<Key> = Vec::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let wrong = |wrong: String| format!("line {}: {wrong}", number + 1);
            let (name, secret) = line
                .split_once(char::is_whitespace)
                .ok_or_else(|| wrong("a name and a secret in hex are wanted".into()))?;
            if keys.iter().any(|key| key.name == name) {
                return Err(wrong(format!("key {name} stands here twice")));
            }
            let secret = hex(secret.trim()).ok_or_else(|| wrong("the secret is not in hex".into()))?;
            keys.push(Key::new(name, &secret).map_err(wrong)?);
        }
        match keys.len() {
            0 => Err("no key; one line each is wanted, a name and 64 or more hex digits".into()),
            count if count > KEYS_MOST => Err(format!("{count} keys, {KEYS_MOST} at most")),
            _ => Ok(KeyRing(keys)),
        }
    }
}

fn hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u32>> = text.chars().map(|sign| sign.to_digit(16)).collect();
    let digits = digits.filter(|digits| digits.len() % 2 == 0)?;
    Some(digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect())
}
