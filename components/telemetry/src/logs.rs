//! Formats log records as text or JSON lines and passes them to the sink.

use std::fmt::Write;
use std::time::SystemTime;

use anyhow::Context;
use log::kv::{Key, Value, VisitSource, VisitValue};

use crate::sink::Sink;

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// `key=value` pairs separated by spaces.
    Text,
    /// One JSON object.
    Json,
}

/// Starts logging to standard output. Logging a record never blocks: lines beyond the rate limit or
/// the capacity of the writer's queue are dropped and counted.
///
/// # Errors
///
/// Fails if the writer thread can't be started, or if a logger was installed in this process before.
pub fn start_logging(format: Format, level: log::LevelFilter) -> anyhow::Result<()> {
    let format_line = move |out: fern::FormatCallback<'_>,
                            message: &std::fmt::Arguments<'_>,
                            record: &log::Record<'_>| {
        out.finish(format_args!("{}", render(format, message, record)));
    };
    let dispatch =
        fern::Dispatch::new().level(level).level_for("actix_http", log::LevelFilter::Warn);
    let sink = Sink::start().context("can't start the thread that writes the log")?;
    let write = move |record: &log::Record<'_>| sink.write_line(record.args().to_string());
    dispatch
        .format(format_line)
        .chain(fern::Output::call(write))
        .apply()
        .context("a logger is already installed in this process")
}

/// Converts a value of a record to JSON: numbers, booleans and null keep their type, any other value
/// becomes a string.
struct JsonValue(serde_json::Value);

impl VisitValue<'_> for JsonValue {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), log::kv::Error> {
        self.0 = value.to_string().into();
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), log::kv::Error> {
        self.0 = serde_json::Value::Null;
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), log::kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), log::kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), log::kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), log::kv::Error> {
        self.0 = value.into();
        Ok(())
    }
}

/// Collects the key-value pairs of a record in order.
struct Pairs(Vec<(String, serde_json::Value)>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let mut json = JsonValue(serde_json::Value::Null);
        value.visit(&mut json)?;
        self.0.push((key.to_string(), json.0));
        Ok(())
    }
}

fn render(format: Format, message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let mut pairs = Pairs(vec![
        ("at_ms".to_string(), (since_epoch.as_millis() as u64).into()),
        ("level".to_string(), record.level().to_string().to_lowercase().into()),
        ("target".to_string(), record.target().into()),
        ("msg".to_string(), message.to_string().into()),
    ]);
    let _ = record.key_values().visit(&mut pairs);
    match format {
        Format::Json => {
            let mut line = String::from("{");
            for (index, (key, value)) in pairs.0.iter().enumerate() {
                let separator = if index == 0 { "" } else { "," };
                let _ =
                    write!(line, "{separator}{}:{value}", serde_json::Value::from(key.as_str()));
            }
            line.push('}');
            line
        }
        Format::Text => {
            let mut line = String::new();
            for (key, value) in &pairs.0 {
                let separator = if line.is_empty() { "" } else { " " };
                let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
                if text.contains([' ', '"', '=', '\n']) {
                    let _ = write!(line, "{separator}{key}={text:?}");
                } else {
                    let _ = write!(line, "{separator}{key}={text}");
                }
            }
            line
        }
    }
}
