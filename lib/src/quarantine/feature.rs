//! What requests that crash their targets for the same reason have in common.

use crate::ids::{ContentDigest, PromptPartId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Property of a request by which it can be recognized as one that crashes targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Feature {
    /// A part of the prompt, which other requests can share.
    Part(PromptPartId),
    /// The whole content, which only repeats of the request share.
    Content(ContentDigest),
}

impl Feature {
    /// Returns whether the feature is the content of a request.
    pub fn is_content(&self) -> bool {
        matches!(self, Self::Content(_))
    }
}

/// Features of one or several requests.
pub type FeatureSet = BTreeSet<Feature>;
