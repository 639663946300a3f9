//! The report as text tables.

use super::document::{GroupStats, LatencyStats, Report};
use comfy_table::Table;

/// Returns the report as text: a summary line, a table of the groups of requests, and a table of
/// refusals and errors.
pub fn table(report: &Report) -> String {
    let load = &report.load;
    let summary = format!(
        "seed {}, mix {}, {} arrivals/s for {} s (first {} s not counted), limit {} s, mean prompt \
         of the full mix {:.0} tokens; {:.1} complete answers/s; times in ms",
        load.seed,
        load.mix,
        load.rate,
        load.duration,
        load.warmup,
        load.deadline,
        load.mean_prompt,
        report.goodput,
    );
    [summary, group_table(report).to_string(), failure_table(report).to_string()].join("\n")
}

fn group_table(report: &Report) -> Table {
    let mut table = Table::new();
    table.set_header([
        "group",
        "sent",
        "complete",
        "refused",
        "broken",
        "errors",
        "first p50",
        "p95",
        "p99",
        "max",
        "gap p50",
        "p95",
        "p99",
        "refusal p50",
        "p95",
    ]);
    for (class, group) in &report.classes {
        table.add_row(group_row(&class.to_string(), group));
    }
    if report.calls.counts.sent > 0 {
        table.add_row(group_row("calls", &report.calls));
    }
    for (team, group) in &report.teams {
        table.add_row(group_row(&format!("team {team}"), group));
    }
    table
}

fn group_row(name: &str, group: &GroupStats) -> Vec<String> {
    let GroupStats { counts, first, gaps, refusals } = group;
    let mut row = vec![name.to_owned()];
    row.extend(
        [counts.sent, counts.complete, counts.refused, counts.broken, counts.errors]
            .map(|count| count.to_string()),
    );
    let LatencyStats { p50, p95, p99, max, .. } = *first;
    let times = [p50, p95, p99, max, gaps.p50, gaps.p95, gaps.p99, refusals.p50, refusals.p95];
    row.extend(times.map(|time| format!("{time:.1}")));
    row
}

fn failure_table(report: &Report) -> Table {
    let mut table = Table::new();
    table.set_header(["refusal or error", "outcome", "count"]);
    for refusal in &report.refusals {
        table.add_row([
            refusal.reason.to_string(),
            refusal.outcome.to_string(),
            refusal.count.to_string(),
        ]);
    }
    for (kind, count) in &report.errors {
        table.add_row([kind.to_string(), "error".to_owned(), count.to_string()]);
    }
    table
}
