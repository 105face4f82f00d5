//! Shared keys that authenticate the clients of a listener, read from files.
//!
//! Keys are compared in constant time and never appear in `Debug` output or logs.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;

use subtle::ConstantTimeEq;
use thiserror::Error;

/// Minimum length of a key in bytes; 16 random characters are infeasible to guess.
pub const KEY_MIN_BYTES: usize = 16;
/// Maximum length of a key in bytes.
pub const KEY_MAX_BYTES: usize = 256;

const SCHEME: &str = "Bearer ";

/// Why a key or key file was rejected.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The file could not be read.
    #[error("cannot read the key file: {0}")]
    Read(#[from] io::Error),
    /// The key is shorter or longer than allowed; contains its length in bytes.
    #[error("a key must have {KEY_MIN_BYTES} to {KEY_MAX_BYTES} bytes, got {0}")]
    BadLength(usize),
    /// The key contains white space or another character that is not visible ASCII. The key is sent
    /// as the value of an HTTP header, in which many of these are not allowed.
    #[error("a key must consist of visible ASCII characters")]
    BadCharacter,
}

/// A valid shared key; clones share the text.
#[derive(Clone)]
pub struct SharedKey(Arc<str>);

impl SharedKey {
    /// Validates `text` as a key; surrounding white space is removed.
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

    /// Reads and validates the key in a file; surrounding white space is removed.
    pub fn from_file(path: &Path) -> Result<SharedKey, KeyError> {
        SharedKey::new(&fs::read_to_string(path)?)
    }

    /// Returns the value of the `authorization` header that carries this key.
    pub fn authorization(&self) -> String {
        format!("{SCHEME}{}", self.0)
    }

    /// Returns whether the value of an `authorization` header carries this key; `None` never does.
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
