//! SHA-256 digests in lower-case hexadecimal.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of `bytes` as 64 hexadecimal digits.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}
