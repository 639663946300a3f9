//! Problems of configuration documents, and hints for correcting them.

use serde::Serialize;
use std::fmt::{Display, Formatter};
use strum::{Display as StrumDisplay, EnumIter, IntoStaticStr};

/// A problem of a document, with its location and the invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Path in the document, such as `targets[3].zone`; empty for the document itself.
    pub path: String,
    /// Kind of the problem.
    pub kind: ProblemKind,
    /// The invalid value as text, truncated to 80 characters.
    pub found: String,
}

/// Kinds of problems.
///
/// The names of the variants are part of the output of `fulmarhead check`.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    StrumDisplay,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ProblemKind {
    /// The schema has no such field.
    UnknownField,
    /// A field without a default is missing.
    MissingField,
    /// The value is not an object.
    NotAnObject,
    /// The value is not a list.
    NotAList,
    /// The value is not a string.
    NotAText,
    /// The value is not a boolean.
    NotAFlag,
    /// The value is not a non-negative integer within the range of the field.
    NotANumber,
    /// The value is not an IP address with a port.
    NotAnAddress,
    /// The value is not one of the allowed strings.
    NotAnOption,
    /// The value is not a number from 0 to 1.
    NotAShare,
    /// The name is empty, too long, or contains invalid characters, or a model version is empty.
    InvalidName,
    /// The digest is not 64 lowercase hexadecimal digits.
    InvalidDigest,
    /// The method is not in upper case, or the path has no leading slash.
    InvalidRoute,
    /// The same name, address, token, or route occurs more than once.
    Duplicate,
    /// The name is not defined in the document.
    Undefined,
    /// The value must be greater than 0.
    Zero,
    /// A lower bound is greater than its upper bound, or the default is outside the bounds.
    BoundsContradict,
    /// An engine has no models.
    EngineWithoutModels,
    /// An engine has an application.
    EngineWithApplication,
    /// An application worker has no application.
    WorkerWithoutApplication,
    /// An application worker has models.
    WorkerWithModels,
    /// The revision in the document differs from the revision that it is published under.
    RevisionMismatch,
    /// The release note adds or changes something that the document leaves out of service.
    NotInService,
    /// The release note withdraws something that the document keeps in service.
    StillInService,
    /// The release note adds or changes a model without a version.
    MissingVersion,
    /// The release note has a field for a withdrawn item that only applies to other items.
    NotForWithdrawn,
    /// The release note gives a role to an application worker.
    RoleOfWorker,
}

impl Problem {
    /// Returns a problem at `path`, with `found` truncated to 80 characters.
    pub(crate) fn new(path: impl Into<String>, kind: ProblemKind, found: impl Display) -> Self {
        let found: String = found.to_string().chars().take(80).collect();
        Self { path: path.into(), kind, found }
    }

    /// Returns how to correct the document.
    pub fn hint(&self) -> &'static str {
        self.kind.hint()
    }
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let path = if self.path.is_empty() { "document" } else { &self.path };
        write!(f, "{path}: {}: {}", self.kind, self.found)
    }
}

impl ProblemKind {
    /// Returns how to correct the document.
    pub fn hint(self) -> &'static str {
        match self {
            Self::UnknownField => "remove the field or correct its name",
            Self::MissingField => "add the field; it has no default",
            Self::NotAnObject => "write an object in braces",
            Self::NotAList => "write a list in brackets",
            Self::NotAText => "write a text in quotes",
            Self::NotAFlag => "write true or false without quotes",
            Self::NotANumber => "write a whole number from 0 on, within the range of the field",
            Self::NotAnAddress => "write an IP address and a port, such as \"10.0.0.7:7400\"",
            Self::NotAnOption => "use one of the values that docs/configuration.md lists",
            Self::NotAShare => "write a number from 0 to 1",
            Self::InvalidName => "use 1 to 64 letters, digits, hyphens and underscores",
            Self::InvalidDigest => {
                "write the SHA-256 digest as 64 hexadecimal digits in lower case"
            }
            Self::InvalidRoute => {
                "write the method in upper case and the path with a leading slash"
            }
            Self::Duplicate => "remove one of the two or give it another value",
            Self::Undefined => "define the name in its list or correct it",
            Self::Zero => "write a number above 0",
            Self::BoundsContradict => "raise the upper bound or lower this value",
            Self::EngineWithoutModels => "list the models that the engine serves",
            Self::EngineWithApplication => "remove `application` or make the target an application",
            Self::WorkerWithoutApplication => "name the application that the worker serves",
            Self::WorkerWithModels => "remove `models` or make the target an engine",
            Self::RevisionMismatch => "publish the document under the revision that it contains",
            Self::NotInService => "add it to the document in service, or withdraw it in the note",
            Self::StillInService => "take it out of service in the document as well",
            Self::MissingVersion => "name the version to load",
            Self::NotForWithdrawn => "remove the field; a withdrawn item takes none",
            Self::RoleOfWorker => "remove `role`; only engines have one",
        }
    }
}
