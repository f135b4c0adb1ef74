//! Abstracts over the clock, so that tests control the time.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic time and of the time of day.
pub trait Clock {
    /// Monotonic time.
    fn now(&self) -> Instant;
    /// Time of day.
    fn wall(&self) -> SystemTime;
    /// Time since a fixed point, including the time while the VM is suspended. Monotonic time stands still
    /// during a suspension, so a process that resumes can't tell by it that time has passed.
    fn boot_time(&self) -> Duration;
}

thread_local! {
    /// Both times when the first clock of the thread was created.
    static FIRST_READING: OnceCell<(Instant, SystemTime)> = const { OnceCell::new() };
}

/// The clock of the Tokio runtime: real, or virtual in tests that pause the runtime's time.
#[derive(Clone, Copy, Debug)]
pub struct Runtime {
    start: Instant,
    start_wall: SystemTime,
    start_boot_time: Duration,
}

impl Runtime {
    /// Creates a clock. It reads the time of day once and derives later ones from monotonic time. All clocks
    /// of a thread agree, even if its time is virtual and ahead of the real time of day.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        let start = tokio::time::Instant::now().into_std();
        let (first, wall) =
            FIRST_READING.with(|first| *first.get_or_init(|| (start, SystemTime::now())));
        let derived = wall + start.saturating_duration_since(first);
        Runtime {
            start,
            start_wall: derived.max(SystemTime::now()),
            start_boot_time: system_boot_time(),
        }
    }
}

impl Clock for Runtime {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        self.start_wall + (self.now() - self.start)
    }

    /// Advances by the larger of the runtime's and the system's elapsed time, since virtual time may run ahead
    /// of the system's.
    fn boot_time(&self) -> Duration {
        let elapsed = self.now() - self.start;
        self.start_boot_time + elapsed.max(system_boot_time().saturating_sub(self.start_boot_time))
    }
}

/// The system's time since boot, including suspension.
fn system_boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// A clock for tests that advances only on request.
///
/// ```
/// use clock::Clock;
/// let clock = clock::Manual::new();
/// let before = clock.now();
/// clock.advance(std::time::Duration::from_secs(1));
/// assert_eq!(clock.now() - before, std::time::Duration::from_secs(1));
/// ```
#[derive(Clone, Debug)]
pub struct Manual {
    start: Instant,
    elapsed: Rc<Cell<Duration>>,
}

impl Manual {
    /// A clock at its starting time.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Manual { start: Instant::now(), elapsed: Rc::default() }
    }

    /// Advances the clock.
    pub fn advance(&self, by: Duration) {
        self.elapsed.set(self.elapsed.get() + by);
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.elapsed.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000) + self.elapsed.get()
    }

    fn boot_time(&self) -> Duration {
        self.elapsed.get()
    }
}
