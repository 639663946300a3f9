//! Parsing and validation of configuration documents.

use super::{
    checks,
    document::Fleet,
    problem::{Problem, ProblemKind},
    schema,
    shape::{self, Shape},
};
use crate::{ids::Revision, release::ReleaseNote};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fmt::Write;

/// Why a document is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The document is not valid JSON.
    #[error("line {line}, column {column}: {problem}")]
    Syntax {
        /// Line of the error, counted from 1.
        line: usize,
        /// Column of the error, counted from 1.
        column: usize,
        /// What the parser says.
        problem: String,
    },
    /// The document does not fit the schema or contradicts itself.
    #[error("{}", list(.0))]
    Invalid(Vec<Problem>),
    /// The revision in force has other content than the offered document of the same revision.
    #[error("revision {0} has two different contents")]
    Conflict(Revision),
}

/// Parses and validates a document.
///
/// Lists every difference from the schema. Unless a value is missing or of the wrong type, the
/// document is checked for contradictions too, and every one of them is listed.
pub fn parse(text: &str) -> Result<Fleet, ConfigError> {
    read(text, &schema::FLEET, checks::fleet)
}

/// Parses and validates a document that was published under `revision`.
pub fn parse_revision(text: &str, revision: Revision) -> Result<Fleet, ConfigError> {
    read(text, &schema::FLEET, |fleet: &Fleet| {
        let mut problems = checks::fleet(fleet);
        if fleet.revision != revision {
            problems.push(Problem::new("revision", ProblemKind::RevisionMismatch, fleet.revision));
        }
        problems
    })
}

/// Parses a release note that stands alone; names are checked, references are not.
pub fn parse_note(text: &str) -> Result<ReleaseNote, ConfigError> {
    read(text, &schema::RELEASE, checks::note)
}

fn read<T: DeserializeOwned>(
    text: &str,
    shape: &Shape,
    check: impl Fn(&T) -> Vec<Problem>,
) -> Result<T, ConfigError> {
    let mut value: Value = serde_json::from_str(text).map_err(syntax)?;
    let mut problems = Vec::new();
    shape::compare(&mut value, shape, "", &mut problems);
    if problems.iter().any(|problem| problem.kind != ProblemKind::UnknownField) {
        return Err(ConfigError::Invalid(problems));
    }
    let parsed: T = serde_json::from_value(value).map_err(syntax)?;
    problems.extend(check(&parsed));
    accept(problems)?;
    // Parsing the text again, not the value, finds a field that stands twice in one object.
    serde_json::from_str(text).map_err(syntax)
}

fn accept(problems: Vec<Problem>) -> Result<(), ConfigError> {
    if problems.is_empty() { Ok(()) } else { Err(ConfigError::Invalid(problems)) }
}

fn syntax(error: serde_json::Error) -> ConfigError {
    ConfigError::Syntax { line: error.line(), column: error.column(), problem: error.to_string() }
}

/// Problems that a log line or state dump lists; `fulmarhead check` lists all.
const LISTED: usize = 10;

fn list(problems: &[Problem]) -> String {
    let mut text = format!("{} problems", problems.len());
    for problem in problems.iter().take(LISTED) {
        let _ = write!(text, "; {problem}");
    }
    text
}
