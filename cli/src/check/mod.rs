//! The command `check`.

use crate::failure::Failure;
use fulmarhead_lib::config::{ConfigError, parse, parse_note};
use serde::Serialize;
use serde_json::Value;
use std::{fs, path::Path};
use strum::Display;

/// What a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "snake_case")]
enum Document {
    /// A whole configuration.
    #[strum(to_string = "configuration of revision")]
    Configuration,
    /// A release note alone.
    #[strum(to_string = "release note")]
    ReleaseNote,
}

#[derive(Debug, Serialize)]
struct Verdict {
    document: Document,
    /// Revision of a configuration or number of a release note that is accepted.
    number: Option<u64>,
    errors: Vec<Fault>,
}

#[derive(Debug, Serialize)]
struct Fault {
    path: String,
    error: String,
    hint: &'static str,
}

/// Checks a file and prints every error; fails unless the document would be accepted.
pub(crate) fn run(file: &Path, json: bool) -> Result<(), Failure> {
    let text =
        fs::read_to_string(file).map_err(|error| Failure::File { path: file.to_owned(), error })?;
    let verdict = check(&text);
    if json {
        println!("{}", serde_json::to_string_pretty(&verdict)?);
    } else {
        print(&verdict);
    }
    match verdict.errors.len() {
        0 => Ok(()),
        count => Err(Failure::Refused { path: file.to_owned(), count }),
    }
}

fn check(text: &str) -> Verdict {
    let document = recognize(text);
    let result = match document {
        Document::Configuration => parse(text).map(|fleet| fleet.revision),
        Document::ReleaseNote => parse_note(text).map(|note| note.number),
    };
    match result {
        Ok(number) => Verdict { document, number: Some(number), errors: Vec::new() },
        Err(error) => Verdict { document, number: None, errors: faults(error) },
    }
}

/// A release note has a number where a configuration has a revision.
fn recognize(text: &str) -> Document {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    match value.get("number").is_some() && value.get("revision").is_none() {
        true => Document::ReleaseNote,
        false => Document::Configuration,
    }
}

fn faults(error: ConfigError) -> Vec<Fault> {
    match error {
        ConfigError::Invalid(problems) => problems
            .into_iter()
            .map(|problem| Fault {
                error: format!("{}: {}", problem.kind, problem.found),
                hint: problem.hint(),
                path: problem.path,
            })
            .collect(),
        ConfigError::Syntax { line, column, problem } => vec![Fault {
            path: format!("line {line}, column {column}"),
            error: problem,
            hint: "write the document as one valid JSON object, each field once",
        }],
        conflict @ ConfigError::Conflict(_) => vec![Fault {
            path: "revision".to_owned(),
            error: conflict.to_string(),
            hint: "publish the other content under a higher revision",
        }],
    }
}

fn print(verdict: &Verdict) {
    for fault in &verdict.errors {
        eprintln!("{}: {}\n  hint: {}", fault.path, fault.error, fault.hint);
    }
    if let Some(number) = verdict.number {
        println!("accepted: {} {number}", verdict.document);
    }
}
