//! Averages this node's demand by class, which it reports to its peers.
//!
//! Load pattern: overload on all nodes alike. The number of waiting requests varies from one moment
//! to the next. Reported unsmoothed, it makes peers pass slots to each other for demand that is gone
//! by the time they arrive, and a slot that moves to another node stays unused by it until the previous
//! owner's last answer in it has ended.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::terms::Demand;

/// Time constant of the averages: about the duration of a stream, which is how long a slot takes to
/// move to another node.
const AVERAGING_SECONDS: f64 = 5.0;

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    waiting: f64,
    sent: f64,
}

/// Exponential moving averages of the waiting and in-flight requests, by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Averages {
    classes: SecondaryMap<ids::Class, Average>,
}

impl Averages {
    /// Adds a sample taken `elapsed` after the previous one: the number of waiting requests of each
    /// class, and the class of each request in flight.
    pub(crate) fn add_sample(
        &mut self,
        waiting: impl Iterator<Item = (ids::Class, usize)>,
        sent: impl Iterator<Item = ids::Class>,
        elapsed: Duration,
    ) {
        let keep = (-elapsed.as_secs_f64() / AVERAGING_SECONDS).exp();
        for average in self.classes.values_mut() {
            average.waiting *= keep;
            average.sent *= keep;
        }
        for (class, count) in waiting {
            if let Some(entry) = self.classes.entry(class) {
                entry.or_default().waiting += count as f64 * (1.0 - keep);
            }
        }
        for class in sent {
            if let Some(entry) = self.classes.entry(class) {
                entry.or_default().sent += 1.0 - keep;
            }
        }
    }

    /// The averages rounded to whole requests; classes that round to none are omitted.
    pub(crate) fn demand(&self) -> Vec<Demand> {
        let rounded = |class, average: &Average| {
            let (waiting, sent) = (average.waiting.round() as u32, average.sent.round() as u32);
            Demand { class, waiting, sent }
        };
        let all = self.classes.iter().map(|(class, average)| rounded(class, average));
        all.filter(|demand| demand.waiting + demand.sent > 0).collect()
    }

    pub(crate) fn remove_class(&mut self, class: ids::Class) {
        self.classes.remove(class);
    }
}
