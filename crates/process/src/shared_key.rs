//! The shared key of a role, read from a file.
//!
//! The key is compared in constant time and never appears in `Debug` output or logs.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;

use subtle::ConstantTimeEq;
use thiserror::Error;

/// The least length of a key in bytes; 16 random characters are out of reach of guessing.
pub const KEY_MIN_BYTES: usize = 16;
/// The greatest length of a key in bytes.
pub const KEY_MAX_BYTES: usize = 256;

const SCHEME: &str = "Bearer ";

/// Why a key file was refused.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The file could not be read.
    #[error("cannot read the key file: {0}")]
    Read(#[from] io::Error),
    /// The key has the wrong length.
    #[error("a key has {KEY_MIN_BYTES} to {KEY_MAX_BYTES} bytes, got {0}")]
    BadLength(usize),
    /// The key has a character that cannot stand in a header.
    #[error("a key consists of visible ASCII characters")]
    BadCharacter,
}

/// A shared key.
#[derive(Clone)]
pub struct SharedKey(Arc<str>);

impl SharedKey {
    /// Checks `text` and makes a key of it; surrounding white space is removed.
    pub fn new(text: &str) -> Result<SharedKey, KeyError> {
        let key = text.trim();
        if !(KEY_MIN_BYTES..=KEY_MAX_BYTES).contains(&key.len()) {
            return Err(KeyError::BadLength(key.len()));
        }
        if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyError::BadCharacter);
        }
        Ok(SharedKey(Arc::from(key)))
    }

    /// Reads the key from a file.
    pub fn from_file(path: &Path) -> Result<SharedKey, KeyError> {
        SharedKey::new(&fs::read_to_string(path)?)
    }

    /// The value of the `authorization` header that presents this key.
    pub fn authorization(&self) -> String {
        format!("{SCHEME}{}", self.0)
    }

    /// Whether the value of an `authorization` header presents this key.
    pub fn matches(&self, authorization: Option<&str>) -> bool {
        let presented = authorization
            .and_then(|value| value.strip_prefix(SCHEME))
            .unwrap_or_default();
        self.0.as_bytes().ct_eq(presented.as_bytes()).into()
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(..)")
    }
}
