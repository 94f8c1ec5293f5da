//! Items, conditions and writes in the form of the table service's API.

use {
    super::{ItemCondition, ItemKey, TableItem, TableWrite},
    aws_sdk_dynamodb::{
        Client,
        error::BuildError,
        operation::{
            delete_item::DeleteItemError, put_item::PutItemError,
            query::builders::QueryFluentBuilder,
        },
        types::{
            AttributeValue, ConditionCheck, Delete, Put,
            ReturnValuesOnConditionCheckFailure::AllOld, TransactWriteItem,
        },
    },
    std::collections::HashMap,
};

/// Attributes of an item by name.
pub(super) type AttributeMap = HashMap<String, AttributeValue>;

/// A condition in the form of the API. Names are aliased, since `owner` is a reserved word.
#[derive(Debug)]
pub(super) struct ConditionParts {
    pub(super) expression: &'static str,
    pub(super) names: HashMap<String, String>,
    pub(super) values: Option<AttributeMap>,
}

impl ConditionParts {
    fn new(expression: &'static str, names: &[&str]) -> Self {
        let names = names
            .iter()
            .map(|name| (format!("#{name}"), (*name).to_owned()));
        Self {
            expression,
            names: names.collect(),
            values: None,
        }
    }

    fn with_value(mut self, name: &str, value: AttributeValue) -> Self {
        let values = self.values.get_or_insert_default();
        values.insert(format!(":{name}"), value);
        self
    }
}

pub(super) fn encode_condition(condition: &ItemCondition) -> ConditionParts {
    match condition {
        ItemCondition::Absent => ConditionParts::new("attribute_not_exists(#pk)", &["pk"]),
        ItemCondition::Revision(revision) => {
            ConditionParts::new("#revision = :revision", &["revision"])
                .with_value("revision", number(*revision))
        }
        ItemCondition::Owner(owner) => {
            ConditionParts::new("#owner = :owner", &["owner"]).with_value("owner", text(owner))
        }
        ItemCondition::Owned { revision, owner } => ConditionParts::new(
            "#revision = :revision AND #owner = :owner",
            &["revision", "owner"],
        )
        .with_value("revision", number(*revision))
        .with_value("owner", text(owner)),
    }
}

pub(super) fn encode_key(key: &ItemKey) -> AttributeMap {
    HashMap::from([
        ("pk".to_owned(), text(&key.pk)),
        ("sk".to_owned(), text(&key.sk)),
    ])
}

pub(super) fn encode_item(item: &TableItem) -> AttributeMap {
    let mut attributes = encode_key(&item.key);
    attributes.insert("revision".to_owned(), number(item.revision));
    attributes.insert("owner".to_owned(), text(&item.owner));
    attributes.insert("body".to_owned(), text(&item.body));
    if let Some(expires_at) = item.expires_at {
        attributes.insert("expires_at".to_owned(), number(expires_at));
    }
    attributes
}

/// Returns the item with these attributes, or what is wrong with them.
pub(super) fn decode_item(attributes: &AttributeMap) -> Result<TableItem, String> {
    let expires_at = match attributes.get("expires_at") {
        Some(_) => Some(number_of(attributes, "expires_at")?),
        None => None,
    };
    Ok(TableItem {
        key: ItemKey::new(text_of(attributes, "pk")?, text_of(attributes, "sk")?),
        revision: number_of(attributes, "revision")?,
        owner: text_of(attributes, "owner")?,
        body: text_of(attributes, "body")?,
        expires_at,
    })
}

pub(super) fn encode_write(
    write: &TableWrite,
    table: &str,
) -> Result<TransactWriteItem, BuildError> {
    let operation = TransactWriteItem::builder();
    let operation = match write {
        TableWrite::Put { item, expect } => operation.put(encode_put(item, expect, table)?),
        TableWrite::Delete { key, expect } => operation.delete(encode_delete(key, expect, table)?),
        TableWrite::Check { key, expect } => {
            operation.condition_check(encode_check(key, expect, table)?)
        }
    };
    Ok(operation.build())
}

fn encode_put(item: &TableItem, expect: &ItemCondition, table: &str) -> Result<Put, BuildError> {
    let condition = encode_condition(expect);
    Put::builder()
        .table_name(table)
        .set_item(Some(encode_item(item)))
        .condition_expression(condition.expression)
        .set_expression_attribute_names(Some(condition.names))
        .set_expression_attribute_values(condition.values)
        .return_values_on_condition_check_failure(AllOld)
        .build()
}

fn encode_delete(key: &ItemKey, expect: &ItemCondition, table: &str) -> Result<Delete, BuildError> {
    let condition = encode_condition(expect);
    Delete::builder()
        .table_name(table)
        .set_key(Some(encode_key(key)))
        .condition_expression(condition.expression)
        .set_expression_attribute_names(Some(condition.names))
        .set_expression_attribute_values(condition.values)
        .return_values_on_condition_check_failure(AllOld)
        .build()
}

fn encode_check(
    key: &ItemKey,
    expect: &ItemCondition,
    table: &str,
) -> Result<ConditionCheck, BuildError> {
    let condition = encode_condition(expect);
    ConditionCheck::builder()
        .table_name(table)
        .set_key(Some(encode_key(key)))
        .condition_expression(condition.expression)
        .set_expression_attribute_names(Some(condition.names))
        .set_expression_attribute_values(condition.values)
        .return_values_on_condition_check_failure(AllOld)
        .build()
}

/// Returns a consistent query of a partition in order of the sort key, beginning with `from_sk`.
pub(super) fn query(client: &Client, pk: &str, from_sk: &str) -> QueryFluentBuilder {
    let query = client
        .query()
        .consistent_read(true)
        .expression_attribute_names("#pk", "pk")
        .expression_attribute_values(":pk", text(pk));
    if from_sk.is_empty() {
        // The service accepts no empty value for a key attribute.
        return query.key_condition_expression("#pk = :pk");
    }
    query
        .key_condition_expression("#pk = :pk AND #sk >= :sk")
        .expression_attribute_names("#sk", "sk")
        .expression_attribute_values(":sk", text(from_sk))
}

/// Returns the present item if a put was refused because of its condition.
pub(super) fn failed_put(error: &PutItemError) -> Option<Option<&AttributeMap>> {
    match error {
        PutItemError::ConditionalCheckFailedException(refusal) => Some(refusal.item()),
        _ => None,
    }
}

/// Returns the present item if a deletion was refused because of its condition.
pub(super) fn failed_delete(error: &DeleteItemError) -> Option<Option<&AttributeMap>> {
    match error {
        DeleteItemError::ConditionalCheckFailedException(refusal) => Some(refusal.item()),
        _ => None,
    }
}

fn text(value: &str) -> AttributeValue {
    AttributeValue::S(value.to_owned())
}

fn number(value: u64) -> AttributeValue {
    AttributeValue::N(value.to_string())
}

fn text_of(attributes: &AttributeMap, name: &str) -> Result<String, String> {
    match attributes.get(name) {
        Some(AttributeValue::S(value)) => Ok(value.clone()),
        other => Err(format!("attribute {name} is {other:?}, expected a string")),
    }
}

fn number_of(attributes: &AttributeMap, name: &str) -> Result<u64, String> {
    let value = attributes.get(name);
    let parsed = match value {
        Some(AttributeValue::N(text)) => text.parse().ok(),
        _ => None,
    };
    parsed.ok_or_else(|| format!("attribute {name} is {value:?}, expected a whole number"))
}
