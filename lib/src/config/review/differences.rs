//! Differences between two documents.

use crate::config::Fleet;
use serde::Serialize;
use serde_json::{Map, Value};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{Display, Formatter},
};

/// Fields whose values are not shown, since they allow tokens to be guessed.
const HIDDEN_FIELDS: [&str; 1] = ["token_sha256"];

/// A difference at one path.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path in the document; items of lists are named by their `id`, routes by method and path.
    pub path: String,
    /// What changed.
    #[serde(flatten)]
    pub change: Change,
}

/// Kind of a difference, from the active document to the new one.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum Change {
    /// Only the new document has the item.
    Added,
    /// Only the active document has the item.
    Removed,
    /// The value differs.
    Changed {
        /// Value in the active document.
        from: Value,
        /// Value in the new document.
        to: Value,
    },
    /// The value differs but is not shown.
    Hidden,
}

impl Display for Difference {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let path = &self.path;
        match &self.change {
            Change::Added => write!(f, "{path}: added"),
            Change::Removed => write!(f, "{path}: removed"),
            Change::Changed { from, to } => write!(f, "{path}: {from} -> {to}"),
            Change::Hidden => write!(f, "{path}: changed"),
        }
    }
}

/// Returns the differences from the document `active` to `new`, without the revision.
///
/// Omitted settings count with their defaults, and the order of items counts as no difference.
///
/// # Errors
///
/// Returns an error if a document can't be represented as JSON.
pub fn differences(active: &Fleet, new: &Fleet) -> Result<Vec<Difference>, serde_json::Error> {
    let value = |fleet: &Fleet| serde_json::to_value(Fleet { revision: 0, ..fleet.clone() });
    let mut differences = Vec::new();
    compare("", &value(active)?, &value(new)?, &mut differences);
    Ok(differences)
}

fn compare(path: &str, active: &Value, new: &Value, differences: &mut Vec<Difference>) {
    match (active, new) {
        _ if active == new => {}
        (Value::Object(active), Value::Object(new)) => {
            compare_objects(path, active, new, differences);
        }
        (Value::Array(active), Value::Array(new)) => compare_lists(path, active, new, differences),
        _ => {
            let hidden = HIDDEN_FIELDS.iter().any(|field| path.ends_with(field));
            let change = match hidden {
                true => Change::Hidden,
                false => Change::Changed { from: active.clone(), to: new.clone() },
            };
            differences.push(Difference { path: path.to_owned(), change });
        }
    }
}

fn compare_objects(
    path: &str,
    active: &Map<String, Value>,
    new: &Map<String, Value>,
    differences: &mut Vec<Difference>,
) {
    let names: BTreeSet<&String> = active.keys().chain(new.keys()).collect();
    for name in names {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        let (active, new) = (active.get(name), new.get(name));
        compare(&path, active.unwrap_or(&Value::Null), new.unwrap_or(&Value::Null), differences);
    }
}

fn compare_lists(path: &str, active: &[Value], new: &[Value], differences: &mut Vec<Difference>) {
    let (active, new) = (by_name(active), by_name(new));
    let names: BTreeSet<&String> = active.keys().chain(new.keys()).collect();
    for name in names {
        let path = format!("{path}[{name}]");
        match (active.get(name), new.get(name)) {
            (Some(active), Some(new)) => compare(&path, active, new, differences),
            (None, _) => differences.push(Difference { path, change: Change::Added }),
            (_, None) => differences.push(Difference { path, change: Change::Removed }),
        }
    }
}

/// Returns the items of a list by their names, or by their content if they have none.
fn by_name(items: &[Value]) -> BTreeMap<String, &Value> {
    items.iter().map(|item| (name(item), item)).collect()
}

fn name(item: &Value) -> String {
    let field = |name: &str| item.get(name).and_then(Value::as_str);
    match (field("id"), field("method"), field("path"), item) {
        (Some(id), ..) => id.to_owned(),
        (_, Some(method), Some(path), _) => format!("{method} {path}"),
        (.., Value::String(text)) => text.clone(),
        _ => item.to_string(),
    }
}
