//! Checks of the release note, alone and together with the rest of the document.

use super::collector::Collector;
use crate::{
    config::{Fleet, Kind, ProblemKind},
    release::{Action, ModelChange, ReleaseNote},
};
use std::collections::BTreeSet;

/// Adds every contradiction within the note; `prefix` is the path of the note with a dot.
pub(super) fn check_note(note: &ReleaseNote, prefix: &str, found: &mut Collector) {
    found.require(note.number > 0, format!("{prefix}number"), ProblemKind::Zero, note.number);
    let max = note.max_unavailable;
    found.require(max > 0, format!("{prefix}max_unavailable"), ProblemKind::Zero, max);
    let mut assigned = BTreeSet::new();
    for (index, change) in note.models.iter().enumerate() {
        check_model(&format!("{prefix}models[{index}]"), change, &mut assigned, found);
    }
    for (index, change) in note.adapters.iter().enumerate() {
        let path = format!("{prefix}adapters[{index}].adapter");
        found.name(&path, &change.adapter);
        let pair = format!("{}/{}", change.model, change.adapter);
        found.unique("changed adapter", path, &pair);
    }
    for (index, change) in note.targets.iter().enumerate() {
        let path = format!("{prefix}targets[{index}]");
        found.unique("changed target", format!("{path}.target"), &change.target);
        if let Some(role) = &change.role {
            found.name(format!("{path}.role"), role);
            let kept = change.action != Action::Withdrawn;
            found.require(kept, format!("{path}.role"), ProblemKind::NotForWithdrawn, role);
        }
    }
    for (index, change) in note.zones.iter().enumerate() {
        found.unique("changed zone", format!("{prefix}zones[{index}].zone"), &change.zone);
    }
}

fn check_model<'a>(
    path: &str,
    change: &'a ModelChange,
    assigned: &mut BTreeSet<(&'a str, Option<&'a str>)>,
    found: &mut Collector,
) {
    let version = format!("{path}.version");
    match (&change.version, change.action) {
        (None, Action::Withdrawn) => {}
        (None, _) => found.add(version, ProblemKind::MissingVersion, "nothing"),
        (Some(text), Action::Withdrawn) => found.add(version, ProblemKind::NotForWithdrawn, text),
        (Some(text), _) => found.require(!text.is_empty(), version, ProblemKind::InvalidName, text),
    }
    // A change for named targets beside one for all would give a target two versions.
    let model = change.model.as_str();
    let conflicts = |target: Option<&'a str>| match target {
        None => assigned.iter().any(|(known, _)| *known == model),
        some => assigned.contains(&(model, None)) || assigned.contains(&(model, some)),
    };
    let targets: Vec<Option<&str>> = match change.targets.is_empty() {
        true => vec![None],
        false => change.targets.iter().map(|target| Some(target.as_str())).collect(),
    };
    let conflict = targets.iter().any(|target| conflicts(*target));
    found.require(!conflict, format!("{path}.model"), ProblemKind::Duplicate, model);
    assigned.extend(targets.into_iter().map(|target| (model, target)));
}

/// Adds every contradiction between the note and the rest of the document.
pub(super) fn check_references(note: &ReleaseNote, fleet: &Fleet, found: &mut Collector) {
    check_models(note, fleet, found);
    for (index, change) in note.adapters.iter().enumerate() {
        let path = format!("release.adapters[{index}].model");
        defined_model(fleet, &change.model, path, found);
    }
    for (index, change) in note.targets.iter().enumerate() {
        let target = fleet.target(&change.target);
        let in_service = target.map(|target| !target.departing);
        let worker = target.is_some_and(|target| target.kind == Kind::Application);
        if let (true, Some(role)) = (worker, &change.role) {
            found.add(format!("release.targets[{index}].role"), ProblemKind::RoleOfWorker, role);
        }
        let path = format!("release.targets[{index}].target");
        agree(change.action, in_service, path, &change.target, found);
    }
    for (index, change) in note.zones.iter().enumerate() {
        let zone = fleet.zones.iter().find(|zone| zone.id == change.zone);
        let path = format!("release.zones[{index}].zone");
        agree(change.action, zone.map(|zone| zone.in_service), path, &change.zone, found);
    }
}

fn check_models(note: &ReleaseNote, fleet: &Fleet, found: &mut Collector) {
    for (index, change) in note.models.iter().enumerate() {
        let path = format!("release.models[{index}]");
        defined_model(fleet, &change.model, format!("{path}.model"), found);
        let group: BTreeSet<&str> = fleet
            .targets
            .iter()
            .filter(|target| target.models.contains(&change.model))
            .map(|target| target.id.as_str())
            .collect();
        found.references(&format!("{path}.targets"), &change.targets, &group);
        let used = fleet.teams.iter().any(|team| team.models.contains(&change.model));
        let everywhere = change.action == Action::Withdrawn && change.targets.is_empty();
        let path = format!("{path}.model");
        found.require(!(everywhere && used), path, ProblemKind::StillInService, &change.model);
    }
}

fn defined_model(fleet: &Fleet, model: &str, path: String, found: &mut Collector) {
    let defined = fleet.models.iter().any(|known| known.id == model);
    found.require(defined, path, ProblemKind::Undefined, model);
}

/// Requires that what the note says of a target or zone agrees with the document.
fn agree(
    action: Action,
    in_service: Option<bool>,
    path: String,
    name: &str,
    found: &mut Collector,
) {
    match (action, in_service) {
        (Action::Withdrawn, Some(true)) => found.add(path, ProblemKind::StillInService, name),
        (Action::Added | Action::Changed, None) => found.add(path, ProblemKind::Undefined, name),
        (Action::Added, Some(false)) => found.add(path, ProblemKind::NotInService, name),
        _ => {}
    }
}
