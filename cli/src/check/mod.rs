//! The command `check`, which validates a configuration or a release note.

use crate::failure::Failure;
use fulmarhead_lib::config::{ConfigError, parse, parse_note};
use serde::Serialize;
use serde_json::Value;
use std::{fs, path::Path};
use strum::Display;

/// Type of the document in a file. In the output, its text precedes the revision or number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "snake_case")]
enum DocumentKind {
    /// A complete configuration.
    #[strum(to_string = "configuration of revision")]
    Configuration,
    /// A release note without its configuration.
    #[strum(to_string = "release note")]
    ReleaseNote,
}

/// Result of the check, also the JSON output.
#[derive(Debug, Serialize)]
struct CheckResult {
    document: DocumentKind,
    /// Revision of an accepted configuration, or number of an accepted release note.
    number: Option<u64>,
    errors: Vec<DocumentError>,
}

#[derive(Debug, Serialize)]
struct DocumentError {
    path: String,
    error: String,
    hint: &'static str,
}

/// Checks a document and prints every error in it.
///
/// # Errors
///
/// Returns an error if the file cannot be read or the document would be refused.
pub(crate) fn run(file: &Path, json: bool) -> Result<(), Failure> {
    let text = fs::read_to_string(file)
        .map_err(|error| Failure::UnreadFile { path: file.to_owned(), error })?;
    let result = check(&text);
    if json {
        println!("{}", serde_json::to_string_pretty(&result)?);
    } else {
        print(&result);
    }
    match result.errors.len() {
        0 => Ok(()),
        count => Err(Failure::Refused { path: file.to_owned(), count }),
    }
}

fn check(text: &str) -> CheckResult {
    let document = document_kind(text);
    let result = match document {
        DocumentKind::Configuration => parse(text).map(|fleet| fleet.revision),
        DocumentKind::ReleaseNote => parse_note(text).map(|note| note.number),
    };
    match result {
        Ok(number) => CheckResult { document, number: Some(number), errors: Vec::new() },
        Err(error) => CheckResult { document, number: None, errors: document_errors(error) },
    }
}

/// Returns the type of a document.
///
/// A release note has a number where a configuration has a revision.
fn document_kind(text: &str) -> DocumentKind {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    match value.get("number").is_some() && value.get("revision").is_none() {
        true => DocumentKind::ReleaseNote,
        false => DocumentKind::Configuration,
    }
}

fn document_errors(error: ConfigError) -> Vec<DocumentError> {
    match error {
        ConfigError::Invalid(problems) => problems
            .into_iter()
            .map(|problem| DocumentError {
                error: format!("{}: {}", problem.kind, problem.found),
                hint: problem.hint(),
                path: problem.path,
            })
            .collect(),
        ConfigError::Syntax { line, column, problem } => vec![DocumentError {
            path: format!("line {line}, column {column}"),
            error: problem,
            hint: "write the document as one valid JSON object, each field once",
        }],
        conflict @ ConfigError::Conflict(_) => vec![DocumentError {
            path: "revision".to_owned(),
            error: conflict.to_string(),
            hint: "publish the other content under a higher revision",
        }],
    }
}

fn print(result: &CheckResult) {
    for document_error in &result.errors {
        eprintln!(
            "{}: {}\n  hint: {}",
            document_error.path, document_error.error, document_error.hint
        );
    }
    if let Some(number) = result.number {
        println!("accepted: {} {number}", result.document);
    }
}
