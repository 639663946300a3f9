//! Parsing and validation of configuration documents.

use super::document::Fleet;
use serde::Serialize;
use strum::Display;

/// Why a document is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The document is not valid JSON or does not fit the schema.
    #[error("line {line}, column {column}: {problem}")]
    Syntax {
        /// Line of the error, counted from 1.
        line: usize,
        /// Column of the error, counted from 1.
        column: usize,
        /// What the parser says.
        problem: String,
    },
    /// The document fits the schema and contradicts itself.
    #[error("{} problems", .0.len())]
    Invalid(Vec<Problem>),
    /// The revision in force has other content than the offered document of the same revision.
    #[error("revision {0} has two different contents")]
    Conflict(u64),
}

/// One error of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Path in the document, such as `targets[3].zone`.
    pub path: String,
    /// What is wrong.
    pub kind: ProblemKind,
}

/// Kinds of errors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ProblemKind {
    /// The same name stands twice.
    Duplicate,
    /// The name is not defined in the document.
    Undefined,
}

/// Parses and validates a document.
pub fn parse(text: &str) -> Result<Fleet, ConfigError> {
    serde_json::from_str(text).map_err(|error| ConfigError::Syntax {
        line: error.line(),
        column: error.column(),
        problem: error.to_string(),
    })
}
