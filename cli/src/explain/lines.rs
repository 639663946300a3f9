//! Finds the decision lines of one request in log files.

use crate::failure::Failure;
use chrono::{DateTime, FixedOffset};
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

/// A decision line.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Decision {
    pub(super) time: DateTime<FixedOffset>,
    pub(super) message: String,
    pub(super) attributes: BTreeMap<String, String>,
    pub(super) file: PathBuf,
}

#[derive(Debug, Deserialize)]
struct Line {
    time: DateTime3339,
    target: String,
    message: String,
    attributes: BTreeMap<String, String>,
}

#[derive(Debug, Deserialize)]
#[serde(try_from = "String")]
struct DateTime3339(DateTime<FixedOffset>);

impl TryFrom<String> for DateTime3339 {
    type Error = chrono::ParseError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        DateTime::parse_from_rfc3339(&text).map(Self)
    }
}

/// Returns the decisions on `request` in order of time.
///
/// Lines that are not JSON, such as those of another program in the same file, are passed over.
pub(super) fn find(request: &str, logs: &[PathBuf]) -> Result<Vec<Decision>, Failure> {
    let mut decisions = Vec::new();
    for log in logs {
        read(request, log, &mut decisions)
            .map_err(|error| Failure::File { path: log.clone(), error })?;
    }
    decisions.sort_by_key(|decision| decision.time);
    Ok(decisions)
}

fn read(request: &str, log: &Path, decisions: &mut Vec<Decision>) -> std::io::Result<()> {
    for line in BufReader::new(File::open(log)?).split(b'\n') {
        let Ok(line) = serde_json::from_slice::<Line>(&line?) else { continue };
        let concerns = line.attributes.get("request").map(String::as_str) == Some(request);
        if line.target == "decision" && concerns {
            let Line { time: DateTime3339(time), message, attributes, .. } = line;
            decisions.push(Decision { time, message, attributes, file: log.to_owned() });
        }
    }
    Ok(())
}
