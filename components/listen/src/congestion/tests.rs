use std::time::{Duration, Instant};

use super::Congestion;

const TARGET: Duration = Duration::from_millis(50);
/// Processor time of one request.
const WORK: Duration = Duration::from_millis(4);

/// A node whose processor takes requests one after the other.
struct Node {
    congestion: Congestion,
    /// When it has done all that it was given.
    busy_until: Instant,
    /// When the measurement in progress ends.
    measured_at: Option<Instant>,
    /// Delays of the requests that it read.
    delays: Vec<Duration>,
    closed: usize,
}

impl Node {
    fn new(now: Instant) -> Self {
        Node {
            congestion: Congestion::default(),
            busy_until: now,
            measured_at: None,
            delays: vec![],
            closed: 0,
        }
    }

    /// A new connection with a request arrives.
    fn connect(&mut self, now: Instant) {
        if let Some(at) = self.measured_at.take_if(|at| *at <= now) {
            self.congestion.end_measurement(TARGET, at);
        }
        if self.congestion.closes_next(TARGET, now) {
            self.closed += 1;
            return;
        }
        let delay = self.busy_until.saturating_duration_since(now);
        if self.congestion.begin_measurement(now) {
            self.measured_at = Some(now + delay);
        }
        self.delays.push(delay);
        self.busy_until = self.busy_until.max(now) + WORK;
    }
}

/// Connections arrive at a multiple of what the processor can do, for so many seconds.
fn play(load: f64, seconds: f64) -> Node {
    let start = Instant::now();
    let mut node = Node::new(start);
    let pause = WORK.div_f64(load);
    for number in 0..(seconds / pause.as_secs_f64()) as u32 {
        node.connect(start + pause * number);
    }
    node
}

/// Guards against a node that reads far more requests than it can serve, so that all of them are late.
#[test]
fn a_node_reads_about_as_much_as_it_can_serve() {
    for load in [1.5, 2.0, 4.0] {
        let node = play(load, 10.0);
        let settled = &node.delays[node.delays.len() / 3..];
        let in_time = settled.iter().filter(|delay| **delay <= TARGET * 5).count();
        assert!(in_time * 10 >= settled.len() * 9, "load {load}: {in_time} of {}", settled.len());
        let capacity = 10.0 / WORK.as_secs_f64();
        let read = node.delays.len() as f64;
        assert!(read >= capacity * 0.8, "load {load}: {read} of {capacity} were read");
    }
}

/// Guards against closing connections of a node that has room.
#[test]
fn a_node_with_room_closes_nothing() {
    assert_eq!(play(0.9, 10.0).closed, 0);
}

/// Guards against closing connections for one long task, and long after the processor was busy.
#[test]
fn a_single_delay_closes_nothing() {
    let (mut congestion, start) = (Congestion::default(), Instant::now());
    congestion.record_delay(TARGET * 40, TARGET, start);
    assert!((0..10).all(|_| !congestion.closes_next(TARGET, start)));
    for _ in 0..20 {
        congestion.record_delay(TARGET * 4, TARGET, start);
    }
    assert!((0..10).any(|_| congestion.closes_next(TARGET, start)));
    let later = start + Duration::from_secs(2);
    assert!((0..10).all(|_| !congestion.closes_next(TARGET, later)));
}
