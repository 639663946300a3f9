//! Findings on valid documents.

use serde::Serialize;
use std::fmt::Display;
use strum::{Display as StrumDisplay, EnumIter, IntoStaticStr};

/// A setting of a valid document that probably does not do what its author wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Path in the document, such as `teams[3].models`.
    pub path: String,
    /// Kind of the finding.
    pub kind: FindingKind,
    /// The value as text.
    pub found: String,
}

/// Kinds of findings.
///
/// The names of the variants are part of the output of `fulmarhead check`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, StrumDisplay, EnumIter, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FindingKind {
    /// No target in service serves the model.
    ModelWithoutTargets,
    /// No target in service serves the application.
    ApplicationWithoutTargets,
    /// No team may use a model or the application that the target serves.
    TargetWithoutTeams,
    /// The team may use no model and no application.
    TeamWithoutModels,
    /// The path contains a character that ends the path of a request.
    RouteNeverMatches,
    /// The route with the next shorter prefix has the same method and the same effect.
    RouteWithoutEffect,
    /// An entry's share of the burst is smaller than the smallest request.
    BurstBelowRequest,
    /// An entry's share of the rate is less than one token per second.
    RateBelowEntries,
    /// A body of the largest size can't hold the longest prompt of the model.
    BodyBelowPrompt,
    /// The reserve leaves no rate for prompts over 8,000 tokens.
    ReserveOfAll,
    /// There is no second zone whose loss would release the reserve.
    ReserveNeverReleased,
}

impl Finding {
    pub(super) fn new(path: impl Into<String>, kind: FindingKind, found: impl Display) -> Self {
        Self { path: path.into(), kind, found: found.to_string() }
    }
}

impl FindingKind {
    /// Returns how to correct the document.
    pub fn hint(self) -> &'static str {
        match self {
            Self::ModelWithoutTargets | Self::ApplicationWithoutTargets => {
                "list it at a target in service or remove it"
            }
            Self::TargetWithoutTeams => {
                "let a team use what the target serves or remove the target"
            }
            Self::TeamWithoutModels => "list models or applications or remove the team",
            Self::RouteNeverMatches => "remove the query; only the path is compared",
            Self::RouteWithoutEffect => "remove the route or change `repeatable`",
            Self::BurstBelowRequest => "raise the burst; entries divide it among themselves",
            Self::RateBelowEntries => "raise the rate; entries divide it among themselves",
            Self::BodyBelowPrompt => "raise bounds.max_body or lower max_tokens",
            Self::ReserveOfAll => "lower the reserve below 1",
            Self::ReserveNeverReleased => "set the reserve to 0 or add a zone",
        }
    }
}
