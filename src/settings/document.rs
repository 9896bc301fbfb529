//! Reads YAML into a tree with places, so that all faults of a file are found in one pass.
//!
//! A derived deserializer stops at its first fault. Here each field is taken from the tree on its
//! own, and a field that can't be used leaves a [`Fault`] and lets the others be checked.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use serde::de::{DeserializeOwned, Deserializer, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, de};
use serde_json::Value as Json;
use serde_saphyr::{DuplicateKeyPolicy, Spanned};

use crate::types::{Fault, Span};

/// A value with its place in the file.
pub(crate) type Node = Spanned<Value>;

/// A YAML value; mappings keep their order and their repeated keys.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Scalar(Json),
    List(Vec<Node>),
    Map(Vec<(Spanned<String>, Node)>),
}

impl Value {
    fn describe(&self) -> String {
        match self {
            Self::Scalar(Json::Null) => "nothing".to_owned(),
            Self::Scalar(scalar) => scalar.to_string(),
            Self::List(_) => "a list".to_owned(),
            Self::Map(_) => "a mapping".to_owned(),
        }
    }

    fn to_json(&self) -> Json {
        match self {
            Self::Scalar(scalar) => scalar.clone(),
            Self::List(items) => items.iter().map(|item| item.value.to_json()).collect(),
            Self::Map(entries) => entries
                .iter()
                .map(|(key, node)| (key.value.clone(), node.value.to_json()))
                .collect(),
        }
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E: de::Error>(self) -> Result<Value, E> {
        Ok(Value::Scalar(Json::Null))
    }

    fn visit_bool<E: de::Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Scalar(value.into()))
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Scalar(value.into()))
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Scalar(value.into()))
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Scalar(value.into()))
    }

    fn visit_str<E: de::Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Scalar(value.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(Value::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut map = Vec::new();
        while let Some(entry) = entries.next_entry()? {
            map.push(entry);
        }
        Ok(Value::Map(map))
    }
}

/// Parses a file and collects what is wrong with it.
pub(crate) struct Document<'a> {
    file: &'a str,
    faults: Vec<Fault>,
}

impl<'a> Document<'a> {
    /// Parses the text; if it is no YAML, the tree is missing and the fault is noted.
    pub(crate) fn parse(file: &'a str, text: &str) -> (Self, Option<Node>) {
        let mut document = Self {
            file,
            faults: Vec::new(),
        };
        // A snippet would repeat lines of the file, and with them secrets.
        let options = serde_saphyr::options! {
            duplicate_keys: DuplicateKeyPolicy::PassThrough,
            with_snippet: false,
        };
        match serde_saphyr::from_str_with_options(text, options) {
            Ok(node) => (document, Some(node)),
            Err(error) => {
                let (line, column) = error.location().map_or((1, 1), |l| (l.line(), l.column()));
                document.push(line, column, format!("not valid YAML: {error}"));
                (document, None)
            }
        }
    }

    /// Notes a fault at the place of a value.
    pub(crate) fn refuse<T>(&mut self, place: &Spanned<T>, message: impl Into<String>) {
        let (line, column) = (place.referenced.line(), place.referenced.column());
        self.push(line, column, message.into());
    }

    fn push(&mut self, line: u64, column: u64, message: String) {
        self.faults.push(Fault {
            file: self.file.to_owned(),
            line,
            column,
            message,
        });
    }

    /// Gives all faults in the order of their places.
    pub(crate) fn into_faults(mut self) -> Vec<Fault> {
        self.faults.sort_by_key(|fault| (fault.line, fault.column));
        // A mapping that is opened twice tells its unknown fields twice.
        self.faults.dedup();
        self.faults
    }

    /// Takes the entries of a mapping whose keys are names; a repeated key is a fault.
    pub(crate) fn entries<'n>(&mut self, node: &'n Node, expected: &str) -> &'n [(Spanned<String>, Node)] {
        let Value::Map(entries) = &node.value else {
            self.refuse_value(node, expected);
            return &[];
        };
        let mut seen = BTreeSet::new();
        for (key, _) in entries {
            if !seen.insert(&key.value) {
                self.refuse(key, format!("{} is given twice", key.value));
            }
        }
        entries
    }

    /// Takes the items of a list.
    pub(crate) fn items<'n>(&mut self, node: &'n Node, expected: &str) -> &'n [Node] {
        if let Value::List(items) = &node.value {
            return items;
        }
        self.refuse_value(node, expected);
        &[]
    }

    /// Opens a mapping with known fields; others are faults.
    pub(crate) fn fields<'n>(&mut self, node: &'n Node, known: &[&str]) -> Fields<'n> {
        let expected = format!("a mapping with {}", known.join(", "));
        let entries = self.entries(node, &expected);
        for (key, _) in entries.iter().filter(|(key, _)| !known.contains(&key.value.as_str())) {
            self.refuse(
                key,
                format!("unknown field {}, expected one of {}", key.value, known.join(", ")),
            );
        }
        let usable = matches!(node.value, Value::Map(_));
        Fields { node, entries, usable }
    }

    /// Reads a value of a type that says itself what it expects.
    pub(crate) fn read<T: DeserializeOwned>(&mut self, node: &Node) -> Option<T> {
        match serde_json::from_value(node.value.to_json()) {
            Ok(value) => Some(value),
            Err(error) => {
                self.refuse(node, error.to_string());
                None
            }
        }
    }

    /// Reads a value; `expected` describes a type whose own errors don't.
    pub(crate) fn read_as<T: DeserializeOwned>(&mut self, node: &Node, expected: &str) -> Option<T> {
        let value = serde_json::from_value(node.value.to_json()).ok();
        if value.is_none() {
            self.refuse_value(node, expected);
        }
        value
    }

    /// Reads a name that stands as the key of a mapping.
    pub(crate) fn read_key<T: DeserializeOwned>(&mut self, key: &Spanned<String>) -> Option<T> {
        match serde_json::from_value(key.value.as_str().into()) {
            Ok(value) => Some(value),
            Err(error) => {
                self.refuse(key, error.to_string());
                None
            }
        }
    }

    fn refuse_value(&mut self, node: &Node, expected: &str) {
        self.refuse(node, format!("expected {expected}, found {}", node.value.describe()));
    }
}

/// The fields of a mapping.
pub(crate) struct Fields<'n> {
    node: &'n Node,
    entries: &'n [(Spanned<String>, Node)],
    /// The node is a mapping; if not, its missing fields are no further faults.
    usable: bool,
}

impl<'n> Fields<'n> {
    /// Finds a field that may be missing.
    pub(crate) fn find(&self, name: &str) -> Option<&'n Node> {
        let (_, node) = self.entries.iter().find(|(key, _)| key.value == name)?;
        Some(node)
    }

    /// Finds a field; its absence is a fault at the mapping's place.
    pub(crate) fn need(&self, document: &mut Document<'_>, name: &str) -> Option<&'n Node> {
        let found = self.find(name);
        if found.is_none() && self.usable {
            document.refuse(self.node, format!("field {name} is missing"));
        }
        found
    }

    /// Reads a field that must be there.
    pub(crate) fn read<T: DeserializeOwned>(&self, document: &mut Document<'_>, name: &str) -> Option<T> {
        let node = self.need(document, name)?;
        document.read(node)
    }

    /// Reads a field that has a default.
    pub(crate) fn read_or<T: DeserializeOwned>(&self, document: &mut Document<'_>, name: &str, default: T) -> T {
        let node = self.find(name);
        node.and_then(|node| document.read(node)).unwrap_or(default)
    }

    /// Reads a length of time above zero that has a default.
    pub(crate) fn read_span(&self, document: &mut Document<'_>, name: &str, default: Span) -> Span {
        let Some(node) = self.find(name) else {
            return default;
        };
        let span = document.read_as(node, "a length of time with its unit, like 250ms");
        if span.is_some_and(|span: Span| span.0.is_zero()) {
            document.refuse(node, "expected a time above zero");
        }
        span.unwrap_or(default)
    }

    /// Reads an address that must be there.
    pub(crate) fn read_address(&self, document: &mut Document<'_>, name: &str) -> Option<SocketAddr> {
        let node = self.need(document, name)?;
        document.read_as(node, "an address with a port, like 127.0.0.1:8080")
    }

    /// Notes a fault at a field, or at the mapping if the field has its default.
    pub(crate) fn refuse(&self, document: &mut Document<'_>, name: &str, message: impl Into<String>) {
        document.refuse(self.find(name).unwrap_or(self.node), message);
    }
}
