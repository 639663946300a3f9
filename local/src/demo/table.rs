//! The table at the end of the demo.

use comfy_table::Table;
use std::time::Duration;

/// What one step showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// What was done.
    pub step: &'static str,
    /// Whether it came out right.
    pub passed: bool,
    /// What was seen.
    pub seen: String,
    /// How long it took.
    pub took: Duration,
}

/// Prints the rows to standard output.
pub fn print(rows: &[Row]) {
    let mut table = Table::new();
    table.set_header(["step", "result", "seen", "ms"]);
    for row in rows {
        let result = if row.passed { "ok" } else { "WRONG" };
        let took = row.took.as_millis().to_string();
        table.add_row([row.step, result, &row.seen, &took]);
    }
    println!("{table}");
}
