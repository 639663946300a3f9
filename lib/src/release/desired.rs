//! Orders that bring one target to the state described by a release note.

use super::{
    note::{Action, ModelChange, ReleaseNote},
    order::{LoadedModel, Order},
};
use crate::config::Target;

/// Returns the orders that bring the engine of `target` to the state described by `note`, in the
/// sequence in which they must be issued.
///
/// The note is declarative: the orders are derived from it and from what the engine has loaded, so
/// an agent that has lost its state continues from the state of the engine. Anything that the note
/// does not mention remains unchanged.
pub fn required_orders(
    note: &ReleaseNote,
    target: &Target,
    loaded: &[LoadedModel],
    role: &str,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for change in note.models.iter().filter(|change| applies_to(change, target)) {
        orders.extend(model_order(change, find_loaded(loaded, &change.model)));
    }
    for change in &note.adapters {
        let (model, adapter) = (change.model.clone(), change.adapter.clone());
        let Some(loaded_model) = find_loaded(loaded, &model) else { continue };
        let model_unloads = orders
            .iter()
            .any(|order| matches!(order, Order::UnloadModel { model: m } if *m == model));
        let adapter_loaded = loaded_model.adapters.contains(&adapter);
        match (change.action, adapter_loaded) {
            _ if model_unloads => {}
            (Action::Withdrawn, true) => orders.push(Order::UnloadAdapter { model, adapter }),
            (Action::Added | Action::Changed, false) => {
                orders.push(Order::LoadAdapter { model, adapter });
            }
            _ => {}
        }
    }
    let change = note.targets.iter().find(|change| change.target == target.id);
    if let Some(new_role) = change.and_then(|change| change.role.clone())
        && new_role != role
    {
        orders.push(Order::SetRole { role: new_role });
    }
    orders
}

fn applies_to(change: &ModelChange, target: &Target) -> bool {
    let is_listed = change.targets.is_empty() || change.targets.contains(&target.id);
    is_listed && target.models.contains(&change.model)
}

fn model_order(change: &ModelChange, loaded_model: Option<&LoadedModel>) -> Option<Order> {
    let model = change.model.clone();
    match (&change.version, loaded_model) {
        (Some(version), loaded_model)
            if loaded_model.is_none_or(|loaded_model| loaded_model.version != *version) =>
        {
            Some(Order::LoadModel { model, version: version.clone() })
        }
        (None, Some(_)) => Some(Order::UnloadModel { model }),
        _ => None,
    }
}

fn find_loaded<'a>(loaded: &'a [LoadedModel], model: &str) -> Option<&'a LoadedModel> {
    loaded.iter().find(|loaded_model| loaded_model.model == model)
}
