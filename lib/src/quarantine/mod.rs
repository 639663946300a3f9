//! Quarantine of requests that crash targets.
//!
//! A request can bring down the target that answers it, and retries then carry it to the next one.
//! Either one request does so, which its caller repeats, or requests that are not alike but share a
//! part of their prompts. This module finds that feature from the requests that were lost in the
//! crashes, and says which requests must not be sent. If several features were in the same requests
//! each time, the requests with all of them are held. Entries exchange what they know, so that all
//! of them refuse the feature soon after a few crashes, whichever of them saw those.

mod answers;
mod assessment;
mod content;
mod crash;
mod detection;
mod evidence;
mod feature;
mod hold;
mod news;
mod registry;
mod suspicion;

use crate::ids::PromptPartId;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, time::Duration};
use strum::EnumIter;

pub use self::{
    assessment::{Assessment, Doubt},
    content::Content,
    crash::{CrashId, RequestLoss},
    feature::{Feature, FeatureSet},
    hold::Refusal,
    news::{AnswerNews, CrashNews, HoldNews, News, Version},
    registry::{Detection, Quarantine, QuarantineSummary},
};

/// Parts of prompts.
pub type PartSet = BTreeSet<PromptPartId>;

/// Stage of an answer that shows that its request has not crashed the target so far, which clears
/// the features of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter, Serialize, Deserialize)]
pub enum AnswerStage {
    /// The first event of the answer. The target may still crash because of the request, but not
    /// before it writes, as other targets did.
    FirstEvent,
    /// The answer is complete, or has gone on for [`SUSTAINED_TIME`] since its first event.
    Sustained,
}

/// Time from the first event of an answer until it shows that the request does not crash its
/// target. A target may end soon after it has begun to write.
pub const SUSTAINED_TIME: Duration = Duration::from_millis(300);
