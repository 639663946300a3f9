//! The command `check`, which validates a configuration or a release note, and compares a
//! configuration to the one in force.

mod report;
mod source;

pub(crate) use self::source::Source;

use self::report::{CheckResult, Comparison, DocumentKind, document_errors};
use crate::{EXIT_FINDINGS, failure::Failure};
use fulmarhead_lib::config::{Fleet, differences, parse, parse_note, review};
use serde_json::Value;
use std::{fs, path::Path, process::ExitCode};

/// Checks a document, prints the result, and returns the exit code.
///
/// With `against`, a valid configuration is also reviewed and compared. If the configuration in
/// force can't be read, the rest of the result is printed anyway.
///
/// # Errors
///
/// Returns an error if a file or the configuration in force can't be read, or the document would be
/// refused.
pub(crate) async fn run(
    file: &Path,
    against: Option<&Source>,
    json: bool,
) -> Result<ExitCode, Failure> {
    let text = fs::read_to_string(file)
        .map_err(|error| Failure::UnreadFile { path: file.to_owned(), error })?;
    let (mut result, fleet) = check(&text);
    if against.is_some() && result.document == DocumentKind::ReleaseNote {
        return Err(Failure::NoteAgainst(file.to_owned()));
    }
    let mut unread = None;
    if let (Some(source), Some(fleet)) = (against, fleet) {
        result.findings = Some(review(&fleet));
        match compare(source, &fleet).await {
            Ok(comparison) => add_comparison(&mut result, comparison, &fleet),
            Err(failure) => unread = Some(failure),
        }
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&result)?);
    } else {
        result.print();
    }
    match (result.errors.len(), unread) {
        (_, Some(failure)) => Err(failure),
        (0, None) if result.has_findings() => Ok(ExitCode::from(EXIT_FINDINGS)),
        (0, None) => Ok(ExitCode::SUCCESS),
        (count, None) => Err(Failure::Refused { path: file.to_owned(), count }),
    }
}

/// Returns the errors of a document, and the configuration if it is a valid one.
fn check(text: &str) -> (CheckResult, Option<Fleet>) {
    let document = document_kind(text);
    let result = match document {
        DocumentKind::Configuration => parse(text).map(|fleet| (fleet.revision, Some(fleet))),
        DocumentKind::ReleaseNote => parse_note(text).map(|note| (note.number, None)),
    };
    let (number, fleet, errors) = match result {
        Ok((number, fleet)) => (Some(number), fleet, Vec::new()),
        Err(error) => (None, None, document_errors(error)),
    };
    (CheckResult { document, number, errors, findings: None, comparison: None }, fleet)
}

async fn compare(source: &Source, fleet: &Fleet) -> Result<Comparison, Failure> {
    let active = source.read().await?;
    let differences = differences(&active, fleet)?;
    Ok(Comparison { revision: active.revision, differences })
}

fn add_comparison(result: &mut CheckResult, comparison: Comparison, fleet: &Fleet) {
    if let Some(error) = comparison.revision_error(fleet.revision) {
        result.number = None;
        result.errors.push(error);
    }
    result.comparison = Some(comparison);
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
