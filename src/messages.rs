//! Prints tables as aligned columns on a terminal, as tab-separated lines in a pipe, or as JSON.

use std::io::{IsTerminal, Write, stdout};

use clap::ValueEnum;

const BOLD: &str = "\u{1b}[1m";
const RESET: &str = "\u{1b}[0m";

/// Form of what is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people; columns and colour only on a terminal.
    Text,
    /// For programs.
    Json,
}

/// A table with a header.
pub struct Table {
    header: &'static [&'static str],
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table without rows.
    pub fn new(header: &'static [&'static str]) -> Self {
        Table { header, rows: vec![] }
    }

    /// Adds a row with a cell for each column of the header.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Prints the table to standard output.
    pub fn print(&self, format: Format) -> anyhow::Result<()> {
        let text = match format {
            Format::Json => self.to_json()?,
            Format::Text if stdout().is_terminal() => self.to_columns(),
            Format::Text => self.to_lines(),
        };
        print_text(&text);
        Ok(())
    }

    /// Formats an array with an object for each row.
    fn to_json(&self) -> anyhow::Result<String> {
        let object = |row: &Vec<String>| {
            let pairs = self.header.iter().zip(row);
            let pairs = pairs.map(|(name, cell)| (name.to_string(), cell.clone().into()));
            serde_json::Value::Object(pairs.collect())
        };
        let rows: Vec<_> = self.rows.iter().map(object).collect();
        Ok(format!("{}\n", serde_json::to_string_pretty(&rows)?))
    }

    /// Formats the rows as tab-separated lines without the header.
    fn to_lines(&self) -> String {
        self.rows.iter().map(|row| format!("{}\n", row.join("\t"))).collect()
    }

    /// Formats aligned columns under a bold header.
    fn to_columns(&self) -> String {
        let width = |at: usize| {
            let cells = self.rows.iter().map(|row| row[at].chars().count());
            cells.max().unwrap_or(0).max(self.header[at].len())
        };
        let widths: Vec<_> = (0..self.header.len()).map(width).collect();
        let line = |cells: Vec<&str>| {
            let cells = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            cells.collect::<Vec<_>>().join("  ").trim_end().to_string()
        };
        let mut text = format!("{BOLD}{}{RESET}\n", line(self.header.to_vec()));
        for row in &self.rows {
            text.push_str(&line(row.iter().map(String::as_str).collect()));
            text.push('\n');
        }
        text
    }
}

/// Prints a text to standard output.
pub fn print_text(text: &str) {
    // A reader such as `head` may close the pipe early, so a failed write is no error.
    let _ = stdout().write_all(text.as_bytes());
}

/// Prints an error with its causes to standard error.
pub fn print_error(error: &anyhow::Error) {
    eprintln!("error: {error:#}");
}
