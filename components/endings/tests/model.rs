//! Plays all orders of few events around a server that is killed, started again and asked, and checks what each answer
//! whose connection ended is taken for.

use endings::{Finding, Inquiries, Process, Testimony};

/// Answers in progress at the server.
const ANSWERS: usize = 3;
/// Events of one order.
const EVENTS: usize = 8;
const NAME: &str = "a";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The server sends the rest of an answer and closes its connection.
    Finish(usize),
    /// The server's process is killed, and the kernel closes the connections of its answers.
    Kill,
    /// The server is started again, under its name and at its address.
    Start,
    /// The question under way reaches the server, or is refused if it doesn't run.
    Ask,
    /// The response to it arrives.
    Respond,
    /// The question under way isn't answered in time.
    Lapse,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Open,
    Finished,
    Cut,
}

/// The server, its answers, and the question under way.
struct World {
    /// Start of the process that runs.
    running: Option<u64>,
    starts: u64,
    ends: [End; ANSWERS],
    inquiries: Inquiries<(), usize>,
    asking: bool,
    /// What the server has responded; none while the question is on its way.
    response: Option<Finding>,
    findings: [Option<Finding>; ANSWERS],
    lapsed: bool,
}

impl World {
    fn new() -> Self {
        World {
            running: Some(0),
            starts: 0,
            ends: [End::Open; ANSWERS],
            inquiries: Inquiries::default(),
            asking: false,
            response: None,
            findings: [None; ANSWERS],
            lapsed: false,
        }
    }

    fn is_possible(&self, event: Event) -> bool {
        match event {
            Event::Finish(answer) => self.running == Some(0) && self.ends[answer] == End::Open,
            Event::Kill => self.running.is_some(),
            Event::Start => self.running.is_none(),
            Event::Ask => self.asking && self.response.is_none(),
            Event::Respond => self.response.is_some(),
            Event::Lapse => self.asking,
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Finish(answer) => self.end(answer, End::Finished),
            Event::Kill => {
                self.running = None;
                for answer in 0..ANSWERS {
                    if self.ends[answer] == End::Open {
                        self.end(answer, End::Cut);
                    }
                }
            }
            Event::Start => {
                self.starts += 1;
                self.running = Some(self.starts);
            }
            Event::Ask => {
                let process = Process { name: NAME.to_string(), start: Some(0) };
                let testimony = |start| Testimony {
                    name: Some(NAME.to_string()),
                    start: Some(start),
                    ..Testimony::default()
                };
                let judge = |start| process.judge(&testimony(start));
                self.response = Some(self.running.map_or(Finding::Ended, judge));
            }
            Event::Respond => {
                let finding = self.response.take().expect("a response");
                self.settle(finding);
            }
            Event::Lapse => {
                self.lapsed = true;
                self.response = None;
                self.settle(Finding::Unknown);
            }
        }
    }

    fn end(&mut self, answer: usize, end: End) {
        self.ends[answer] = end;
        self.asking |= self.inquiries.add((), answer);
    }

    fn settle(&mut self, finding: Finding) {
        let settled = self.inquiries.settle(&(), finding);
        for answer in settled.waiters {
            assert_eq!(self.findings[answer].replace(finding), None, "settled twice");
        }
        self.asking = settled.ask_again;
    }

    fn check(&self, order: &[Event]) {
        for (end, finding) in self.ends.iter().zip(self.findings) {
            let complete = finding.is_some_and(Finding::is_complete);
            assert!(!complete || *end == End::Finished, "cut, but complete: {order:?}");
            let lives = self.running == Some(0) && !self.lapsed;
            assert!(!lives || finding.is_none() || complete, "finished, but cut: {order:?}");
        }
        let waiting = self.ends.iter().zip(self.findings);
        let waiting = waiting.filter(|(end, finding)| **end != End::Open && finding.is_none());
        assert_eq!(self.asking, waiting.count() > 0, "a waiting answer isn't asked for: {order:?}");
    }
}

fn play(order: &[Event]) -> World {
    let mut world = World::new();
    order.iter().for_each(|event| world.apply(*event));
    world.check(order);
    world
}

/// Plays all orders that begin with `order`; returns how many there are.
fn explore(order: &mut Vec<Event>) -> usize {
    let world = play(order);
    if order.len() == EVENTS {
        return 1;
    }
    let others = [Event::Kill, Event::Start, Event::Ask, Event::Respond, Event::Lapse];
    let events = (0..ANSWERS).map(Event::Finish).chain(others);
    let possible: Vec<_> = events.filter(|event| world.is_possible(*event)).collect();
    let mut count = 0;
    for event in possible {
        order.push(event);
        count += explore(order);
        order.pop();
    }
    count
}

/// An answer is cut by a kill and counts as complete, because the server was asked too early, or because another process
/// responded. An answer that its server finished counts as cut although the server runs on. An answer waits for a
/// question that nobody sends.
#[test]
fn only_answers_of_a_server_that_runs_on_are_complete() {
    let count = explore(&mut vec![]);
    assert!(count > 10_000, "{count} orders");
}
