//! The command `explain`, which shows the decisions on one request from log files.

mod lines;
mod spent;

use self::{
    lines::{Decision, find_decisions},
    spent::{gaps, wait_times},
};
use crate::failure::Failure;
use serde_json::{Value, json};
use std::path::PathBuf;

/// Prints the decisions on a request and the time between them.
///
/// # Errors
///
/// Returns an error if a log cannot be read or none contains a decision on the request.
pub(crate) fn run(request: &str, logs: &[PathBuf], json: bool) -> Result<(), Failure> {
    let decisions = find_decisions(request, logs)?;
    if decisions.is_empty() {
        return Err(Failure::UnknownRequest(request.to_owned()));
    }
    match json {
        true => println!("{}", serde_json::to_string_pretty(&to_json(&decisions))?),
        false => print(&decisions),
    }
    Ok(())
}

fn to_json(decisions: &[Decision]) -> Value {
    let lines = decisions.iter().zip(gaps(decisions)).map(|(decision, gap)| {
        json!({
            "time": decision.time.to_rfc3339(),
            "gap_ms": gap,
            "message": decision.message,
            "attributes": decision.attributes,
            "file": decision.file,
        })
    });
    let wait_times =
        wait_times(decisions).into_iter().map(|(wait, ms)| json!({ "wait": wait, "ms": ms }));
    json!({ "decisions": lines.collect::<Vec<_>>(), "spent": wait_times.collect::<Vec<_>>() })
}

fn print(decisions: &[Decision]) {
    for (decision, gap) in decisions.iter().zip(gaps(decisions)) {
        let attributes = decision.attributes.iter().filter(|(name, _)| *name != "request");
        let attributes: Vec<String> =
            attributes.map(|(name, value)| format!("{name}={value}")).collect();
        println!(
            "{} {:>+11.3} ms  {}  {}  [{}]",
            decision.time.to_rfc3339(),
            gap,
            decision.message,
            attributes.join(" "),
            decision.file.display(),
        );
    }
    let wait_times = wait_times(decisions);
    let total: f64 = wait_times.values().sum();
    println!("\n{total:.3} ms between the first and the last decision");
    for (wait, ms) in wait_times {
        let share = if total > 0.0 { 100.0 * ms / total } else { 0.0 };
        println!("{ms:>12.3} ms {share:>5.1}%  {wait}");
    }
}
