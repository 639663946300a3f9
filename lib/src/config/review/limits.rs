//! Limits of a document that contradict each other.

use super::finding::{Finding, FindingKind};
use crate::{config::Fleet, cost::BYTES_PER_TOKEN, ids::Tokens};

/// Cost of the smallest request: one token of prompt and one of output.
const MIN_REQUEST_TOKENS: Tokens = 2;

/// Returns the budgets that no request fits, and the bounds that others make unreachable.
pub(super) fn findings(fleet: &Fleet) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_budgets(fleet, &mut findings);
    check_bodies(fleet, &mut findings);
    check_reserve(fleet, &mut findings);
    findings
}

fn check_budgets(fleet: &Fleet, findings: &mut Vec<Finding>) {
    let entries = fleet.entries.len().max(1) as Tokens;
    for (index, team) in fleet.teams.iter().enumerate() {
        let (rate, burst) = (team.tokens_per_second, team.burst_tokens);
        if burst / entries < MIN_REQUEST_TOKENS {
            let path = format!("teams[{index}].burst_tokens");
            findings.push(Finding::new(path, FindingKind::BurstBelowRequest, burst));
        }
        if rate < entries {
            let path = format!("teams[{index}].tokens_per_second");
            findings.push(Finding::new(path, FindingKind::RateBelowEntries, rate));
        }
    }
}

/// The limit of a model includes the output, so a prompt may be at most one token shorter.
fn check_bodies(fleet: &Fleet, findings: &mut Vec<Finding>) {
    let largest = fleet.bounds.max_body as u64 / BYTES_PER_TOKEN;
    for (index, model) in fleet.models.iter().enumerate() {
        if model.max_tokens > largest + 1 {
            let path = format!("models[{index}].max_tokens");
            findings.push(Finding::new(path, FindingKind::BodyBelowPrompt, model.max_tokens));
        }
    }
}

fn check_reserve(fleet: &Fleet, findings: &mut Vec<Finding>) {
    let reserve = fleet.policy.zone_reserve;
    let kind = if reserve >= 1.0 {
        FindingKind::ReserveOfAll
    } else if reserve > 0.0 && fleet.zones.len() < 2 {
        FindingKind::ReserveNeverReleased
    } else {
        return;
    };
    findings.push(Finding::new("policy.zone_reserve", kind, reserve));
}
