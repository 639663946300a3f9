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

/// Reason why a document is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The document is not valid JSON.
    #[error("line {line}, column {column}: {problem}")]
    Syntax {
        /// Line of the error, counted from 1.
        line: usize,
        /// Column of the error, counted from 1.
        column: usize,
        /// Message of the parser.
        problem: String,
    },
    /// The document does not conform to the schema or is inconsistent.
    #[error("{}", format_problems(.0))]
    Invalid(Vec<Problem>),
    /// The active document has the same revision as another document but different content.
    #[error("revision {0} has two different contents")]
    Conflict(Revision),
}

/// Parses and validates a document.
///
/// # Errors
///
/// Returns a syntax error or all problems of the document. Inconsistencies are only checked if no
/// value is missing or has the wrong type.
pub fn parse(text: &str) -> Result<Fleet, ConfigError> {
    parse_with(text, &schema::FLEET, checks::fleet)
}

/// Parses and validates a document that was published under `revision`.
///
/// # Errors
///
/// Returns the errors of [`parse`], with a problem if the document contains another revision.
pub fn parse_revision(text: &str, revision: Revision) -> Result<Fleet, ConfigError> {
    parse_with(text, &schema::FLEET, |fleet: &Fleet| {
        let mut problems = checks::fleet(fleet);
        if fleet.revision != revision {
            problems.push(Problem::new("revision", ProblemKind::RevisionMismatch, fleet.revision));
        }
        problems
    })
}

/// Parses and validates a release note without a document.
///
/// # Errors
///
/// Returns the errors of [`parse`]. References to the document are not checked.
pub fn parse_note(text: &str) -> Result<ReleaseNote, ConfigError> {
    parse_with(text, &schema::RELEASE, checks::note)
}

fn parse_with<T: DeserializeOwned>(
    text: &str,
    shape: &Shape,
    check: impl Fn(&T) -> Vec<Problem>,
) -> Result<T, ConfigError> {
    let mut value: Value = serde_json::from_str(text).map_err(syntax_error)?;
    let mut problems = Vec::new();
    shape::compare(&mut value, shape, "", &mut problems);
    if problems.iter().any(|problem| problem.kind != ProblemKind::UnknownField) {
        return Err(ConfigError::Invalid(problems));
    }
    let parsed: T = serde_json::from_value(value).map_err(syntax_error)?;
    problems.extend(check(&parsed));
    reject_if_any(problems)?;
    // Parse the text again, since `Value` keeps only the last of duplicate fields in one object and
    // the typed parser rejects them.
    serde_json::from_str(text).map_err(syntax_error)
}

fn reject_if_any(problems: Vec<Problem>) -> Result<(), ConfigError> {
    if problems.is_empty() { Ok(()) } else { Err(ConfigError::Invalid(problems)) }
}

fn syntax_error(error: serde_json::Error) -> ConfigError {
    ConfigError::Syntax { line: error.line(), column: error.column(), problem: error.to_string() }
}

/// Maximum number of problems in an error text, as in log lines and state dumps.
///
/// `fulmarhead check` lists all problems.
const MAX_LISTED_PROBLEMS: usize = 10;

fn format_problems(problems: &[Problem]) -> String {
    let mut text = format!("{} problems", problems.len());
    for problem in problems.iter().take(MAX_LISTED_PROBLEMS) {
        let _ = write!(text, "; {problem}");
    }
    text
}
