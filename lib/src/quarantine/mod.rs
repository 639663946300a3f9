//! Quarantine of prompt parts that crash targets.
//!
//! A request can bring down the target that answers it, and retries then carry it to the next one.
//! Requests are rarely alike, but those that crash targets for the same reason share a part of
//! their prompts. This module finds that part from the requests that were lost in the crashes, and
//! says which requests must not be sent. If several parts were in the same requests each time, the
//! requests with all of them are held. Entries exchange what they know, so that all of them
//! refuse the part soon after a few crashes, whichever of them saw those.

mod answers;
mod detection;
mod evidence;
mod hold;
mod news;
mod registry;

use crate::ids::PromptPartId;
use std::collections::BTreeSet;

pub use self::{
    evidence::{CrashId, RequestLoss},
    hold::Refusal,
    news::{AnswerNews, CrashNews, HoldNews, News, Version},
    registry::{Detection, Quarantine, QuarantineSummary},
};

/// Parts of prompts.
pub type PartSet = BTreeSet<PromptPartId>;
