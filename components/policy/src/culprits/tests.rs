use std::time::{Duration, Instant};

use crate::quarantine::Quarantine;
use crate::suspect::{Crash, Subject};

const SECOND: Duration = Duration::from_secs(1);
const COMMON: u64 = 0xc0;
const BAD: u64 = 0xbad;

/// A quarantine, its time, and the number of crashes so far.
struct Table {
    quarantine: Quarantine,
    now: Instant,
    crashes: u32,
}

impl Table {
    fn new() -> Self {
        Table { quarantine: Quarantine::new(1), now: Instant::now(), crashes: 0 }
    }

    /// A server crashes while it runs requests with these parts, a second after the last event.
    fn crash(&mut self, prompts: &[&[u64]]) {
        self.now += SECOND;
        self.crashes += 1;
        let crash = Crash { instance: self.crashes, sent: self.now, at: self.now };
        for (index, prompt) in prompts.iter().enumerate() {
            let content = u64::from(self.crashes) << 32 | index as u64;
            let subject = Subject::new(content, prompt.iter().copied());
            self.quarantine.record_crash(&subject, crash, self.now);
        }
    }

    /// An answer to a prompt with these parts begins.
    fn begin(&mut self, prompt: &[u64]) {
        self.now += SECOND / 2;
        let subject = Subject::new(0, prompt.iter().copied());
        self.quarantine.record_beginning(&subject, self.now);
    }

    fn blocks(&self, prompt: &[u64]) -> bool {
        let subject = Subject::new(0, prompt.iter().copied());
        self.quarantine.blocked_for(&subject, self.now).is_some()
    }
}

/// Guards against blocking a part that was in two crashes, which may be chance.
#[test]
fn three_crashes_block_a_part() {
    let mut table = Table::new();
    for _ in 0..2 {
        table.crash(&[&[BAD]]);
    }
    assert!(!table.blocks(&[BAD]));
    table.crash(&[&[BAD]]);
    assert!(table.blocks(&[BAD]) && table.blocks(&[COMMON, BAD]) && !table.blocks(&[COMMON]));
}

/// Guards against blocking what each bad prompt begins with, which sound ones begin with too.
#[test]
fn a_part_that_always_comes_with_the_bad_one_is_not_blocked() {
    let mut table = Table::new();
    for _ in 0..3 {
        table.crash(&[&[COMMON, BAD]]);
    }
    assert!(table.blocks(&[COMMON, BAD]) && !table.blocks(&[COMMON]));
    table.begin(&[COMMON, 1]);
    assert!(table.blocks(&[2, BAD]), "the first part is cleared, so it is the other one");
}

/// Sound prompts with the same first part, and others, are cut by each crash. Guards against blocking these.
#[test]
fn prompts_that_are_cut_with_the_bad_one_are_not_blocked() {
    let mut table = Table::new();
    for crash in 0..3 {
        table.crash(&[&[COMMON, BAD], &[COMMON, 10 + crash], &[7, 8], &[20 + crash]]);
        table.begin(&[7, 8]);
    }
    assert!(table.blocks(&[COMMON, BAD]) && table.blocks(&[COMMON, BAD, 5]));
    assert!(!table.blocks(&[COMMON, 10]) && !table.blocks(&[COMMON]) && !table.blocks(&[7, 8]));
}

/// Guards against taking the second part for the cause for ever where it is the first one, because it was the same in
/// the first crashes.
#[test]
fn a_bad_first_part_is_found_by_the_fifth_crash() {
    let mut table = Table::new();
    for second in [1, 1, 1, 2, 3] {
        assert!(!table.blocks(&[BAD, 4]));
        table.crash(&[&[BAD, second], &[COMMON, 9]]);
        table.begin(&[COMMON, 9]);
    }
    assert!(table.blocks(&[BAD, 4]));
}

/// Guards against letting one of two bad parts go because the other explains some of its crashes.
#[test]
fn two_bad_parts_are_both_found() {
    let (mut table, other) = (Table::new(), 0xbad2);
    for _ in 0..3 {
        table.crash(&[&[COMMON, BAD]]);
        table.begin(&[COMMON, 1]);
        table.crash(&[&[COMMON, other]]);
        table.begin(&[COMMON, 1]);
    }
    assert!(table.blocks(&[COMMON, BAD]) && table.blocks(&[COMMON, other]));
    assert!(!table.blocks(&[COMMON, 1]));
}

/// Guards against a part that stays blocked although servers answer to it again.
#[test]
fn a_part_that_answers_begin_with_is_cleared() {
    let mut table = Table::new();
    for _ in 0..3 {
        table.crash(&[&[BAD]]);
    }
    table.begin(&[COMMON, BAD]);
    assert!(!table.blocks(&[BAD]));
    table.crash(&[&[BAD]]);
    assert!(!table.blocks(&[BAD]));
}

/// Guards against losing the bad part among thousands that were in one crash each.
#[test]
fn many_parts_do_not_displace_a_blocked_one() {
    let mut table = Table::new();
    for _ in 0..3 {
        table.crash(&[&[COMMON, BAD]]);
    }
    for part in 0..10_000_u64 {
        let crash = Crash { instance: 9, sent: table.now, at: table.now };
        let subject = Subject::new(1_000 + part, [0x10_0000 + part, 0x20_0000 + part]);
        table.quarantine.record_crash(&subject, crash, table.now);
    }
    assert!(table.blocks(&[COMMON, BAD]));
}

/// Sound prompts of a rare part were cut by three of many crashes. Guards against blocking that part because the first
/// crashes of the bad one are no longer known.
#[test]
fn a_rare_part_is_excused_by_a_bad_one_that_was_in_more_crashes() {
    let (mut table, rare) = (Table::new(), 0xa1);
    for crash in 0..12 {
        let sound = if crash < 3 { rare } else { 0xb0 + crash };
        table.crash(&[&[COMMON, BAD], &[COMMON, sound]]);
        table.begin(&[COMMON, 1]);
    }
    assert!(table.blocks(&[COMMON, BAD]));
    assert!(!table.blocks(&[COMMON, rare]));
}
