//! Parses and formats durations, sizes and rates in the notation of settings.

use std::time::Duration;

/// Units of time in nanoseconds, the smallest first.
const TIME_UNITS: [(&str, u64); 5] = [
    ("us", 1_000),
    ("ms", 1_000_000),
    ("s", 1_000_000_000),
    ("min", 60_000_000_000),
    ("h", 3_600_000_000_000),
];
/// Units of size in bytes, the smallest first.
const SIZE_UNITS: [(&str, u64); 7] = [
    ("B", 1),
    ("KB", 1_000),
    ("KiB", 1 << 10),
    ("MB", 1_000_000),
    ("MiB", 1 << 20),
    ("GB", 1_000_000_000),
    ("GiB", 1 << 30),
];

/// Parses a duration such as `870ms`; returns `None` for any other text.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(settings::unit::parse_duration("870ms"), Some(Duration::from_millis(870)));
/// assert_eq!(settings::unit::parse_duration("870"), None);
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    parse_scaled(text, &TIME_UNITS).map(Duration::from_nanos)
}

/// Parses a size in bytes such as `1MiB`; returns `None` for any other text.
///
/// ```
/// assert_eq!(settings::unit::parse_size("1MiB"), Some(1_048_576));
/// ```
pub fn parse_size(text: &str) -> Option<u64> {
    parse_scaled(text, &SIZE_UNITS)
}

/// Parses a rate in bytes per second such as `2KB/s`; returns `None` for any other text.
///
/// ```
/// assert_eq!(settings::unit::parse_rate("2KB/s"), Some(2_000));
/// ```
pub fn parse_rate(text: &str) -> Option<u64> {
    parse_size(text.strip_suffix("/s")?)
}

/// Formats a duration in the largest unit that gives a whole number, rounded down to microseconds.
pub fn format_duration(time: Duration) -> String {
    format_scaled(u64::try_from(time.as_nanos()).unwrap_or(u64::MAX), &TIME_UNITS, "us")
}

/// Formats a size in the largest unit that gives a whole number.
pub fn format_size(bytes: u64) -> String {
    format_scaled(bytes, &SIZE_UNITS, "B")
}

/// Parses a whole number followed by one of the units, and returns it in the base unit.
fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(split);
    let scale = units.iter().find(|(name, _)| *name == unit.trim_start())?.1;
    number.parse::<u64>().ok()?.checked_mul(scale)
}

/// Formats a value in the largest unit that gives a whole number.
fn format_scaled(value: u64, units: &[(&str, u64)], finest: &str) -> String {
    let whole = units.iter().filter(|(_, scale)| value >= *scale && value.is_multiple_of(*scale));
    match whole.max_by_key(|(_, scale)| *scale) {
        Some((unit, scale)) => format!("{}{unit}", value / scale),
        None => format!("{value}{finest}"),
    }
}
