//! The subset of condition and key condition expressions that poplarwing uses.
//!
//! The grammar is `term (AND term)*`, where a term is `attribute_exists(NAME)`,
//! `attribute_not_exists(NAME)` or `NAME OPERATOR :VALUE` with `=`, `<>`, `<`, `<=`, `>` or `>=`.

use {
    super::table::{ItemMap, TableError},
    serde_json::{Map, Value},
    std::cmp::Ordering,
};

/// Comparison operators, longer ones first so that `<=` is not read as `<`.
const OPERATORS: [&str; 6] = ["<=", ">=", "<>", "=", "<", ">"];

/// A condition with the attribute names and values that its placeholders stand for.
#[derive(Debug)]
pub(super) struct Condition<'a> {
    expression: &'a str,
    names: Option<&'a Map<String, Value>>,
    values: Option<&'a Map<String, Value>>,
}

impl<'a> Condition<'a> {
    /// Returns the condition in `field` of a request, or none if the field is absent.
    pub(super) fn from_request(request: &'a Value, field: &str) -> Option<Self> {
        Some(Self {
            expression: request.get(field)?.as_str()?,
            names: request
                .get("ExpressionAttributeNames")
                .and_then(Value::as_object),
            values: request
                .get("ExpressionAttributeValues")
                .and_then(Value::as_object),
        })
    }

    /// Evaluates the condition on an item; an absent item has no attributes.
    pub(super) fn holds(&self, item: Option<&ItemMap>) -> Result<bool, TableError> {
        let mut holds = true;
        for term in self.expression.split(" AND ") {
            holds &= self.term_holds(term.trim(), item)?;
        }
        Ok(holds)
    }

    /// Returns the string that a term of the form `attribute = :value` requires, if there is one.
    pub(super) fn required_string(&self, attribute: &str) -> Option<&'a str> {
        self.expression.split(" AND ").find_map(|term| {
            let (name, value) = term.split_once('=')?;
            let name = name.trim();
            let alias = self.names.and_then(|names| names.get(name));
            let resolved = alias.and_then(Value::as_str).unwrap_or(name);
            let value = self.values.and_then(|values| values.get(value.trim()))?;
            text_of(value, "S").filter(|_| resolved == attribute)
        })
    }

    fn term_holds(&self, term: &str, item: Option<&ItemMap>) -> Result<bool, TableError> {
        if let Some(name) = argument_of(term, "attribute_not_exists") {
            return Ok(self.attribute(name, item)?.is_none());
        }
        if let Some(name) = argument_of(term, "attribute_exists") {
            return Ok(self.attribute(name, item)?.is_some());
        }
        for operator in OPERATORS {
            if let Some((name, value)) = term.split_once(operator) {
                let actual = self.attribute(name.trim(), item)?;
                let expected = self.value(value.trim())?;
                return Ok(actual.is_some_and(|actual| compare(actual, operator, expected)));
            }
        }
        Err(TableError::validation(format!(
            "condition term not supported by the stand-in: {term}"
        )))
    }

    fn attribute<'i>(
        &self,
        name: &str,
        item: Option<&'i ItemMap>,
    ) -> Result<Option<&'i Value>, TableError> {
        let name = if name.starts_with('#') {
            let actual = self.names.and_then(|names| names.get(name));
            actual.and_then(Value::as_str).ok_or_else(|| {
                TableError::validation(format!(
                    "name missing from ExpressionAttributeNames: {name}"
                ))
            })?
        } else {
            name
        };
        Ok(item.and_then(|item| item.get(name)))
    }

    fn value(&self, name: &str) -> Result<&Value, TableError> {
        let actual = self.values.and_then(|values| values.get(name));
        actual.ok_or_else(|| {
            TableError::validation(format!(
                "value missing from ExpressionAttributeValues: {name}"
            ))
        })
    }
}

fn argument_of<'t>(term: &'t str, function: &str) -> Option<&'t str> {
    let rest = term.strip_prefix(function)?;
    Some(rest.trim().strip_prefix('(')?.strip_suffix(')')?.trim())
}

fn compare(actual: &Value, operator: &str, expected: &Value) -> bool {
    let Some(ordering) = order(actual, expected) else {
        return operator == "<>";
    };
    match operator {
        "=" => ordering == Ordering::Equal,
        "<>" => ordering != Ordering::Equal,
        "<" => ordering == Ordering::Less,
        "<=" => ordering != Ordering::Greater,
        ">" => ordering == Ordering::Greater,
        _ => ordering != Ordering::Less,
    }
}

/// Compares two attribute values as strings or integers; values of different types have no order.
fn order(first: &Value, second: &Value) -> Option<Ordering> {
    if let (Some(first), Some(second)) = (text_of(first, "S"), text_of(second, "S")) {
        return Some(first.cmp(second));
    }
    let first: i128 = text_of(first, "N")?.parse().ok()?;
    let second: i128 = text_of(second, "N")?.parse().ok()?;
    Some(first.cmp(&second))
}

fn text_of<'v>(value: &'v Value, kind: &str) -> Option<&'v str> {
    value.get(kind)?.as_str()
}
