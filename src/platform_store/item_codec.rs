//! Conversion of items, conditions and writes to and from the types of the table service's API.

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

/// Attributes of an item, keyed by attribute name.
pub(super) type AttributeMap = HashMap<String, AttributeValue>;

/// Condition expression with its placeholders. Attribute names are aliased (`#owner`), since `owner` is a
/// reserved word of the table service.
#[derive(Debug)]
pub(super) struct ConditionExpression {
    pub(super) expression: &'static str,
    pub(super) names: HashMap<String, String>,
    pub(super) values: Option<AttributeMap>,
}

impl ConditionExpression {
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

pub(super) fn encode_condition(condition: &ItemCondition) -> ConditionExpression {
    match condition {
        ItemCondition::Absent => ConditionExpression::new("attribute_not_exists(#pk)", &["pk"]),
        ItemCondition::Revision(revision) => {
            ConditionExpression::new("#revision = :revision", &["revision"])
                .with_value("revision", number_value(*revision))
        }
        ItemCondition::Owner(owner) => ConditionExpression::new("#owner = :owner", &["owner"])
            .with_value("owner", string_value(owner)),
        ItemCondition::Owned { revision, owner } => ConditionExpression::new(
            "#revision = :revision AND #owner = :owner",
            &["revision", "owner"],
        )
        .with_value("revision", number_value(*revision))
        .with_value("owner", string_value(owner)),
    }
}

pub(super) fn encode_key(key: &ItemKey) -> AttributeMap {
    HashMap::from([
        ("pk".to_owned(), string_value(&key.pk)),
        ("sk".to_owned(), string_value(&key.sk)),
    ])
}

pub(super) fn encode_item(item: &TableItem) -> AttributeMap {
    let mut attributes = encode_key(&item.key);
    attributes.insert("revision".to_owned(), number_value(item.revision));
    attributes.insert("owner".to_owned(), string_value(&item.owner));
    attributes.insert("body".to_owned(), string_value(&item.body));
    if let Some(expires_at) = item.expires_at {
        attributes.insert("expires_at".to_owned(), number_value(expires_at));
    }
    attributes
}

/// Decodes an item; the error describes the first attribute that is missing or has the wrong type.
pub(super) fn decode_item(attributes: &AttributeMap) -> Result<TableItem, String> {
    let expires_at = match attributes.get("expires_at") {
        Some(_) => Some(number_attribute(attributes, "expires_at")?),
        None => None,
    };
    Ok(TableItem {
        key: ItemKey::new(
            string_attribute(attributes, "pk")?,
            string_attribute(attributes, "sk")?,
        ),
        revision: number_attribute(attributes, "revision")?,
        owner: string_attribute(attributes, "owner")?,
        body: string_attribute(attributes, "body")?,
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

/// Returns a strongly consistent query of a partition in ascending order of the sort key, starting at
/// `from_sk`, or at the beginning of the partition if `from_sk` is empty.
pub(super) fn partition_query(client: &Client, pk: &str, from_sk: &str) -> QueryFluentBuilder {
    let query = client
        .query()
        .consistent_read(true)
        .expression_attribute_names("#pk", "pk")
        .expression_attribute_values(":pk", string_value(pk));
    if from_sk.is_empty() {
        // The service rejects an empty value for a key attribute.
        return query.key_condition_expression("#pk = :pk");
    }
    query
        .key_condition_expression("#pk = :pk AND #sk >= :sk")
        .expression_attribute_names("#sk", "sk")
        .expression_attribute_values(":sk", string_value(from_sk))
}

/// Returns the stored item, if there is one, when the error is a failed condition of a put; the outer
/// option is none for every other error.
pub(super) fn put_condition_failure(error: &PutItemError) -> Option<Option<&AttributeMap>> {
    match error {
        PutItemError::ConditionalCheckFailedException(failure) => Some(failure.item()),
        _ => None,
    }
}

/// Returns the stored item, if there is one, when the error is a failed condition of a deletion; the outer
/// option is none for every other error.
pub(super) fn delete_condition_failure(error: &DeleteItemError) -> Option<Option<&AttributeMap>> {
    match error {
        DeleteItemError::ConditionalCheckFailedException(failure) => Some(failure.item()),
        _ => None,
    }
}

fn string_value(value: &str) -> AttributeValue {
    AttributeValue::S(value.to_owned())
}

fn number_value(value: u64) -> AttributeValue {
    AttributeValue::N(value.to_string())
}

fn string_attribute(attributes: &AttributeMap, name: &str) -> Result<String, String> {
    match attributes.get(name) {
        Some(AttributeValue::S(value)) => Ok(value.clone()),
        other => Err(format!("attribute {name} is {other:?}, expected a string")),
    }
}

fn number_attribute(attributes: &AttributeMap, name: &str) -> Result<u64, String> {
    let value = attributes.get(name);
    let parsed = match value {
        Some(AttributeValue::N(text)) => text.parse().ok(),
        _ => None,
    };
    parsed.ok_or_else(|| format!("attribute {name} is {value:?}, expected an unsigned integer"))
}
