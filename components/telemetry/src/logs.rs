use std::fmt::Write;
use std::time::SystemTime;

use anyhow::Context;
use log::kv::{Key, Value, VisitSource, VisitValue};

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

/// A value of a record in JSON: numbers, truths and nothing stay what they are, all else is text.
struct Json(serde_json::Value);

impl VisitValue<'_> for Json {
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

struct Pairs(Vec<(String, serde_json::Value)>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let mut json = Json(serde_json::Value::Null);
        value.visit(&mut json)?;
        self.0.push((key.to_string(), json.0));
        Ok(())
    }
}

fn render(form: Form, message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let mut pairs = Pairs(vec![
        ("at_ms".to_string(), (since.as_millis() as u64).into()),
        ("level".to_string(), record.level().to_string().to_lowercase().into()),
        ("target".to_string(), record.target().into()),
        ("msg".to_string(), message.to_string().into()),
    ]);
    let _ = record.key_values().visit(&mut pairs);
    match form {
        Form::Json => {
            let mut line = String::from("{");
            for (index, (key, value)) in pairs.0.iter().enumerate() {
                let gap = if index == 0 { "" } else { "," };
                let _ = write!(line, "{gap}{}:{value}", serde_json::Value::from(key.as_str()));
            }
            line.push('}');
            line
        }
        Form::Text => {
            let mut line = String::new();
            for (key, value) in &pairs.0 {
                let gap = if line.is_empty() { "" } else { " " };
                let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
                if text.contains([' ', '"', '=', '\n']) {
                    let _ = write!(line, "{gap}{key}={text:?}");
                } else {
                    let _ = write!(line, "{gap}{key}={text}");
                }
            }
            line
        }
    }
}
