//! Ends a soak that stands still, and says what it was at.

use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest time of a seed: its faults, a node that takes all its grace to end, and each node's recovery with a
/// last request that waits for all its patience.
const LIMIT: Duration = Duration::from_secs(120);

/// What a seed is at. A thread of its own watches it, as one that stands still may block all others.
pub struct Watch {
    phase: Arc<Mutex<&'static str>>,
    /// Closing it ends the thread.
    _over: Sender<()>,
}

impl Watch {
    /// Starts to watch a seed; its end is the end of the watch.
    pub fn start(seed: u64) -> Self {
        let phase = Arc::new(Mutex::new("starting"));
        let (_over, ends) = channel();
        let at = phase.clone();
        std::thread::spawn(move || {
            if ends.recv_timeout(LIMIT) == Err(RecvTimeoutError::Timeout) {
                let phase = at.lock().map_or("in a panic", |phase| *phase);
                eprintln!("seed {seed} stood still for {LIMIT:?}, {phase}");
                std::process::abort();
            }
        });
        Watch { phase, _over }
    }

    /// Notes what the seed is at now.
    pub fn at(&self, phase: &'static str) {
        *self.phase.lock().expect("the watching thread doesn't panic") = phase;
    }
}
