//! Condition and key condition expressions, as far as poplarwing uses them.
//!
//! The grammar is `term (AND term)*`, where a term is `attribute_exists(NAME)`,
//! `attribute_not_exists(NAME)` or `NAME OPERATOR :VALUE` with `=`, `<>`, `<`, `<=`, `>` or `>=`.

use {
    super::table::{ApiFault, ItemMap},
    serde_json::{Map, Value},
    std::cmp::Ordering,
};

/// Comparison operators, longer ones first so that `<=` is not read as `<`.
const OPERATORS: [&str; 6] = ["<=", ">=", "<>", "=", "<", ">"];

/// An expression with the names and values that it refers to.
#[derive(Debug)]
pub(super) struct ConditionText<'a> {
    expression: &'a str,
    names: Option<&'a Map<String, Value>>,
    values: Option<&'a Map<String, Value>>,
}

impl<'a> ConditionText<'a> {
    /// Takes the expression in `field` of a request; none if the request has none.
    pub(super) fn of(request: &'a Value, field: &str) -> Option<Self> {
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

    /// Returns whether the expression holds for an item; an absent item has no attributes.
    pub(super) fn holds(&self, item: Option<&ItemMap>) -> Result<bool, ApiFault> {
        let mut holds = true;
        for term in self.expression.split(" AND ") {
            holds &= self.term_holds(term.trim(), item)?;
        }
        Ok(holds)
    }

    /// Returns the text that an attribute must equal, if a term says so.
    pub(super) fn required_text(&self, attribute: &str) -> Option<&'a str> {
        self.expression.split(" AND ").find_map(|term| {
            let (name, value) = term.split_once('=')?;
            let name = name.trim();
            let alias = self.names.and_then(|names| names.get(name));
            let resolved = alias.and_then(Value::as_str).unwrap_or(name);
            let value = self.values.and_then(|values| values.get(value.trim()))?;
            text_of(value, "S").filter(|_| resolved == attribute)
        })
    }

    fn term_holds(&self, term: &str, item: Option<&ItemMap>) -> Result<bool, ApiFault> {
        if let Some(name) = argument_of(term, "attribute_not_exists") {
            return Ok(self.attribute(name, item)?.is_none());
        }
        if let Some(name) = argument_of(term, "attribute_exists") {
            return Ok(self.attribute(name, item)?.is_some());
        }
        for operator in OPERATORS {
            if let Some((name, value)) = term.split_once(operator) {
                let found = self.attribute(name.trim(), item)?;
                let wanted = self.value(value.trim())?;
                return Ok(found.is_some_and(|found| compare(found, operator, wanted)));
            }
        }
        Err(ApiFault::validation(format!("unsupported term: {term}")))
    }

    fn attribute<'i>(
        &self,
        name: &str,
        item: Option<&'i ItemMap>,
    ) -> Result<Option<&'i Value>, ApiFault> {
        let name = if name.starts_with('#') {
            let found = self.names.and_then(|names| names.get(name));
            found
                .and_then(Value::as_str)
                .ok_or_else(|| ApiFault::validation(format!("undefined name: {name}")))?
        } else {
            name
        };
        Ok(item.and_then(|item| item.get(name)))
    }

    fn value(&self, name: &str) -> Result<&Value, ApiFault> {
        let found = self.values.and_then(|values| values.get(name));
        found.ok_or_else(|| ApiFault::validation(format!("undefined value: {name}")))
    }
}

fn argument_of<'t>(term: &'t str, function: &str) -> Option<&'t str> {
    let rest = term.strip_prefix(function)?;
    Some(rest.trim().strip_prefix('(')?.strip_suffix(')')?.trim())
}

fn compare(found: &Value, operator: &str, wanted: &Value) -> bool {
    let Some(ordering) = order(found, wanted) else {
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

/// Orders two attribute values; values of different types have no order.
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
