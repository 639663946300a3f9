//! The configuration in force at one process; its revision only rises.

use super::{
    document::Fleet,
    validate::{ConfigError, parse_revision},
};
use crate::{
    control::{Stamp, SyncReply},
    digest::sha256_prefix,
    ids::Revision,
};
use serde::{Deserialize, Serialize};
use std::{cmp::Ordering, sync::Arc};

/// A document as processes pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// Revision of the document.
    pub revision: Revision,
    /// Text of the document, in JSON.
    pub text: Arc<str>,
}

/// What became of an offered document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The document is in force.
    Adopted,
    /// The document in force is as new.
    Current,
    /// The document in force is newer.
    Older,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    current: Option<(Arc<Fleet>, Bundle, u64)>,
    error: Option<ConfigError>,
}

impl ConfigView {
    /// Puts `bundle` in force if it is valid and newer than the one in force.
    ///
    /// A refused document leaves the one in force and is kept as the last error.
    pub fn offer(&mut self, bundle: Bundle) -> Result<Adoption, ConfigError> {
        let result = self.decide(bundle);
        match &result {
            Ok(Adoption::Adopted) => self.error = None,
            Ok(_) => {}
            Err(error) => self.error = Some(error.clone()),
        }
        result
    }

    fn decide(&mut self, bundle: Bundle) -> Result<Adoption, ConfigError> {
        let digest = sha256_prefix(bundle.text.as_bytes());
        if let Some((_, current, known)) = &self.current {
            if bundle.revision < current.revision {
                return Ok(Adoption::Older);
            }
            if bundle.revision == current.revision {
                let same = *known == digest;
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

    /// Returns the configuration in force.
    pub fn fleet(&self) -> Option<Arc<Fleet>> {
        self.current.as_ref().map(|(fleet, ..)| Arc::clone(fleet))
    }

    /// Returns the document in force.
    pub fn bundle(&self) -> Option<Bundle> {
        self.current.as_ref().map(|(_, bundle, _)| bundle.clone())
    }

    /// Returns the revision in force, 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.current.as_ref().map_or(0, |(_, bundle, _)| bundle.revision)
    }

    /// Returns the name of the configuration in force.
    pub fn stamp(&self) -> Stamp {
        let stamp = |(_, bundle, digest): &(Arc<Fleet>, Bundle, u64)| Stamp {
            revision: bundle.revision,
            digest: *digest,
        };
        self.current.as_ref().map(stamp).unwrap_or_default()
    }

    /// Compares the configuration in force with that of a peer.
    ///
    /// The same revision with other content is kept as the last error: two operators have
    /// published under one number, and only a higher revision ends it.
    pub fn compare(&mut self, peer: &Stamp) -> SyncReply {
        let own = self.stamp();
        match own.revision.cmp(&peer.revision) {
            Ordering::Less => SyncReply::Behind(own.revision),
            Ordering::Greater => self.bundle().map_or(SyncReply::Current, SyncReply::Newer),
            Ordering::Equal if own.digest == peer.digest => SyncReply::Current,
            Ordering::Equal => {
                self.conflict(own.revision);
                SyncReply::Conflict(own)
            }
        }
    }

    /// Records that a peer has other content under `revision`; returns whether this is new.
    pub fn conflict(&mut self, revision: Revision) -> bool {
        let error = Some(ConfigError::Conflict(revision));
        let is_new = self.error != error;
        self.error = error;
        is_new
    }

    /// Returns why the last offered document was refused, if none was adopted since.
    pub fn last_error(&self) -> Option<&ConfigError> {
        self.error.as_ref()
    }
}
