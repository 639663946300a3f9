//! Compares a JSON value with the schema and lists every difference.
//!
//! Deserialization with serde stops at the first error, but operators need all of them at once.

use super::problem::{Problem, ProblemKind};
use serde_json::{Map, Value};
use std::net::SocketAddr;

/// Expected type of a JSON value.
#[derive(Clone, Copy, Debug)]
pub(super) enum Shape {
    String,
    Boolean,
    /// A non-negative integer that is at most this value.
    Integer(u64),
    /// Any number. The consistency checks validate its range.
    Number,
    Address,
    OneOf(&'static [&'static str]),
    List(&'static Shape),
    Object(&'static [Field]),
    /// Null or a value of the inner shape.
    Nullable(&'static Shape),
}

/// A field of an object, which may be required.
#[derive(Clone, Copy, Debug)]
pub(super) struct Field {
    pub(super) name: &'static str,
    pub(super) required: bool,
    pub(super) shape: Shape,
}

/// Adds every difference between `value` and `shape` to `problems` and removes unknown fields.
pub(super) fn compare(value: &mut Value, shape: &Shape, path: &str, problems: &mut Vec<Problem>) {
    let kind = match (shape, &mut *value) {
        (Shape::Nullable(_), Value::Null) => None,
        (Shape::Nullable(shape), value) => return compare(value, shape, path, problems),
        (Shape::List(shape), Value::Array(items)) => {
            for (index, item) in items.iter_mut().enumerate() {
                compare(item, shape, &format!("{path}[{index}]"), problems);
            }
            None
        }
        (Shape::Object(fields), Value::Object(object)) => {
            compare_object(object, fields, path, problems);
            None
        }
        (shape, value) => mismatch(value, shape),
    };
    problems.extend(kind.map(|kind| Problem::new(path, kind, &*value)));
}

fn compare_object(
    object: &mut Map<String, Value>,
    fields: &[Field],
    path: &str,
    problems: &mut Vec<Problem>,
) {
    object.retain(|name, value| {
        let path = join(path, name);
        let field = fields.iter().find(|field| field.name == name);
        match field {
            Some(field) => compare(value, &field.shape, &path, problems),
            None => problems.push(Problem::new(path, ProblemKind::UnknownField, &*value)),
        }
        field.is_some()
    });
    let missing = fields.iter().filter(|field| field.required && !object.contains_key(field.name));
    problems.extend(
        missing.map(|field| {
            Problem::new(join(path, field.name), ProblemKind::MissingField, "nothing")
        }),
    );
}

/// Returns the kind of problem of a value that [`compare`] has not matched with a list, an object
/// or null, or `None` if it has the expected scalar type.
fn mismatch(value: &Value, shape: &Shape) -> Option<ProblemKind> {
    let text = value.as_str();
    let (fits, kind) = match shape {
        Shape::String => (text.is_some(), ProblemKind::NotAText),
        Shape::Boolean => (value.is_boolean(), ProblemKind::NotAFlag),
        Shape::Integer(max) => {
            (value.as_u64().is_some_and(|number| number <= *max), ProblemKind::NotANumber)
        }
        Shape::Number => (value.is_number(), ProblemKind::NotAShare),
        Shape::Address => {
            let address = text.and_then(|text| text.parse::<SocketAddr>().ok());
            (address.is_some(), ProblemKind::NotAnAddress)
        }
        Shape::OneOf(options) => {
            (text.is_some_and(|text| options.contains(&text)), ProblemKind::NotAnOption)
        }
        Shape::List(_) => (false, ProblemKind::NotAList),
        Shape::Object(_) | Shape::Nullable(_) => (false, ProblemKind::NotAnObject),
    };
    (!fits).then_some(kind)
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}
