//! Result of a check, as text and as JSON.

use fulmarhead_lib::{
    config::{ConfigError, Difference, Finding},
    ids::Revision,
};
use serde::Serialize;
use strum::Display;

/// Type of the document in a file. In the output, its text precedes the revision or number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "snake_case")]
pub(super) enum DocumentKind {
    /// A complete configuration.
    #[strum(to_string = "configuration of revision")]
    Configuration,
    /// A release note without its configuration.
    #[strum(to_string = "release note")]
    ReleaseNote,
}

/// Result of the check, also the JSON output.
#[derive(Debug, Serialize)]
pub(super) struct CheckResult {
    pub(super) document: DocumentKind,
    /// Revision of an accepted configuration, or number of an accepted release note.
    pub(super) number: Option<u64>,
    pub(super) errors: Vec<DocumentError>,
    /// Findings on a valid configuration, if it is compared to the one in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) findings: Option<Vec<Finding>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) comparison: Option<Comparison>,
}

/// Comparison to the configuration in force.
#[derive(Debug, Serialize)]
pub(super) struct Comparison {
    /// Revision in force.
    pub(super) revision: Revision,
    pub(super) differences: Vec<Difference>,
}

#[derive(Debug, Serialize)]
pub(super) struct DocumentError {
    pub(super) path: String,
    pub(super) error: String,
    pub(super) hint: &'static str,
}

impl CheckResult {
    /// Returns whether there is a finding on an accepted configuration.
    pub(super) fn has_findings(&self) -> bool {
        self.findings.as_ref().is_some_and(|findings| !findings.is_empty())
    }

    /// Prints errors to standard error and the rest to standard output.
    pub(super) fn print(&self) {
        for DocumentError { path, error, hint } in &self.errors {
            eprintln!("{path}: {error}\n  hint: {hint}");
        }
        if let Some(number) = self.number {
            println!("accepted: {} {number}", self.document);
        }
        for Finding { path, kind, found } in self.findings.iter().flatten() {
            println!("{path}: {kind}: {found}\n  hint: {}", kind.hint());
        }
        if let Some(comparison) = &self.comparison {
            comparison.print();
        }
    }
}

impl Comparison {
    /// Returns the error of a document of `revision` that no process would adopt, since the
    /// revision in force is not lower.
    pub(super) fn revision_error(&self, revision: Revision) -> Option<DocumentError> {
        let outdated = revision < self.revision;
        let conflict = revision == self.revision && !self.differences.is_empty();
        (outdated || conflict).then(|| DocumentError {
            path: "revision".to_owned(),
            error: format!("not_higher: {revision}, and {} is in force", self.revision),
            hint: "publish the document under a higher revision",
        })
    }

    fn print(&self) {
        if self.differences.is_empty() {
            println!("no differences from revision {}", self.revision);
        } else {
            println!("differences from revision {}:", self.revision);
        }
        for difference in &self.differences {
            println!("  {difference}");
        }
    }
}

/// Returns the errors of a document that is refused.
pub(super) fn document_errors(error: ConfigError) -> Vec<DocumentError> {
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
