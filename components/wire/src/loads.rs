//! What nodes tell each other of the prompts that engines have still to read.

use serde::{Deserialize, Serialize};

derives::data! {
    /// A node tells another one, of itself and of those that it speaks for.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Told {
        /// Name of the node.
        #[serde(rename = "f")]
        pub from: String,
        /// What is known of engines.
        #[serde(rename = "l", default)]
        pub loads: Vec<Load>,
        /// Parts of prompts that engines were seen to keep of late: the key of the engine's name, and the
        /// part.
        #[serde(rename = "p", default)]
        pub parts: Vec<(u32, u64)>,
    }

    /// What all nodes but the one that asked have at engines, as far as heard.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Heard {
        /// Time to let pass before the next call, in milliseconds.
        #[serde(rename = "w")]
        pub pause_ms: u32,
        /// What is known of engines.
        #[serde(rename = "l", default)]
        pub loads: Vec<Load>,
        /// Parts of prompts that engines were seen to keep of late.
        #[serde(rename = "p", default)]
        pub parts: Vec<(u32, u64)>,
    }

    /// Prompts at one engine. An array on the wire, as there are many of them.
    #[derive(Default, Eq, Serialize, Deserialize)]
    #[serde(from = "Row", into = "Row")]
    pub struct Load {
        /// Key of the engine's name, as by [`crate::key`].
        pub server: u32,
        /// Milliseconds that prompts take to read, by rank of urgency; what is left out is nothing.
        pub reading_ms: Vec<u32>,
        /// Milliseconds by which one of them waits for longer than is usual.
        pub overdue_ms: u32,
    }
}

type Row = (u32, Vec<u32>, u32);

impl From<Row> for Load {
    fn from((server, reading_ms, overdue_ms): Row) -> Self {
        Load { server, reading_ms, overdue_ms }
    }
}

impl From<Load> for Row {
    fn from(load: Load) -> Self {
        (load.server, load.reading_ms, load.overdue_ms)
    }
}

impl Load {
    /// Adds what other nodes have at the same engine.
    ///
    /// ```
    /// use wire::loads::Load;
    ///
    /// let mut load = Load { server: 7, reading_ms: vec![5], overdue_ms: 40 };
    /// load.add(&Load { server: 7, reading_ms: vec![1, 2], overdue_ms: 30 });
    /// assert_eq!(load, Load { server: 7, reading_ms: vec![6, 2], overdue_ms: 40 });
    /// ```
    pub fn add(&mut self, other: &Load) {
        if self.reading_ms.len() < other.reading_ms.len() {
            self.reading_ms.resize(other.reading_ms.len(), 0);
        }
        for (held, more) in self.reading_ms.iter_mut().zip(&other.reading_ms) {
            *held = held.saturating_add(*more);
        }
        self.overdue_ms = self.overdue_ms.max(other.overdue_ms);
    }
}

messages!(Told, Heard);
