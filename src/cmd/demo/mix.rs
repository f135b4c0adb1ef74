//! Defines the classes of the demo, and draws calls from them at random.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Kind of a class's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A completion that is answered in one response.
    Complete,
    /// A completion that is answered as a stream.
    Streamed,
    /// A call of a plain service that must not run twice.
    Charge,
}

/// A class of the demo.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub kind: Kind,
    /// Share of all calls, in percent.
    pub percent: u32,
    /// Time after which the answer is useless to its caller; the `deadline` of its tier in
    /// [`CLASS_SETTINGS`].
    pub deadline: Duration,
}

const TOP_DEADLINE: Duration = Duration::from_secs(5);
const BULK_DEADLINE: Duration = Duration::from_secs(15);

/// The classes, which cover every kind of call in a high tier and completions in a low one.
pub const CLASSES: [Class; 5] = [
    Class { name: "booking", kind: Kind::Complete, percent: 20, deadline: TOP_DEADLINE },
    Class { name: "lookup", kind: Kind::Streamed, percent: 20, deadline: TOP_DEADLINE },
    Class { name: "charge", kind: Kind::Charge, percent: 10, deadline: TOP_DEADLINE },
    Class { name: "draft", kind: Kind::Complete, percent: 25, deadline: BULK_DEADLINE },
    Class { name: "summary", kind: Kind::Streamed, percent: 25, deadline: BULK_DEADLINE },
];

/// Settings of the classes, as an operator would write them.
pub const CLASS_SETTINGS: &str = r#"
[region.riga]
[domain.riga-a]
region = "riga"
[tier.top]
rank = 0
first_token = "870ms"
deadline = "5s"
[tier.bulk]
rank = 2
first_token = "5s"
deadline = "15s"
queue = 30
[class.booking]
tier = "top"
[class.lookup]
tier = "top"
[class.charge]
tier = "top"
idempotent = false
[class.draft]
tier = "bulk"
[class.summary]
tier = "bulk"
[workspace.demo]
class = "booking"
key_digest = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"
"#;

/// Lengths of answers in tokens; the routers don't know the length of an answer beforehand.
const ANSWER_TOKENS: std::ops::RangeInclusive<u32> = 4..=40;
/// Fixed, so that every run draws the same calls.
const SEED: u64 = 7;

/// Draws calls at random.
pub struct Mix(SmallRng);

impl Mix {
    pub fn new() -> Self {
        Mix(SmallRng::seed_from_u64(SEED))
    }

    /// Draws the next call; returns its class and the length of its answer in tokens.
    pub fn next_call(&mut self) -> (Class, u32) {
        let mut point = self.0.random_range(0..100);
        let tokens = self.0.random_range(ANSWER_TOKENS);
        for class in CLASSES {
            if point < class.percent {
                return (class, tokens);
            }
            point -= class.percent;
        }
        (CLASSES[0], tokens)
    }
}
