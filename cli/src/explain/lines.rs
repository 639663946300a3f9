//! Search for the decisions on one request in log files.

use crate::failure::Failure;
use chrono::{DateTime, FixedOffset};
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

/// A line of the decision log.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Decision {
    pub(super) time: DateTime<FixedOffset>,
    pub(super) message: String,
    pub(super) attributes: BTreeMap<String, String>,
    /// Path of the log that contains the line.
    pub(super) file: PathBuf,
}

/// A line of a JSON log.
#[derive(Debug, Deserialize)]
struct LogLine {
    time: Rfc3339Time,
    target: String,
    message: String,
    attributes: BTreeMap<String, String>,
}

#[derive(Debug, Deserialize)]
#[serde(try_from = "String")]
struct Rfc3339Time(DateTime<FixedOffset>);

impl TryFrom<String> for Rfc3339Time {
    type Error = chrono::ParseError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        DateTime::parse_from_rfc3339(&text).map(Self)
    }
}

/// Returns the decisions on `request` in chronological order.
///
/// Lines that are not JSON are skipped, since another program may write to the same file.
pub(super) fn find_decisions(request: &str, logs: &[PathBuf]) -> Result<Vec<Decision>, Failure> {
    let mut decisions = Vec::new();
    for log in logs {
        read_log(request, log, &mut decisions)
            .map_err(|error| Failure::UnreadFile { path: log.clone(), error })?;
    }
    decisions.sort_by_key(|decision| decision.time);
    Ok(decisions)
}

fn read_log(request: &str, log: &Path, decisions: &mut Vec<Decision>) -> std::io::Result<()> {
    for line in BufReader::new(File::open(log)?).split(b'\n') {
        let Ok(line) = serde_json::from_slice::<LogLine>(&line?) else { continue };
        let matches_request = line.attributes.get("request").map(String::as_str) == Some(request);
        if line.target == "decision" && matches_request {
            let LogLine { time: Rfc3339Time(time), message, attributes, .. } = line;
            decisions.push(Decision { time, message, attributes, file: log.to_owned() });
        }
    }
    Ok(())
}
