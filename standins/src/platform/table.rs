//! Tables of the stand-in and the operations of the DynamoDB HTTP API on them.

use {
    super::condition::ConditionText,
    serde_json::{Map, Value, json},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        ops::Bound,
    },
};

/// Attributes of an item in the form of the API: name to `{"S": ..}` or `{"N": ..}`.
pub(super) type ItemMap = Map<String, Value>;

/// Most bytes of items that one Query answers before it hands out a continuation key.
const QUERY_PAGE_BYTES: usize = 1 << 20;

/// Most operations in one transaction.
const MAX_TRANSACTION_ITEMS: usize = 100;

/// Longest client request token in characters.
const MAX_TOKEN_CHARS: usize = 36;

/// Name of an item: table, partition key, sort key.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct ItemName {
    table: String,
    pk: String,
    sk: String,
}

/// An error answer of the table service.
#[derive(Clone, Debug)]
pub(super) struct ApiFault {
    kind: &'static str,
    message: String,
    fields: Map<String, Value>,
}

impl ApiFault {
    fn new(kind: &'static str, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            fields: Map::new(),
        }
    }

    /// The request is malformed or uses what the stand-in does not support.
    pub(super) fn validation(message: impl Into<String>) -> Self {
        Self::new("ValidationException", message)
    }

    /// The request exceeds the capacity of the table.
    pub(super) fn throttled() -> Self {
        Self::new(
            "ProvisionedThroughputExceededException",
            "The level of configured provisioned throughput for the table was exceeded.",
        )
    }

    /// Returns the error in the JSON form of the API.
    pub(super) fn to_json(&self) -> Value {
        let mut fields = self.fields.clone();
        let kind = format!("com.amazonaws.dynamodb.v20120810#{}", self.kind);
        fields.insert("__type".to_owned(), kind.into());
        fields.insert("message".to_owned(), self.message.clone().into());
        Value::Object(fields)
    }
}

/// One operation of a write request, checked and ready to be applied.
#[derive(Debug)]
struct PreparedWrite {
    name: ItemName,
    change: ItemChange,
    refusal: Option<WriteRefusal>,
}

/// What a write does to its item.
#[derive(Debug)]
enum ItemChange {
    Put(ItemMap),
    Delete,
    Check,
}

/// A condition that failed, with the present item if the request asked for it.
#[derive(Debug)]
struct WriteRefusal {
    present: Option<ItemMap>,
}

/// All items of all tables; tables come into being with their first item.
#[derive(Debug, Default)]
pub(super) struct TableArea {
    items: BTreeMap<ItemName, ItemMap>,
    tokens: HashMap<String, Value>,
}

impl TableArea {
    /// Executes one operation of the API.
    pub(super) fn execute(&mut self, operation: &str, body: &[u8]) -> Result<Value, ApiFault> {
        let request: Value = serde_json::from_slice(body)
            .map_err(|error| ApiFault::new("SerializationException", error.to_string()))?;
        match operation {
            "GetItem" => self.get_item(&request),
            "Query" => self.query(&request),
            "PutItem" => self.write_item(&request, "Put"),
            "DeleteItem" => self.write_item(&request, "Delete"),
            "TransactWriteItems" => self.transact(&request),
            _ => Err(ApiFault::new("UnknownOperationException", operation)),
        }
    }

    fn get_item(&self, request: &Value) -> Result<Value, ApiFault> {
        let name = item_name(request, object_field(request, "Key")?)?;
        Ok(match self.items.get(&name) {
            Some(item) => json!({ "Item": item }),
            None => json!({}),
        })
    }

    fn query(&self, request: &Value) -> Result<Value, ApiFault> {
        let condition = ConditionText::of(request, "KeyConditionExpression")
            .ok_or_else(|| ApiFault::validation("KeyConditionExpression is required"))?;
        let limit = request
            .get("Limit")
            .and_then(Value::as_u64)
            .unwrap_or(u64::MAX);
        let partition = ItemName {
            table: text_field(request, "TableName")?.to_owned(),
            pk: condition
                .required_text("pk")
                .ok_or_else(|| ApiFault::validation("a query must name its partition"))?
                .to_owned(),
            sk: String::new(),
        };
        let start = query_start(request, &partition)?;
        let mut found = Vec::new();
        let mut bytes = 0;
        for (name, item) in self.items.range((start, Bound::Unbounded)) {
            if (&name.table, &name.pk) != (&partition.table, &partition.pk) {
                break;
            }
            if !condition.holds(Some(item))? {
                continue;
            }
            bytes += Value::Object(item.clone()).to_string().len();
            found.push(item.clone());
            if found.len() as u64 >= limit || bytes >= QUERY_PAGE_BYTES {
                let key = key_of(name);
                return Ok(
                    json!({ "Items": found, "Count": found.len(), "LastEvaluatedKey": key }),
                );
            }
        }
        Ok(json!({ "Items": found, "Count": found.len() }))
    }

    fn write_item(&mut self, request: &Value, action: &str) -> Result<Value, ApiFault> {
        let write = self.prepare(request, action)?;
        if let Some(refusal) = write.refusal {
            let mut fault = ApiFault::new(
                "ConditionalCheckFailedException",
                "The conditional request failed",
            );
            if let Some(present) = refusal.present {
                fault.fields.insert("Item".to_owned(), present.into());
            }
            return Err(fault);
        }
        self.apply(write);
        Ok(json!({}))
    }

    fn transact(&mut self, request: &Value) -> Result<Value, ApiFault> {
        let token = transaction_token(request)?;
        if let Some(known) = token.and_then(|token| self.tokens.get(token)) {
            return repeated_answer(known, request);
        }
        let writes = self.prepare_all(request)?;
        if writes.iter().any(|write| write.refusal.is_some()) {
            return Err(cancelled(&writes));
        }
        for write in writes {
            self.apply(write);
        }
        if let Some(token) = token {
            self.tokens.insert(token.to_owned(), request.clone());
        }
        Ok(json!({}))
    }

    fn prepare_all(&self, request: &Value) -> Result<Vec<PreparedWrite>, ApiFault> {
        let operations = request
            .get("TransactItems")
            .and_then(Value::as_array)
            .filter(|operations| (1..=MAX_TRANSACTION_ITEMS).contains(&operations.len()))
            .ok_or_else(|| ApiFault::validation("TransactItems needs 1 to 100 members"))?;
        let mut names = HashSet::new();
        let mut writes = Vec::with_capacity(operations.len());
        for operation in operations {
            let (action, inner) = operation
                .as_object()
                .and_then(|members| members.iter().next())
                .ok_or_else(|| ApiFault::validation("empty member of TransactItems"))?;
            let write = self.prepare(inner, action)?;
            if !names.insert(write.name.clone()) {
                return Err(ApiFault::validation(
                    "Transaction request cannot include multiple operations on one item",
                ));
            }
            writes.push(write);
        }
        Ok(writes)
    }

    fn prepare(&self, request: &Value, action: &str) -> Result<PreparedWrite, ApiFault> {
        let (name, change) = match action {
            "Put" => {
                let item = object_field(request, "Item")?;
                (item_name(request, item)?, ItemChange::Put(item.clone()))
            }
            "Delete" => (
                item_name(request, object_field(request, "Key")?)?,
                ItemChange::Delete,
            ),
            "ConditionCheck" => (
                item_name(request, object_field(request, "Key")?)?,
                ItemChange::Check,
            ),
            _ => return Err(ApiFault::validation(format!("unsupported write: {action}"))),
        };
        let refusal = self.refusal(request, &name)?;
        Ok(PreparedWrite {
            name,
            change,
            refusal,
        })
    }

    fn refusal(&self, request: &Value, name: &ItemName) -> Result<Option<WriteRefusal>, ApiFault> {
        let present = self.items.get(name);
        let Some(condition) = ConditionText::of(request, "ConditionExpression") else {
            return Ok(None);
        };
        if condition.holds(present)? {
            return Ok(None);
        }
        let wants_item = request
            .get("ReturnValuesOnConditionCheckFailure")
            .and_then(Value::as_str)
            == Some("ALL_OLD");
        let present = present.filter(|_| wants_item).cloned();
        Ok(Some(WriteRefusal { present }))
    }

    fn apply(&mut self, write: PreparedWrite) {
        match write.change {
            ItemChange::Put(item) => {
                self.items.insert(write.name, item);
            }
            ItemChange::Delete => {
                self.items.remove(&write.name);
            }
            ItemChange::Check => {}
        }
    }
}

fn cancelled(writes: &[PreparedWrite]) -> ApiFault {
    let reasons: Vec<Value> = writes.iter().map(reason_of).collect();
    let mut fault = ApiFault::new(
        "TransactionCanceledException",
        "Transaction cancelled, please refer cancellation reasons for specific reasons",
    );
    fault
        .fields
        .insert("CancellationReasons".to_owned(), reasons.into());
    fault
}

fn reason_of(write: &PreparedWrite) -> Value {
    match &write.refusal {
        None => json!({ "Code": "None" }),
        Some(WriteRefusal { present: None }) => json!({
            "Code": "ConditionalCheckFailed",
            "Message": "The conditional request failed",
        }),
        Some(WriteRefusal {
            present: Some(item),
        }) => json!({
            "Code": "ConditionalCheckFailed",
            "Message": "The conditional request failed",
            "Item": item,
        }),
    }
}

fn transaction_token(request: &Value) -> Result<Option<&str>, ApiFault> {
    let token = request.get("ClientRequestToken").and_then(Value::as_str);
    if token.is_some_and(|token| token.len() > MAX_TOKEN_CHARS) {
        return Err(ApiFault::validation(
            "ClientRequestToken has more than 36 characters",
        ));
    }
    Ok(token)
}

fn repeated_answer(known: &Value, request: &Value) -> Result<Value, ApiFault> {
    if known == request {
        return Ok(json!({}));
    }
    Err(ApiFault::new(
        "IdempotentParameterMismatchException",
        "The request uses the same client token as a previous, but non-identical request.",
    ))
}

/// Returns where a query starts in the order of all items: at its partition, or after the
/// continuation key.
fn query_start(request: &Value, partition: &ItemName) -> Result<Bound<ItemName>, ApiFault> {
    match request.get("ExclusiveStartKey").and_then(Value::as_object) {
        Some(key) => Ok(Bound::Excluded(item_name(request, key)?)),
        None => Ok(Bound::Included(partition.clone())),
    }
}

fn item_name(request: &Value, attributes: &ItemMap) -> Result<ItemName, ApiFault> {
    Ok(ItemName {
        table: text_field(request, "TableName")?.to_owned(),
        pk: key_text(attributes, "pk")?,
        sk: key_text(attributes, "sk")?,
    })
}

fn key_of(name: &ItemName) -> Value {
    json!({ "pk": { "S": name.pk }, "sk": { "S": name.sk } })
}

fn key_text(attributes: &ItemMap, name: &str) -> Result<String, ApiFault> {
    attributes
        .get(name)
        .and_then(|value| value.get("S"))
        .and_then(Value::as_str)
        .filter(|text| !text.is_empty())
        .map(str::to_owned)
        .ok_or_else(|| ApiFault::validation(format!("key attribute {name} is missing or empty")))
}

fn text_field<'r>(request: &'r Value, name: &str) -> Result<&'r str, ApiFault> {
    request
        .get(name)
        .and_then(Value::as_str)
        .ok_or_else(|| ApiFault::validation(format!("{name} is required")))
}

fn object_field<'r>(request: &'r Value, name: &str) -> Result<&'r ItemMap, ApiFault> {
    request
        .get(name)
        .and_then(Value::as_object)
        .ok_or_else(|| ApiFault::validation(format!("{name} is required")))
}
