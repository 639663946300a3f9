//! The active configuration of a process, whose revision never decreases.

use super::{
    document::Fleet,
    validate::{ConfigError, parse_revision},
};
use crate::{
    control::{ConfigVersion, SyncReply},
    digest::sha256_prefix,
    ids::Revision,
};
use serde::{Deserialize, Serialize};
use std::{cmp::Ordering, sync::Arc};

/// A configuration document with its revision, as processes exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// Revision under which the document was published.
    pub revision: Revision,
    /// Text of the document, in JSON.
    pub text: Arc<str>,
}

/// Result of offering a valid document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The document is now active.
    Adopted,
    /// The same document is already active.
    Current,
    /// The offered document is older than the active one.
    Older,
}

/// The active configuration of a process, and the error of the last rejected document.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// Parsed configuration, its document, and the digest of the document's text, see
    /// [`sha256_prefix`].
    current: Option<(Arc<Fleet>, Bundle, u64)>,
    last_error: Option<ConfigError>,
}

impl ActiveConfig {
    /// Activates `bundle` if it is valid and newer than the active document.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is invalid or if the active document has the same revision
    /// but different content. The active document stays, and the error becomes the last error.
    pub fn offer(&mut self, bundle: Bundle) -> Result<Adoption, ConfigError> {
        let result = self.try_adopt(bundle);
        match &result {
            Ok(Adoption::Adopted) => self.last_error = None,
            Ok(_) => {}
            Err(error) => self.last_error = Some(error.clone()),
        }
        result
    }

    fn try_adopt(&mut self, bundle: Bundle) -> Result<Adoption, ConfigError> {
        let digest = sha256_prefix(bundle.text.as_bytes());
        if let Some((_, current, current_digest)) = &self.current {
            if bundle.revision < current.revision {
                return Ok(Adoption::Older);
            }
            if bundle.revision == current.revision {
                let same = *current_digest == digest;
                return if same {
                    Ok(Adoption::Current)
                } else {
                    Err(ConfigError::Conflict(bundle.revision))
                };
            }
        }
        let fleet = parse_revision(&bundle.text, bundle.revision)?;
        self.current = Some((Arc::new(fleet), bundle, digest));
        Ok(Adoption::Adopted)
    }

    /// Returns the active configuration, if there is one.
    pub fn fleet(&self) -> Option<Arc<Fleet>> {
        self.current.as_ref().map(|(fleet, ..)| Arc::clone(fleet))
    }

    /// Returns the active document, if there is one.
    pub fn bundle(&self) -> Option<Bundle> {
        self.current.as_ref().map(|(_, bundle, _)| bundle.clone())
    }

    /// Returns the active revision, or 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.current.as_ref().map_or(0, |(_, bundle, _)| bundle.revision)
    }

    /// Returns the revision and digest of the active configuration, both 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        let version = |(_, bundle, digest): &(Arc<Fleet>, Bundle, u64)| ConfigVersion {
            revision: bundle.revision,
            digest: *digest,
        };
        self.current.as_ref().map(version).unwrap_or_default()
    }

    /// Compares the active configuration with that of a peer.
    ///
    /// If both have the same revision but different content, the conflict becomes the last error.
    /// It means that two documents were published under one revision, and only a document with a
    /// higher revision resolves it.
    pub fn compare(&mut self, peer: &ConfigVersion) -> SyncReply {
        let own_version = self.version();
        match own_version.revision.cmp(&peer.revision) {
            Ordering::Less => SyncReply::Behind(own_version.revision),
            Ordering::Greater => self.bundle().map_or(SyncReply::Current, SyncReply::Newer),
            Ordering::Equal if own_version.digest == peer.digest => SyncReply::Current,
            Ordering::Equal => {
                self.record_conflict(own_version.revision);
                SyncReply::Conflict(own_version)
            }
        }
    }

    /// Records that a peer has different content for `revision` as the last error.
    ///
    /// Returns whether the last error changed.
    pub fn record_conflict(&mut self, revision: Revision) -> bool {
        let error = Some(ConfigError::Conflict(revision));
        let is_new = self.last_error != error;
        self.last_error = error;
        is_new
    }

    /// Returns the error of the last rejected document or conflict; `None` once a document is
    /// adopted.
    pub fn last_error(&self) -> Option<&ConfigError> {
        self.last_error.as_ref()
    }
}
