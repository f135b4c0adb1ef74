//! The rates of engines in reports and summaries, beside peers that don't know them.

use wire::gossip::{Rate, Report, Summary};

/// Nothing is added to messages without rates, and rows without samples have two numbers: hundreds of nodes report several
/// times a second.
#[test]
fn absent_rates_take_no_bytes() {
    let plain = [Report::default().encode(), Summary::default().encode()];
    let holds = |bytes: &[u8], field: u8| bytes.windows(2).any(|window| window == [0xa1_u8, field]);
    for bytes in &plain {
        assert!(!holds(bytes, b't') && !holds(bytes, b'h'));
    }
    let row = Rate { server: 7, hundreds: 100, samples: 0 };
    let one = Report { rates: vec![row], ..Report::default() }.encode();
    // The name of the field, and two arrays with two small numbers.
    assert_eq!(one.len(), plain[0].len() + 2 + 1 + 3);
}

/// Rows may have more or fewer numbers than this build sends.
#[test]
fn rows_of_other_builds_are_read() {
    for (row, expected) in [
        (vec![], Rate::default()),
        (vec![7, 220], Rate { server: 7, hundreds: 220, samples: 0 }),
        (vec![7, 220, 24, 9], Rate { server: 7, hundreds: 220, samples: 24 }),
    ] {
        assert_eq!(Rate::from(row), expected);
    }
    let rates = vec![Rate { server: u32::MAX, hundreds: 1, samples: 3 }];
    let summary = Summary { rates, rates_version: 9, ..Summary::default() };
    assert_eq!(Summary::decode(&summary.encode()).unwrap(), summary);
}
