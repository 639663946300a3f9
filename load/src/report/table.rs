//! The report as tables.

use super::document::{GroupPart, Report, Times};
use comfy_table::Table;

/// Returns the report as tables.
pub fn table(report: &Report) -> String {
    let load = &report.load;
    let head = format!(
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
    [head, groups(report).to_string(), endings(report).to_string()].join("\n")
}

fn groups(report: &Report) -> Table {
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
        table.add_row(row(&class.to_string(), group));
    }
    if report.calls.counts.sent > 0 {
        table.add_row(row("calls", &report.calls));
    }
    for (team, group) in &report.teams {
        table.add_row(row(&format!("team {team}"), group));
    }
    table
}

fn row(name: &str, group: &GroupPart) -> Vec<String> {
    let GroupPart { counts, first, gaps, refusals } = group;
    let mut row = vec![name.to_owned()];
    row.extend(
        [counts.sent, counts.complete, counts.refused, counts.broken, counts.errors]
            .map(|count| count.to_string()),
    );
    let Times { p50, p95, p99, max, .. } = *first;
    let times = [p50, p95, p99, max, gaps.p50, gaps.p95, gaps.p99, refusals.p50, refusals.p95];
    row.extend(times.map(|time| format!("{time:.1}")));
    row
}

fn endings(report: &Report) -> Table {
    let mut table = Table::new();
    table.set_header(["refusal or error", "outcome", "count"]);
    for part in &report.refusals {
        table.add_row([part.reason.to_string(), part.outcome.to_string(), part.count.to_string()]);
    }
    for (kind, count) in &report.errors {
        table.add_row([kind.to_string(), "error".to_owned(), count.to_string()]);
    }
    table
}
