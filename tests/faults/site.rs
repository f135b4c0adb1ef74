//! One router before two servers that follow one script.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use configuration::wire::{Role, Vm};
use fakes::{Closed, Platform, Raw, Step};
use router::Router;
use tokio::time::Instant;

use crate::common::{node, post, session};
use crate::script::Kind;

const TREE: &str = r#"
[region.riga]
[domain.riga-a]
region = "riga"
[tier.top]
rank = 0
[tier.bulk]
rank = 2
[class.draft]
tier = "bulk"
[class.booking]
tier = "top"
[class.charge]
tier = "top"
idempotent = false
[workspace.choir]
class = "booking"
key_digest = "ca996a5a3528d4cdc107f77dad7698b379cfccebca10138b352c0dd3d1b4ce3b"
"#;

/// What a caller was told.
#[derive(Debug)]
pub struct Told {
    pub outcome: String,
    /// The caller has all of the answer.
    pub whole: bool,
    /// The answer ended as HTTP has it.
    pub ended: bool,
    pub text: String,
}

pub struct Pair {
    platform: Platform,
    servers: Vec<Raw>,
    #[allow(dead_code, reason = "kept taken")]
    closed: Vec<Closed>,
    pub router: Router,
}

impl Pair {
    /// Requests are numbered over both servers.
    pub async fn start(script: impl Fn(u64) -> Vec<Step> + 'static) -> Self {
        Self::with("", script).await
    }

    /// Nobody listens where the servers should be.
    pub async fn refused() -> Self {
        let closed = [Closed::open().unwrap(), Closed::open().unwrap()];
        let mut tree = TREE.to_string();
        for (index, closed) in closed.iter().enumerate() {
            tree.push_str(&branches(index, &closed.address().unwrap().to_string(), ""));
        }
        let mut site = Self::before(&tree, vec![]).await;
        site.closed = closed.into();
        site
    }

    /// As [`Pair::start`], with further lines for each server's branch.
    pub async fn with(lines: &str, script: impl Fn(u64) -> Vec<Step> + 'static) -> Self {
        Self::with_each(&[lines.to_string(), lines.to_string()], script).await
    }

    /// As [`Pair::with`], with lines of its own for each server.
    pub async fn with_each(
        lines: &[String; 2],
        script: impl Fn(u64) -> Vec<Step> + 'static,
    ) -> Self {
        let script = Rc::new(script);
        let count = Rc::new(Cell::new(0));
        let mut servers = vec![];
        let mut tree = TREE.to_string();
        for (index, lines) in lines.iter().enumerate() {
            let (script, count) = (script.clone(), count.clone());
            let numbered = move |_| script(count.replace(count.get() + 1));
            let server = Raw::start(numbered).await.unwrap();
            tree.push_str(&branches(index, &server.address(), lines));
            servers.push(server);
        }
        Self::before(&tree, servers).await
    }

    async fn before(tree: &str, servers: Vec<Raw>) -> Self {
        let platform = Platform::start().await.unwrap();
        platform.publish(1, &[("tree", tree)]);
        let router = Router::start(node(0, &platform)).await.unwrap();
        while !router.is_ready() {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        Pair { platform, servers, closed: vec![], router }
    }

    pub async fn call(&self, kind: Kind) -> Told {
        told(&session(self.router.caller_address(), &bytes(kind)).await)
    }

    /// Number of servers that ran a request.
    pub fn servers_used(&self) -> usize {
        self.servers.iter().filter(|server| server.total() > 0).count()
    }

    /// How often requests were run, over both servers.
    pub fn runs(&self) -> u32 {
        self.servers.iter().map(Raw::total).sum()
    }

    /// Most requests that one server got in the rest that it asked for when it received a request at `asked`.
    pub fn most_in_rest(&self, asked: Instant, rest: Duration) -> usize {
        let arrivals = |server: &Raw| server.seen().iter().map(|seen| seen.at).collect::<Vec<_>>();
        let mut servers = self.servers.iter().map(arrivals);
        let own = servers.find(|arrivals| arrivals.contains(&asked)).expect("a server that asked");
        fakes::most_in_rest(&own, &[(asked, rest)])
    }

    /// Requests that each server received.
    pub fn received(&self) -> Vec<u64> {
        self.servers.iter().map(Raw::received).collect()
    }

    /// Lists both servers' VMs, one of them as leaving.
    pub fn leave(&self, which: usize) {
        let vm = |(index, server): (usize, &Raw)| Vm {
            name: format!("engine-{index}"),
            role: Role::Backend,
            address: server.address(),
            domain: "riga-a".to_string(),
            leaving: index == which,
        };
        self.platform.list(self.servers.iter().enumerate().map(vm).collect());
    }

    /// Heads of the requests received.
    pub fn heads(&self) -> Vec<String> {
        self.seen().into_iter().map(|seen| seen.head).collect()
    }

    /// Requests that the servers read, in the order of their attempts.
    pub fn seen(&self) -> Vec<fakes::Seen> {
        let mut seen: Vec<_> = self.servers.iter().flat_map(Raw::seen).collect();
        seen.sort_by_key(attempt);
        seen
    }

    /// Connections that the router keeps to the servers.
    pub fn open(&self) -> u32 {
        self.servers.iter().map(Raw::open).sum()
    }
}

fn attempt(seen: &fakes::Seen) -> Option<u32> {
    let line = seen.head.lines().find_map(|line| line.strip_prefix("x-attempt: "))?;
    line.trim().parse().ok()
}

fn branches(index: usize, address: &str, lines: &str) -> String {
    format!(
        "[server.engine-{index}]\ndomain = \"riga-a\"\naddress = \"{address}\"\n\
         models = [\"small\"]\n{lines}\n\
         [server.desk-{index}]\ndomain = \"riga-a\"\naddress = \"{address}\"\n\
         kind = \"plain\"\npath = \"/desk\"\n"
    )
}

pub fn bytes(kind: Kind) -> Vec<u8> {
    let path = if kind == Kind::Desk { "/desk/charge" } else { "/v1/chat/completions" };
    let class = if kind.idempotent() { "" } else { "x-class: charge\r\n" };
    let stream = kind.streamed();
    let body = format!(r#"{{"model":"small","stream":{stream},"messages":[]}}"#);
    post(path, class, &body)
}

pub fn told(text: &str) -> Told {
    let (head, body) = text.split_once("\n\n").unwrap_or((text, ""));
    let header = head.lines().find_map(|line| line.strip_prefix("x-outcome: "));
    let chunked = head.contains("transfer-encoding: chunked");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let ended = match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => chunked && body.ends_with("\n0\n\n"),
    };
    let outcome = match header {
        // The head of a stream promises nothing; its end tells.
        Some("streaming") if body.contains("event: error") => "broken-off".to_string(),
        Some("streaming") if chunked && ended => "complete".to_string(),
        Some("streaming") | None => String::new(),
        Some(outcome) => outcome.to_string(),
    };
    let words = |text: &str| text.matches("w0 ").count() == 1 && text.matches("w1").count() == 1;
    let marked = !chunked || body.matches("[DONE]").count() == 1;
    Told { outcome, whole: ended && marked && words(body), ended, text: text.to_string() }
}
