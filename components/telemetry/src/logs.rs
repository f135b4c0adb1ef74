use std::fmt::Write;

use anyhow::Context;
use log::kv::{Key, Value, VisitSource};

use crate::sink::Sink;

/// Form of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `key=value` pairs.
    Text,
    /// A JSON object.
    Json,
}

/// Starts logging to standard output; a process does this once. Logging never waits: lines beyond a
/// bound are left out and counted.
pub fn start(form: Form, level: log::LevelFilter) -> anyhow::Result<()> {
    let line = move |out: fern::FormatCallback<'_>,
                     message: &std::fmt::Arguments<'_>,
                     record: &log::Record<'_>| {
        out.finish(format_args!("{}", render(form, message, record)));
    };
    let dispatch =
        fern::Dispatch::new().level(level).level_for("actix_http", log::LevelFilter::Warn);
    let sink = Sink::start().context("can't start the thread that writes the log")?;
    let write = move |record: &log::Record<'_>| sink.line(record.args().to_string());
    dispatch
        .format(line)
        .chain(fern::Output::call(write))
        .apply()
        .context("the log was started before")
}

struct Pairs(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

fn render(form: Form, message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut pairs = Pairs(vec![
        ("level".to_string(), record.level().to_string().to_lowercase()),
        ("target".to_string(), record.target().to_string()),
        ("msg".to_string(), message.to_string()),
    ]);
    let _ = record.key_values().visit(&mut pairs);
    match form {
        Form::Json => {
            let mut line = String::from("{");
            for (index, (key, value)) in pairs.0.iter().enumerate() {
                let gap = if index == 0 { "" } else { "," };
                let _ = write!(line, "{gap}{}:{}", quoted(key), quoted(value));
            }
            line.push('}');
            line
        }
        Form::Text => {
            let mut line = String::new();
            for (key, value) in &pairs.0 {
                let gap = if line.is_empty() { "" } else { " " };
                if value.contains([' ', '"', '=', '\n']) {
                    let _ = write!(line, "{gap}{key}={value:?}");
                } else {
                    let _ = write!(line, "{gap}{key}={value}");
                }
            }
            line
        }
    }
}

fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
