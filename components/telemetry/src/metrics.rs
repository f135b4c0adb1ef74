use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Bounds in seconds: fine around the targets of the classes, up to the longest deadlines.
const BOUNDS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.87, 2.0, 5.0, 15.0, 60.0];

/// Workspaces with a histogram of their own: some 15 series each, so about 500 in all.
const NAMED: usize = 32;

/// Metrics of one router.
pub struct Metrics {
    /// Those of the settings' following.
    pub settings: crate::Settings,
    registry: Registry,
    outcomes: IntCounterVec,
    refusals: IntCounterVec,
    crossed: IntCounter,
    connected: IntCounter,
    failed: IntCounterVec,
    wasted: IntCounterVec,
    answers: HistogramVec,
    workspaces: HistogramVec,
    named: RefCell<BTreeSet<String>>,
    peers: IntGauge,
    work: IntGaugeVec,
    first_token: HistogramVec,
    token_interval: HistogramVec,
}

impl Metrics {
    /// Metrics that stand at zero.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new();
    /// metrics.outcome("booking", "complete");
    /// assert!(metrics.render().contains("outcome=\"complete\""));
    /// ```
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        let registry = Registry::new();
        let labelled = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::new(name, help).buckets(BOUNDS.to_vec());
            let metric = HistogramVec::new(options, &[label]).expect("a constant, valid name");
            registry.register(Box::new(metric.clone())).expect("registered once");
            metric
        };
        let histogram = |name: &str, help: &str| labelled(name, help, "class");
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect("a constant, valid name");
            registry.register(Box::new(metric.clone())).expect("registered once");
            metric
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels);
            let metric = metric.expect("a constant, valid name");
            registry.register(Box::new(metric.clone())).expect("registered once");
            metric
        };
        let outcomes = counter(
            "godwitlever_requests_total",
            "Requests that ended, by class and outcome",
            &["class", "outcome"],
        );
        let refusals = counter(
            "godwitlever_refusals_total",
            "Requests that weren't run, by reason",
            &["reason"],
        );
        let crossed = IntCounter::new(
            "godwitlever_crossed_total",
            "Answers dropped since they were to another request or an older attempt",
        )
        .expect("a constant, valid name");
        registry.register(Box::new(crossed.clone())).expect("registered once");
        let connected = IntCounter::new(
            "godwitlever_connections_total",
            "Connections that were opened to backend servers",
        )
        .expect("a constant, valid name");
        registry.register(Box::new(connected.clone())).expect("registered once");
        let failed = counter(
            "godwitlever_attempts_failed_total",
            "Attempts at backend servers that brought no answer",
            &["class"],
        );
        let wasted = counter(
            "godwitlever_wasted_tokens_total",
            "Tokens passed on in answers that didn't come to their end",
            &["class"],
        );
        let work = IntGaugeVec::new(
            Opts::new("godwitlever_work", "Requests held now, by class and state"),
            &["class", "state"],
        )
        .expect("a constant, valid name");
        registry.register(Box::new(work.clone())).expect("registered once");
        Metrics {
            failed,
            wasted,
            work,
            answers: histogram("godwitlever_answer_seconds", "Time to the end of whole answers"),
            workspaces: labelled(
                "godwitlever_workspace_answer_seconds",
                "Time to the end of whole answers, for the workspaces first seen",
                "workspace",
            ),
            named: RefCell::default(),
            peers: gauge("godwitlever_peers_heard", "Peers that were heard lately"),
            settings: crate::Settings::new(&registry),
            outcomes,
            refusals,
            crossed,
            connected,
            first_token: histogram("godwitlever_first_token_seconds", "Time to the first token"),
            token_interval: histogram("godwitlever_token_interval_seconds", "Time between tokens"),
            registry,
        }
    }

    /// Counts a request that ended.
    pub fn outcome(&self, class: &str, outcome: &str) {
        self.outcomes.with_label_values(&[class, outcome]).inc();
    }

    /// Counts a request that wasn't run.
    pub fn refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Counts an answer, or a part of one, that was dropped since it didn't belong to the attempt.
    pub fn crossed(&self) {
        self.crossed.inc();
    }

    /// Counts a connection that was opened to a backend server.
    pub fn connected(&self) {
        self.connected.inc();
    }

    /// Counts an attempt that brought no answer.
    pub fn failed(&self, class: &str) {
        self.failed.with_label_values(&[class]).inc();
    }

    /// Counts tokens of an answer that didn't come to its end.
    pub fn wasted(&self, class: &str, tokens: u64) {
        self.wasted.with_label_values(&[class]).inc_by(tokens);
    }

    /// Notes the time to the end of a whole answer. Only the first workspaces seen have a
    /// histogram of their own: thousands would cost more than all else that a node does.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new();
    /// for index in 0..100 {
    ///     metrics.answered("booking", &format!("w{index}"), std::time::Duration::ZERO);
    /// }
    /// assert!(metrics.render().contains("_count{workspace=\"other\"} 68"));
    /// ```
    pub fn answered(&self, class: &str, workspace: &str, time: Duration) {
        self.answers.with_label_values(&[class]).observe(time.as_secs_f64());
        let mut named = self.named.borrow_mut();
        if named.len() < NAMED && !named.contains(workspace) {
            named.insert(workspace.to_string());
        }
        let label = if named.contains(workspace) { workspace } else { "other" };
        self.workspaces.with_label_values(&[label]).observe(time.as_secs_f64());
    }

    /// Sets how many peers were heard lately.
    pub fn peers(&self, count: usize) {
        self.peers.set(count as i64);
    }

    /// Sets how many requests of a class are held now.
    pub fn work(&self, class: &str, waiting: u32, sent: u32) {
        self.work.with_label_values(&[class, "waiting"]).set(waiting.into());
        self.work.with_label_values(&[class, "sent"]).set(sent.into());
    }

    /// Notes the time to a first token.
    pub fn first_token(&self, class: &str, time: Duration) {
        self.first_token.with_label_values(&[class]).observe(time.as_secs_f64());
    }

    /// Notes the time between two tokens.
    pub fn token_interval(&self, class: &str, time: Duration) {
        self.token_interval.with_label_values(&[class]).observe(time.as_secs_f64());
    }

    /// All metrics in the text form.
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
