//! The clock as an interface, so that tests choose the time.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Source of monotonic time and of the time of day.
pub trait Clock {
    /// Monotonic time.
    fn now(&self) -> Instant;
    /// Time of day.
    fn wall(&self) -> SystemTime;
    /// Time since some fixed point, which also counts while the VM is suspended; monotonic time
    /// stands still then, and a process that wakes believes that none has passed.
    fn boot_time(&self) -> Duration;
}

thread_local! {
    static FIRST: OnceCell<(Instant, SystemTime)> = const { OnceCell::new() };
}

/// The runtime's clock: real, and virtual in tests that pause the runtime's time.
#[derive(Clone, Copy, Debug)]
pub struct Runtime {
    start: Instant,
    wall: SystemTime,
    boot: Duration,
}

impl Runtime {
    /// Starts the clock; the time of day is read once and carried on by the monotonic clock. The
    /// clocks of one thread agree, also where its time is virtual and ahead of the time of day.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        let start = tokio::time::Instant::now().into_std();
        let (first, wall) = FIRST.with(|first| *first.get_or_init(|| (start, SystemTime::now())));
        let carried = wall + start.saturating_duration_since(first);
        Runtime { start, wall: carried.max(SystemTime::now()), boot: boot() }
    }
}

impl Clock for Runtime {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        self.wall + (self.now() - self.start)
    }

    /// Virtual time may run ahead of the system's.
    fn boot_time(&self) -> Duration {
        let own = self.now() - self.start;
        self.boot + own.max(boot().saturating_sub(self.boot))
    }
}

/// The system's clock that counts suspension.
fn boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// A clock that moves only when told to.
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
    gone: Rc<Cell<Duration>>,
}

impl Manual {
    /// A clock that stands at the start.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Manual { start: Instant::now(), gone: Rc::default() }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        self.gone.set(self.gone.get() + by);
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.gone.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000) + self.gone.get()
    }

    fn boot_time(&self) -> Duration {
        self.gone.get()
    }
}
