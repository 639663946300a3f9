//! SHA-256 digests of configuration documents, calls, and bearer tokens.

use sha2::{Digest, Sha256};

/// Returns the first eight bytes of the SHA-256 digest of `bytes`, as a big-endian integer.
pub fn sha256_prefix(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    digest.iter().take(8).fold(0, |prefix, &byte| (prefix << 8) | u64::from(byte))
}

/// Returns the SHA-256 digest of `bytes`.
pub fn sha256(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}

/// Returns the SHA-256 digest of `bytes` as 64 lowercase hexadecimal digits.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}
