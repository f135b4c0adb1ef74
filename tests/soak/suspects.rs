//! Trials, run by hand: streams of one route that may be resumed, as many a second as a site sends, at servers of two
//! versions or weights. They count answers that are joined from both, by what wrote each event, and streams without a
//! length that end as complete before their last event.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fakes::versions::{Caller, RESUMED, event, rest, written_by};
use fakes::{Raw, Step};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixture::streams::REPORT_PATH;
use crate::fixture::{
    API_KEY, ATTEMPT_ID, CONFIGURATION, STREAM_HEAD, UNFRAMED_HEAD, VERSIONS_ROUTE, configuration,
    engine_entry, server_entry,
};
use crate::nodes::Node;
use crate::stores::Stores;
use crate::weights::{DECLINED, WEIGHTS, without_resumption};

/// Apart from the seeds of soaks, which name files by them.
const SEED: u64 = 5 << 32;
const NODES: usize = 7;
const SERVERS: usize = 12;
/// Streams a second.
const RATE: f64 = 27.0;
/// Time from the first event of a stream to its second and last.
const LIFE: Duration = Duration::from_millis(600);
/// Streams of all routes a second, events of each, and the body that crashes a server.
const ALL_RATE: f64 = 88.0;
const EVENTS: u32 = 6;
const CRASH: &str = "crash";
/// Time limit of a stream, with all its tries.
const LIMIT: Duration = Duration::from_secs(4);
/// Time between servers that start again.
const GAP: Duration = Duration::from_millis(500);
/// One in so many callers leaves after the first event and takes the stream up at another node.
const LEAVES: u32 = 3;
/// Pause between the tries of a caller.
const PAUSE: Duration = Duration::from_millis(50);
/// A fleet has settings and has followed the list for longer than a stream lives.
const SETTLED: Duration = Duration::from_secs(12);

/// What happens while streams are sent.
#[derive(Clone, Copy, Debug)]
pub enum Suspect {
    /// Servers start again under their names and at their addresses with other software, one after the other; their
    /// entries say so this much later.
    Restart(Duration),
    /// As `Restart`, by engines that state the start of their process, which their entries have too. Their connections end
    /// when they start again.
    Engines(Duration),
    /// Two versions serve. The entries of one go, and this much later all nodes are killed and start again.
    Killed(Duration),
    /// Servers of one version have two versions of weights, and start again one after the other.
    Weights,
    /// All streams of the site lack a length and aren't resumed, and servers crash for good one after the other. The entry of each
    /// goes this much later.
    Unframed(Duration),
}

/// What servers do, and when they started again.
struct Plan {
    suspect: Suspect,
    /// When each starts again.
    restarts: Vec<Option<Instant>>,
    /// Which engines have started again: connections end with the process, so both have to change at once.
    started: Vec<bool>,
}

impl Plan {
    fn version(&self, index: usize, at: Instant) -> &'static str {
        let again = self.restarts[index].is_some_and(|restart| at >= restart);
        match self.suspect {
            Suspect::Restart(_) if again => "v2",
            Suspect::Engines(_) if self.started[index] => "v2",
            Suspect::Restart(_) | Suspect::Engines(_) => "v1",
            _ => ["v1", "v2"][index % 2],
        }
    }

    /// The version in a server's entry.
    fn listed(&self, index: usize, at: Instant) -> &'static str {
        match self.suspect {
            Suspect::Restart(late) | Suspect::Engines(late) => {
                let again = self.restarts[index].is_some_and(|restart| at >= restart + late);
                if again { "v2" } else { "v1" }
            }
            Suspect::Killed(_) => self.version(index, at),
            Suspect::Weights | Suspect::Unframed(_) => "v1",
        }
    }

    /// Who writes an event now: the version, and whether the server's entry has another.
    fn label(&self, index: usize) -> String {
        let now = Instant::now();
        let (real, listed) = (self.version(index, now), self.listed(index, now));
        let renews = matches!(self.suspect, Suspect::Restart(_) | Suspect::Engines(_));
        let stale = renews && real != listed;
        format!("{real}.{}", if stale { "unlisted" } else { "listed" })
    }

    fn head(&self, index: usize) -> String {
        let weights = 1 + index % 2;
        match self.suspect {
            Suspect::Weights => STREAM_HEAD
                .replace("content-type", &format!("{WEIGHTS}: {weights}\r\ncontent-type")),
            _ => STREAM_HEAD.to_string(),
        }
    }

    fn steps(&self, index: usize) -> Vec<Step> {
        let (now, label, head) = (Instant::now(), self.label(index), self.head(index));
        if matches!(self.suspect, Suspect::Unframed(_)) {
            return unframed();
        }
        let mut steps = vec![];
        if matches!(self.suspect, Suspect::Weights) {
            let other = 2 - index % 2;
            let expected = format!("x-expected-version: {other}\r\n");
            steps.push(Step::IfHead(expected, vec![Step::Write(DECLINED.to_string())]));
        }
        let resumed = vec![Step::Write(format!("{head}{}", rest(&label)))];
        steps.extend([
            Step::Run,
            Step::IfHead(RESUMED.to_string(), resumed),
            Step::Write(head + &event(1, &label)),
        ]);
        let engines = matches!(self.suspect, Suspect::Engines(_));
        match self.restarts[index].and_then(|restart| restart.checked_duration_since(now)) {
            Some(wait) if wait < LIFE && !engines => steps.extend([Step::Wait(wait), Step::Reset]),
            _ if matches!(self.suspect, Suspect::Killed(_)) => steps.push(Step::Hang),
            _ => steps.extend([Step::Wait(LIFE), Step::Write(rest(&label))]),
        }
        steps
    }
}

/// Steps of a server that sends a stream without a length or chunks, and crashes when its body says so.
fn unframed() -> Vec<Step> {
    let head = Step::Write(UNFRAMED_HEAD.to_string());
    let mut steps = vec![Step::Run, Step::CrashAt(CRASH.to_string()), head];
    for id in 1..=EVENTS {
        steps.extend([
            Step::Write(format!("id: {id}\ndata: w{id}-v1\n\n")),
            Step::Wait(LIFE / EVENTS),
        ]);
    }
    steps.push(Step::Close);
    steps
}

/// When the process of an engine with software of a version started, in ms since 1970.
fn start_of(index: usize, version: &str) -> u64 {
    1_700_000_000_000 + 2 * index as u64 + u64::from(version == "v2")
}

/// Makes a server state the start of its process when it is asked.
fn state_start(server: &Raw, start: u64) {
    let report = format!("{{\"born\":{start},\"busy\":false}}");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", report.len());
    server.set_page(REPORT_PATH, &(head + &report));
}

async fn crash(server: &Raw) {
    let text = format!(
        "POST /s/a HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT_ID}: {CRASH}\r\ncontent-length: {}\r\n\r\n{CRASH}",
        CRASH.len()
    );
    let address = server.address().parse().expect("an address");
    if let Some(mut caller) = Caller::send(address, &text).await {
        caller.read_to_end().await;
    }
}

/// The answer to a stream with all its tries, and how many took it up.
struct Got {
    texts: Vec<String>,
    refused: u32,
}

async fn call(
    nodes: &[std::net::SocketAddr],
    id: String,
    leaves: bool,
    again: bool,
    mut rng: SmallRng,
) -> Got {
    let (begun, mut texts, mut refused) = (Instant::now(), vec![], 0);
    for number in 0.. {
        let Some(left) = LIMIT.checked_sub(begun.elapsed()) else { break };
        let resumes = format!("resumes: {id}-0\r\n{RESUMED}");
        let text = format!(
            "POST /s/a?x={id} HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT_ID}: {id}-{number}\r\n\
             x-deadline-ms: {}\r\napi-key: {API_KEY}\r\n{}content-length: 0\r\nconnection: close\r\n\r\n",
            left.as_millis().max(1),
            if number == 0 { "" } else { &resumes }
        );
        let node = nodes[rng.random_range(0..nodes.len())];
        let mut got = String::new();
        let reading = async {
            let Some(mut caller) = Caller::send(node, &text).await else { return };
            caller.read_event().await;
            got.clone_from(&caller.text);
            if number > 0 || !leaves {
                caller.read_to_end().await;
                got.clone_from(&caller.text);
            }
        };
        let _ = tokio::time::timeout(left, reading).await;
        refused += u32::from(got.contains(" 503 "));
        let over =
            !again || got.contains("data: w2-") || (number == 0 && written_by(&got).is_empty());
        texts.push(got);
        if over {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    Got { texts, refused }
}

/// Plays a suspect and prints what became of its streams. Returns how many are joined, or complete too early.
pub async fn play(seed: u64, suspect: Suspect) -> u32 {
    let stores = Stores::start(1).await;
    let (restarts, started) = (vec![None; SERVERS], vec![false; SERVERS]);
    let engines = matches!(suspect, Suspect::Engines(_));
    let plan = Rc::new(RefCell::new(Plan { suspect, restarts, started }));
    let mut servers = vec![];
    for index in 0..SERVERS {
        let plan = plan.clone();
        servers.push(Raw::named(ATTEMPT_ID, move |_| plan.borrow().steps(index)).await.unwrap());
    }
    let key = |index: usize| format!("servers/s-{index}");
    let list = |index: usize| {
        let version = plan.borrow().listed(index, Instant::now());
        let text = server_entry(&servers[index].address(), "ready").replace("\"plain\"", "\"s\"");
        let text = text.replace("\"slots\":8", "\"slots\":128");
        let text = text.replace("\"v1\"", &format!("\"{version}\""));
        let start = start_of(index, version);
        stores.put(&key(index), &if engines { engine_entry(&text, start) } else { text });
    };
    for (index, server) in servers.iter().enumerate().filter(|_| engines) {
        state_start(server, start_of(index, "v1"));
    }
    (0..SERVERS).for_each(list);
    let route = VERSIONS_ROUTE.trim_start_matches(",\n").replace("versions", "s");
    let route =
        route.replace("\"timeoutMs\":6000", &format!("\"timeoutMs\":{}", LIMIT.as_millis()));
    let route = route.replace("\"eventGapMs\":300", "\"eventGapMs\":4000");
    let without = matches!(suspect, Suspect::Unframed(_));
    let route = if without { without_resumption(&route) } else { route };
    let settings =
        configuration(1, &route, &[API_KEY]).replace("\"name\":\"plain\"", "\"name\":\"s\"");
    stores.put(CONFIGURATION, &settings);
    let stored: Vec<_> = (0..NODES).map(|_| stores.address(0)).collect();
    let nodes = Node::fleet(SEED + seed, &stored, false);
    tokio::time::sleep(SETTLED).await;

    let mut rng = SmallRng::seed_from_u64(seed);
    let begun = Instant::now();
    let first = begun + Duration::from_secs(1);
    let restarts = !matches!(suspect, Suspect::Killed(_));
    for index in 0..SERVERS {
        let at = first + GAP * index as u32;
        plan.borrow_mut().restarts[index] = restarts.then_some(at);
    }
    let events = async {
        match suspect {
            Suspect::Restart(late) => {
                for index in 0..SERVERS {
                    let at = first + GAP * index as u32 + late;
                    tokio::time::sleep_until(at.into()).await;
                    list(index);
                }
            }
            Suspect::Engines(late) => {
                let start_again = async {
                    for (index, server) in servers.iter().enumerate() {
                        tokio::time::sleep_until((first + GAP * index as u32).into()).await;
                        plan.borrow_mut().started[index] = true;
                        state_start(server, start_of(index, "v2"));
                        server.end_connections();
                    }
                };
                let list_again = async {
                    for index in 0..SERVERS {
                        let at = first + GAP * index as u32 + late;
                        tokio::time::sleep_until(at.into()).await;
                        list(index);
                    }
                };
                tokio::join!(start_again, list_again);
            }
            Suspect::Killed(before) => {
                tokio::time::sleep_until(first.into()).await;
                (0..SERVERS).step_by(2).for_each(|index| stores.delete(&key(index)));
                tokio::time::sleep(before).await;
                nodes.iter().for_each(Node::kill);
                nodes.iter().for_each(Node::start);
            }
            Suspect::Weights => {}
            Suspect::Unframed(late) => {
                // One server is left for the streams that follow.
                for (index, server) in servers.iter().enumerate().skip(1) {
                    tokio::time::sleep_until((first + GAP * index as u32).into()).await;
                    crash(server).await;
                    tokio::time::sleep(late).await;
                    stores.delete(&key(index));
                }
            }
        }
    };
    let length = match suspect {
        Suspect::Killed(before) => Duration::from_secs(1) + before,
        _ => Duration::from_secs(2) + GAP * SERVERS as u32,
    };
    let callers: Vec<_> = nodes.iter().map(|node| node.callers).collect();
    let rate = if without { ALL_RATE } else { RATE };
    let count = (length.as_secs_f64() * rate) as u32;
    let calls = (0..count).map(|number| {
        let leaves = restarts && !without && rng.random_range(0..LEAVES) == 0;
        let (rng, callers) = (SmallRng::seed_from_u64(rng.random()), &callers);
        async move {
            let at = begun + Duration::from_secs_f64(f64::from(number) / rate);
            tokio::time::sleep_until(at.into()).await;
            call(callers, format!("{seed}-{number}"), leaves, !without, rng).await
        }
    });
    let (all, ()) = tokio::join!(futures_util::future::join_all(calls), events);
    if without {
        let whole = |text: &&String| text.ends_with("0\r\n\r\n");
        let texts: Vec<_> = all.iter().filter_map(|got| got.texts.first()).collect();
        let short = |text: &&&String| written_by(text).len() < EVENTS as usize;
        let joined = texts.iter().filter(|text| whole(text)).filter(short).count();
        let broken = texts.iter().filter(|text| !whole(text)).filter(short).count();
        println!(
            "TRIAL {suspect:?} seed {seed}: {count} streams, {broken} broken off or refused, ORDER {joined}"
        );
        return joined as u32;
    }
    let (mut began, mut unlisted, mut resumed, mut joined) = (0, 0, 0, 0);
    let (mut taken, mut refused, mut neither) = (0, 0, 0);
    let mut kinds: BTreeMap<String, u32> = BTreeMap::new();
    for (number, got) in all.iter().enumerate() {
        let text = got.texts.concat();
        let labels = written_by(&text);
        unlisted += u32::from(labels.first().is_some_and(|label| label.ends_with(".unlisted")));
        let [first, second] = match labels.as_slice() {
            [] => continue,
            [_] => {
                began += 1;
                refused += u32::from(got.refused > 0);
                neither += u32::from(got.refused == 0);
                continue;
            }
            labels => [labels[0], labels[labels.len() - 1]],
        };
        began += 1;
        let within = written_by(&got.texts[0]).len() > 1;
        taken += u32::from(!within);
        resumed += u32::from(within && text.matches("data: w").count() > 1 && first != second);
        let version = |label: &str| label.split('.').next().unwrap_or_default().to_string();
        if version(first) != version(second) {
            joined += 1;
            println!("joined: {seed}-{number}, {first} then {second}");
            let how = if within { "in one answer" } else { "taken up" };
            *kinds.entry(format!("{first} then {second}, {how}")).or_default() += 1;
        }
    }
    println!(
        "TRIAL {suspect:?} seed {seed}: {count} streams, {began} began ({unlisted} at servers whose entries are old), {taken} taken up and went on, {refused} refused, \
         {neither} neither, {resumed} of two writers in one answer, ORDER {joined}: {kinds:?}"
    );
    joined
}
