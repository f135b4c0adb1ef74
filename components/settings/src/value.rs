//! Defines the types of leaves, and parses and formats their values.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use toml::de::DeValue;

use crate::leaf::Kind;
use crate::unit;

/// Type of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    /// A whole number between the two bounds, both included.
    Count(u64, u64),
    /// A duration.
    Time,
    /// A size in bytes.
    Size,
    /// A rate in bytes per second.
    Rate,
    /// True or false.
    Flag,
    /// Any text.
    Text,
    /// One of the listed words.
    Word(&'static [&'static str]),
    /// IP number and port.
    Address,
    /// A path prefix that starts with a slash.
    Path,
    /// A SHA-256 digest in hexadecimal.
    Digest,
    /// A list of texts.
    Texts,
    /// Name of a branch of this kind.
    Ref(Kind),
    /// Names of branches of this kind.
    Refs(Kind),
}

/// Value of a leaf.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A whole number.
    Count(u64),
    /// A duration.
    Time(Duration),
    /// A size in bytes.
    Size(u64),
    /// A rate in bytes per second.
    Rate(u64),
    /// True or false.
    Flag(bool),
    /// A value of any type that a tree writes as a string and that has no variant of its own.
    Text(String),
    /// A list of texts.
    Texts(Vec<String>),
}

impl Type {
    /// Parses a value of a tree; returns `None` if it isn't of this type.
    pub(crate) fn parse(self, value: &DeValue<'_>) -> Option<Value> {
        match self {
            Type::Count(low, high) => {
                let number = value.as_integer()?;
                let count = u64::from_str_radix(number.as_str(), number.radix()).ok()?;
                (low..=high).contains(&count).then_some(Value::Count(count))
            }
            Type::Time => unit::parse_duration(value.as_str()?).map(Value::Time),
            Type::Size => unit::parse_size(value.as_str()?).map(Value::Size),
            Type::Rate => unit::parse_rate(value.as_str()?).map(Value::Rate),
            Type::Flag => value.as_bool().map(Value::Flag),
            Type::Texts | Type::Refs(_) => {
                let texts = value.as_array()?.iter().map(|item| item.get_ref().as_str());
                let texts = texts.map(|text| text.filter(|t| !t.is_empty()).map(str::to_string));
                texts.collect::<Option<Vec<_>>>().map(Value::Texts)
            }
            Type::Text
            | Type::Word(_)
            | Type::Address
            | Type::Path
            | Type::Digest
            | Type::Ref(_) => {
                let text = value.as_str()?;
                self.accepts(text).then(|| Value::Text(text.to_string()))
            }
        }
    }

    /// Returns whether a string is valid for this type.
    fn accepts(self, text: &str) -> bool {
        match self {
            Type::Word(words) => words.contains(&text),
            Type::Address => text.parse::<SocketAddr>().is_ok(),
            Type::Path => text.starts_with('/') && text.len() > 1,
            Type::Digest => text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit()),
            _ => !text.is_empty(),
        }
    }

    /// Parses a default from the table of leaves.
    pub(crate) fn parse_default(self, text: &str) -> Option<Value> {
        match self {
            Type::Time | Type::Size | Type::Rate => self.parse(&DeValue::String(text.into())),
            _ => self.parse(DeValue::parse(text).ok()?.get_ref()),
        }
    }

    /// Describes the allowed values, for error messages and `docs/SETTINGS.md`.
    pub fn describe(self) -> String {
        match self {
            Type::Count(low, high) if high == u64::from(u32::MAX) => {
                format!("a whole number from {low}")
            }
            Type::Count(low, high) => format!("a whole number from {low} to {high}"),
            Type::Time => "a duration such as \"870ms\" (us, ms, s, min, h)".to_string(),
            Type::Size => "a size such as \"1MiB\" (B, KB, KiB, MB, MiB, GB, GiB)".to_string(),
            Type::Rate => "a rate such as \"2KB/s\" (a size and /s)".to_string(),
            Type::Flag => "true or false".to_string(),
            Type::Text => "a text that isn't empty".to_string(),
            Type::Word(words) => {
                let quoted: Vec<_> = words.iter().map(|word| format!("{word:?}")).collect();
                format!("one of {}", quoted.join(", "))
            }
            Type::Address => "an IP number and port such as \"10.0.0.7:8000\"".to_string(),
            Type::Path => "a path prefix such as \"/desk\"".to_string(),
            Type::Digest => {
                "64 hexadecimal digits, as `godwitlever digest` prints them".to_string()
            }
            Type::Texts => "a list of texts such as [\"small\"]".to_string(),
            Type::Ref(kind) => format!("the name of a {kind} branch"),
            Type::Refs(kind) => format!("a list of names of {kind} branches"),
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Count(count) => write!(f, "{count}"),
            Value::Time(time) => f.write_str(&unit::format_duration(*time)),
            Value::Size(bytes) => f.write_str(&unit::format_size(*bytes)),
            Value::Rate(bytes) => write!(f, "{}/s", unit::format_size(*bytes)),
            Value::Flag(flag) => write!(f, "{flag}"),
            Value::Text(text) => f.write_str(text),
            Value::Texts(texts) => write!(f, "[{}]", texts.join(", ")),
        }
    }
}
