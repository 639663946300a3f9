//! Result table of the demo.

use comfy_table::Table;
use std::time::Duration;

/// Result of one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Description of the step.
    pub step: &'static str,
    /// Whether the step had the expected result.
    pub passed: bool,
    /// Observed result, for display.
    pub details: String,
    /// Time that the step took.
    pub duration: Duration,
}

/// Prints `rows` as a table to standard output.
pub fn print(rows: &[Row]) {
    let mut table = Table::new();
    table.set_header(["step", "result", "seen", "ms"]);
    for row in rows {
        let result = if row.passed { "ok" } else { "WRONG" };
        let duration_ms = row.duration.as_millis().to_string();
        table.add_row([row.step, result, &row.details, &duration_ms]);
    }
    println!("{table}");
}
