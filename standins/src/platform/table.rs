//! The table service: tables in memory and the operations of the DynamoDB HTTP API on them.

use {
    super::condition::Condition,
    serde_json::{Map, Value, json},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        ops::Bound,
    },
};

/// Attributes of an item as the API encodes them: name to `{"S": ..}` or `{"N": ..}`.
pub(super) type ItemMap = Map<String, Value>;

/// Size in bytes of the items in one Query page after which the response ends with a continuation key.
const QUERY_PAGE_BYTES: usize = 1 << 20;

/// Maximum number of operations in one transaction.
const MAX_TRANSACTION_ITEMS: usize = 100;

/// Maximum length of a client request token in characters.
const MAX_TOKEN_CHARS: usize = 36;

/// Full key of an item: table, partition key, sort key.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct ItemKey {
    table: String,
    pk: String,
    sk: String,
}

/// An error response of the table service.
#[derive(Clone, Debug)]
pub(super) struct TableError {
    code: &'static str,
    message: String,
    fields: Map<String, Value>,
}

impl TableError {
    fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            fields: Map::new(),
        }
    }

    /// The error for a request that is malformed or uses a feature that the stand-in does not support.
    pub(super) fn validation(message: impl Into<String>) -> Self {
        Self::new("ValidationException", message)
    }

    /// The error for a request that exceeds the provisioned capacity of the table.
    pub(super) fn throttled() -> Self {
        Self::new(
            "ProvisionedThroughputExceededException",
            "The level of configured provisioned throughput for the table was exceeded.",
        )
    }

    /// Returns the JSON body of the error response.
    pub(super) fn to_json(&self) -> Value {
        let mut fields = self.fields.clone();
        let kind = format!("com.amazonaws.dynamodb.v20120810#{}", self.code);
        fields.insert("__type".to_owned(), kind.into());
        fields.insert("message".to_owned(), self.message.clone().into());
        Value::Object(fields)
    }
}

/// One operation of a write request, parsed and with its condition evaluated.
#[derive(Debug)]
struct PreparedWrite {
    key: ItemKey,
    change: ItemChange,
    failed_condition: Option<FailedCondition>,
}

/// Change that a write makes to its item; `Check` only evaluates the condition.
#[derive(Debug)]
enum ItemChange {
    Put(ItemMap),
    Delete,
    Check,
}

/// A condition that failed, with the current item if the request asked for it.
#[derive(Debug)]
struct FailedCondition {
    current: Option<ItemMap>,
}

/// All items of all tables, and the transactions applied so far by client request token.
///
/// Tables need not be created: writing an item is enough.
#[derive(Debug, Default)]
pub(super) struct TableStore {
    items: BTreeMap<ItemKey, ItemMap>,
    tokens: HashMap<String, Value>,
}

impl TableStore {
    /// Executes one operation of the API.
    pub(super) fn execute(&mut self, operation: &str, body: &[u8]) -> Result<Value, TableError> {
        let request: Value = serde_json::from_slice(body)
            .map_err(|error| TableError::new("SerializationException", error.to_string()))?;
        match operation {
            "GetItem" => self.get_item(&request),
            "Query" => self.query(&request),
            "PutItem" => self.write_item(&request, "Put"),
            "DeleteItem" => self.write_item(&request, "Delete"),
            "TransactWriteItems" => self.transact(&request),
            _ => Err(TableError::new("UnknownOperationException", operation)),
        }
    }

    fn get_item(&self, request: &Value) -> Result<Value, TableError> {
        let key = item_key(request, object_field(request, "Key")?)?;
        Ok(match self.items.get(&key) {
            Some(item) => json!({ "Item": item }),
            None => json!({}),
        })
    }

    fn query(&self, request: &Value) -> Result<Value, TableError> {
        let condition = Condition::from_request(request, "KeyConditionExpression")
            .ok_or_else(|| TableError::validation("KeyConditionExpression is required"))?;
        let limit = request
            .get("Limit")
            .and_then(Value::as_u64)
            .unwrap_or(u64::MAX);
        let partition = ItemKey {
            table: string_field(request, "TableName")?.to_owned(),
            pk: condition
                .required_string("pk")
                .ok_or_else(|| {
                    TableError::validation("KeyConditionExpression must require a value of pk")
                })?
                .to_owned(),
            sk: String::new(),
        };
        let start = query_start(request, &partition)?;
        let mut found = Vec::new();
        let mut bytes = 0;
        for (key, item) in self.items.range((start, Bound::Unbounded)) {
            if (&key.table, &key.pk) != (&partition.table, &partition.pk) {
                break;
            }
            if !condition.holds(Some(item))? {
                continue;
            }
            bytes += Value::Object(item.clone()).to_string().len();
            found.push(item.clone());
            if found.len() as u64 >= limit || bytes >= QUERY_PAGE_BYTES {
                let key = key_json(key);
                return Ok(
                    json!({ "Items": found, "Count": found.len(), "LastEvaluatedKey": key }),
                );
            }
        }
        Ok(json!({ "Items": found, "Count": found.len() }))
    }

    fn write_item(&mut self, request: &Value, action: &str) -> Result<Value, TableError> {
        let write = self.prepare(request, action)?;
        if let Some(failed_condition) = write.failed_condition {
            let mut error = TableError::new(
                "ConditionalCheckFailedException",
                "The conditional request failed",
            );
            if let Some(current) = failed_condition.current {
                error.fields.insert("Item".to_owned(), current.into());
            }
            return Err(error);
        }
        self.apply(write);
        Ok(json!({}))
    }

    fn transact(&mut self, request: &Value) -> Result<Value, TableError> {
        let token = transaction_token(request)?;
        if let Some(earlier) = token.and_then(|token| self.tokens.get(token)) {
            return repeated_transaction(earlier, request);
        }
        let writes = self.prepare_all(request)?;
        if writes.iter().any(|write| write.failed_condition.is_some()) {
            return Err(transaction_cancelled(&writes));
        }
        for write in writes {
            self.apply(write);
        }
        if let Some(token) = token {
            self.tokens.insert(token.to_owned(), request.clone());
        }
        Ok(json!({}))
    }

    fn prepare_all(&self, request: &Value) -> Result<Vec<PreparedWrite>, TableError> {
        let operations = request
            .get("TransactItems")
            .and_then(Value::as_array)
            .filter(|operations| (1..=MAX_TRANSACTION_ITEMS).contains(&operations.len()))
            .ok_or_else(|| TableError::validation("TransactItems needs 1 to 100 members"))?;
        let mut keys = HashSet::new();
        let mut writes = Vec::with_capacity(operations.len());
        for operation in operations {
            let (action, inner) = operation
                .as_object()
                .and_then(|members| members.iter().next())
                .ok_or_else(|| TableError::validation("a member of TransactItems is empty"))?;
            let write = self.prepare(inner, action)?;
            if !keys.insert(write.key.clone()) {
                return Err(TableError::validation(
                    "Transaction request cannot include multiple operations on one item",
                ));
            }
            writes.push(write);
        }
        Ok(writes)
    }

    fn prepare(&self, request: &Value, action: &str) -> Result<PreparedWrite, TableError> {
        let (key, change) = match action {
            "Put" => {
                let item = object_field(request, "Item")?;
                (item_key(request, item)?, ItemChange::Put(item.clone()))
            }
            "Delete" => (
                item_key(request, object_field(request, "Key")?)?,
                ItemChange::Delete,
            ),
            "ConditionCheck" => (
                item_key(request, object_field(request, "Key")?)?,
                ItemChange::Check,
            ),
            _ => {
                return Err(TableError::validation(format!(
                    "transaction operation not supported by the stand-in: {action}"
                )));
            }
        };
        let failed_condition = self.failed_condition(request, &key)?;
        Ok(PreparedWrite {
            key,
            change,
            failed_condition,
        })
    }

    fn failed_condition(
        &self,
        request: &Value,
        key: &ItemKey,
    ) -> Result<Option<FailedCondition>, TableError> {
        let current = self.items.get(key);
        let Some(condition) = Condition::from_request(request, "ConditionExpression") else {
            return Ok(None);
        };
        if condition.holds(current)? {
            return Ok(None);
        }
        let returns_item = request
            .get("ReturnValuesOnConditionCheckFailure")
            .and_then(Value::as_str)
            == Some("ALL_OLD");
        let current = current.filter(|_| returns_item).cloned();
        Ok(Some(FailedCondition { current }))
    }

    fn apply(&mut self, write: PreparedWrite) {
        match write.change {
            ItemChange::Put(item) => {
                self.items.insert(write.key, item);
            }
            ItemChange::Delete => {
                self.items.remove(&write.key);
            }
            ItemChange::Check => {}
        }
    }
}

fn transaction_cancelled(writes: &[PreparedWrite]) -> TableError {
    let reasons: Vec<Value> = writes.iter().map(cancellation_reason).collect();
    let mut error = TableError::new(
        "TransactionCanceledException",
        "Transaction cancelled, please refer cancellation reasons for specific reasons",
    );
    error
        .fields
        .insert("CancellationReasons".to_owned(), reasons.into());
    error
}

fn cancellation_reason(write: &PreparedWrite) -> Value {
    match &write.failed_condition {
        None => json!({ "Code": "None" }),
        Some(FailedCondition { current: None }) => json!({
            "Code": "ConditionalCheckFailed",
            "Message": "The conditional request failed",
        }),
        Some(FailedCondition {
            current: Some(item),
        }) => json!({
            "Code": "ConditionalCheckFailed",
            "Message": "The conditional request failed",
            "Item": item,
        }),
    }
}

fn transaction_token(request: &Value) -> Result<Option<&str>, TableError> {
    let token = request.get("ClientRequestToken").and_then(Value::as_str);
    if token.is_some_and(|token| token.len() > MAX_TOKEN_CHARS) {
        return Err(TableError::validation(
            "ClientRequestToken has more than 36 characters",
        ));
    }
    Ok(token)
}

fn repeated_transaction(earlier: &Value, request: &Value) -> Result<Value, TableError> {
    if earlier == request {
        return Ok(json!({}));
    }
    Err(TableError::new(
        "IdempotentParameterMismatchException",
        "The request uses the same client token as a previous, but non-identical request.",
    ))
}

/// Returns the lower bound of a query in the order of all items: the start of its partition, or the
/// continuation key, exclusive.
fn query_start(request: &Value, partition: &ItemKey) -> Result<Bound<ItemKey>, TableError> {
    match request.get("ExclusiveStartKey").and_then(Value::as_object) {
        Some(key) => Ok(Bound::Excluded(item_key(request, key)?)),
        None => Ok(Bound::Included(partition.clone())),
    }
}

fn item_key(request: &Value, attributes: &ItemMap) -> Result<ItemKey, TableError> {
    Ok(ItemKey {
        table: string_field(request, "TableName")?.to_owned(),
        pk: key_string(attributes, "pk")?,
        sk: key_string(attributes, "sk")?,
    })
}

fn key_json(key: &ItemKey) -> Value {
    json!({ "pk": { "S": key.pk }, "sk": { "S": key.sk } })
}

fn key_string(attributes: &ItemMap, name: &str) -> Result<String, TableError> {
    attributes
        .get(name)
        .and_then(|value| value.get("S"))
        .and_then(Value::as_str)
        .filter(|text| !text.is_empty())
        .map(str::to_owned)
        .ok_or_else(|| {
            TableError::validation(format!(
                "key attribute {name} is missing, empty or not a string"
            ))
        })
}

fn string_field<'r>(request: &'r Value, name: &str) -> Result<&'r str, TableError> {
    request
        .get(name)
        .and_then(Value::as_str)
        .ok_or_else(|| TableError::validation(format!("{name} is required")))
}

fn object_field<'r>(request: &'r Value, name: &str) -> Result<&'r ItemMap, TableError> {
    request
        .get(name)
        .and_then(Value::as_object)
        .ok_or_else(|| TableError::validation(format!("{name} is required")))
}
