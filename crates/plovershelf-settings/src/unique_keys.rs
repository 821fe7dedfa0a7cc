//! JSON parser that rejects duplicate keys in an object. `serde_json` alone would silently keep the last value.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

/// Parses a document.
///
/// # Errors
/// Fails for text that is not JSON or has an object with a duplicate key; the error has line and column.
pub fn parse(text: &str) -> Result<Value, serde_json::Error> {
    serde_json::from_str::<UniqueKeys>(text).map(|document| document.0)
}

struct UniqueKeys(Value);

impl<'de> Deserialize<'de> for UniqueKeys {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(UniqueKeysVisitor).map(UniqueKeys)
    }
}

struct UniqueKeysVisitor;

impl<'de> Visitor<'de> for UniqueKeysVisitor {
    type Value = Value;

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut rows: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(row) = rows.next_element::<UniqueKeys>()? {
            list.push(row.0);
        }
        Ok(Value::Array(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some((key, value)) = fields.next_entry::<String, UniqueKeys>()? {
            if object.contains_key(&key) {
                return Err(A::Error::custom(format_args!("key {key:?} stands there twice")));
            }
            object.insert(key, value.0);
        }
        Ok(Value::Object(object))
    }
}
