//! Content of a request, by which its repeats are recognized.

use crate::ids::{ContentDigest, PromptDigest};
use std::hash::Hasher;
use twox_hash::XxHash64;

/// What a request and its repeats have in common, whichever entry they reach. Identifiers of
/// attempts and time limits are not part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Content<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host name.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Team of the caller; `None` on an anonymous route.
    pub team: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
    /// Digest of the parts of the prompt.
    pub prompt: PromptDigest,
}

impl Content<'_> {
    /// Returns the digest of the content, which is the same at all entries.
    ///
    /// The body of a prompt may be empty, so that only its parts tell it from other prompts.
    pub fn digest(&self) -> ContentDigest {
        let mut hasher = XxHash64::with_seed(0);
        let team = self.team.unwrap_or_default();
        let host = self.host.to_ascii_lowercase();
        let fields = [self.method, &host, self.path, team].map(str::as_bytes);
        let prompt = self.prompt.to_le_bytes();
        let input = if self.body.is_empty() { &prompt } else { self.body };
        for field in fields.into_iter().chain([input]) {
            // The length separates the fields.
            hasher.write(&(field.len() as u64).to_le_bytes());
            hasher.write(field);
        }
        hasher.finish()
    }
}
