//! Records the counters, gauges and histograms of one router, and renders them in the Prometheus text
//! format.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use prometheus::{
    Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the histogram buckets: close together around the classes' targets, and up to the
/// longest deadlines.
const BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.87, 2.0, 5.0, 15.0, 60.0];

/// Most workspaces with a histogram of their own. Each histogram has about 15 time series, so all of them
/// have about 500.
const MAX_WORKSPACE_HISTOGRAMS: usize = 32;

/// Metrics of one router.
pub struct Metrics {
    /// Metrics of the settings revisions that the router received.
    pub settings: crate::SettingsMetrics,
    registry: Registry,
    outcomes: IntCounterVec,
    refusals: IntCounterVec,
    mismatched_answers: IntCounter,
    connections: IntCounter,
    failed_attempts: IntCounterVec,
    arrivals: IntCounterVec,
    notices: IntCounterVec,
    sent_despite_notice: IntCounterVec,
    health_checks: IntCounter,
    ends_by_connection: IntCounterVec,
    survival_questions: IntCounter,
    identity_questions: IntCounter,
    cold_permits: IntCounterVec,
    continuations: IntCounterVec,
    taken_up: IntCounterVec,
    bound_requests: IntCounter,
    evacuated_domains: IntGauge,
    wasted_tokens: IntCounterVec,
    answer_times: HistogramVec,
    workspace_answer_times: HistogramVec,
    /// Workspaces that have a histogram of their own.
    own_histogram: RefCell<BTreeSet<String>>,
    live_peers: IntGauge,
    fleet_utilization: Gauge,
    request_counts: IntGaugeVec,
    first_token: HistogramVec,
    token_interval: HistogramVec,
    engine_rates: IntGaugeVec,
    rate_samples: IntCounter,
    cache_horizon: HistogramVec,
}

impl Metrics {
    /// Creates the metrics, all at zero.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new();
    /// metrics.count_outcome("booking", "complete");
    /// assert!(metrics.render().contains("outcome=\"complete\""));
    /// ```
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        let registry = Registry::new();
        let labelled_histogram = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS_SECONDS.to_vec());
            let metric = HistogramVec::new(options, &[label]).expect("the metric's name is valid");
            registry.register(Box::new(metric.clone())).expect("the metric is registered once");
            metric
        };
        let class_histogram = |name: &str, help: &str| labelled_histogram(name, help, "class");
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect("the metric's name is valid");
            registry.register(Box::new(metric.clone())).expect("the metric is registered once");
            metric
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels);
            let metric = metric.expect("the metric's name is valid");
            registry.register(Box::new(metric.clone())).expect("the metric is registered once");
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
        let mismatched_answers = IntCounter::new(
            "godwitlever_crossed_total",
            "Answers dropped since they were to another request or an older attempt",
        )
        .expect("the metric's name is valid");
        registry
            .register(Box::new(mismatched_answers.clone()))
            .expect("the metric is registered once");
        let connections = IntCounter::new(
            "godwitlever_connections_total",
            "Connections that were opened to backend servers",
        )
        .expect("the metric's name is valid");
        registry.register(Box::new(connections.clone())).expect("the metric is registered once");
        let failed_attempts = counter(
            "godwitlever_attempts_failed_total",
            "Attempts at backend servers that brought no answer",
            &["class"],
        );
        let arrivals = counter(
            "godwitlever_arrivals_total",
            "Requests sent to backend servers, by class and whether it was the first time",
            &["class", "order"],
        );
        let notices = counter(
            "godwitlever_server_notices_total",
            "News that backend servers gave of themselves in answers, by what they said",
            &["notice"],
        );
        let sent_despite_notice = counter(
            "godwitlever_sent_despite_notice_total",
            "Requests sent to backend servers that had asked for none, by what they had said",
            &["notice"],
        );
        let health_checks = IntCounter::new(
            "godwitlever_health_checks_total",
            "Questions to backend servers that have said that they leave, whether they still do",
        )
        .expect("the metric's name is valid");
        registry.register(Box::new(health_checks.clone())).expect("the metric is registered once");
        let ends_by_connection = counter(
            "godwitlever_ends_by_connection_total",
            "Answers that ended with their connection, by what showed that their server still ran, or that it didn't",
            &["server"],
        );
        let survival_questions = IntCounter::new(
            "godwitlever_survival_questions_total",
            "Questions to backend servers whether they still run after the end of an answer",
        )
        .expect("the metric's name is valid");
        registry
            .register(Box::new(survival_questions.clone()))
            .expect("the metric is registered once");
        let identity_questions = IntCounter::new(
            "godwitlever_identity_questions_total",
            "Questions to backend servers when they started, before streams that may be continued",
        )
        .expect("the metric's name is valid");
        registry
            .register(Box::new(identity_questions.clone()))
            .expect("the metric is registered once");
        let cold_permits = counter(
            "godwitlever_cold_permits_total",
            "Permits for requests to cold servers, by what became of them",
            &["event"],
        );
        let continuations = counter(
            "godwitlever_continuations_total",
            "Streams whose server ended and that were sent to the copy of their run, by result",
            &["result"],
        );
        let taken_up = counter(
            "godwitlever_streams_taken_up_total",
            "Streams that callers took up, by who knew the version that began them",
            &["origin"],
        );
        let bound_requests = IntCounter::new(
            "godwitlever_bound_requests_total",
            "Requests that may be served in some regions only",
        )
        .expect("the metric's name is valid");
        registry.register(Box::new(bound_requests.clone())).expect("the metric is registered once");
        let wasted_tokens = counter(
            "godwitlever_wasted_tokens_total",
            "Tokens passed on in answers that didn't come to their end",
            &["class"],
        );
        let request_counts = IntGaugeVec::new(
            Opts::new("godwitlever_work", "Requests held now, by class and state"),
            &["class", "state"],
        )
        .expect("the metric's name is valid");
        registry.register(Box::new(request_counts.clone())).expect("the metric is registered once");
        let engine_rates = IntGaugeVec::new(
            Opts::new(
                "godwitlever_engine_rate",
                "Prompt tokens per second that an engine prefills, where they differ from the assumed rate",
            ),
            &["server"],
        )
        .expect("the metric's name is valid");
        registry.register(Box::new(engine_rates.clone())).expect("the metric is registered once");
        let rate_samples = IntCounter::new(
            "godwitlever_rate_samples_total",
            "Prefills from which this node measured the rates of engines",
        )
        .expect("the metric's name is valid");
        registry.register(Box::new(rate_samples.clone())).expect("the metric is registered once");
        let fleet_utilization = Gauge::new(
            "godwitlever_fleet_utilization",
            "Engine time that all nodes are offered, as a fraction of what the engines can process",
        )
        .expect("the metric's name is valid");
        registry
            .register(Box::new(fleet_utilization.clone()))
            .expect("the metric is registered once");
        Metrics {
            engine_rates,
            rate_samples,
            fleet_utilization,
            failed_attempts,
            arrivals,
            notices,
            sent_despite_notice,
            health_checks,
            ends_by_connection,
            survival_questions,
            identity_questions,
            cold_permits,
            continuations,
            taken_up,
            bound_requests,
            evacuated_domains: gauge(
                "godwitlever_evacuated_domains",
                "Failure domains that operators have evacuated",
            ),
            wasted_tokens,
            request_counts,
            answer_times: class_histogram(
                "godwitlever_answer_seconds",
                "Time to the end of whole answers",
            ),
            workspace_answer_times: labelled_histogram(
                "godwitlever_workspace_answer_seconds",
                "Time to the end of whole answers, for the workspaces first seen",
                "workspace",
            ),
            own_histogram: RefCell::default(),
            live_peers: gauge("godwitlever_peers_heard", "Peers that were heard lately"),
            settings: crate::SettingsMetrics::new(&registry),
            outcomes,
            refusals,
            mismatched_answers,
            connections,
            first_token: class_histogram(
                "godwitlever_first_token_seconds",
                "Time to the first token",
            ),
            token_interval: class_histogram(
                "godwitlever_token_interval_seconds",
                "Time between tokens",
            ),
            cache_horizon: class_histogram(
                "godwitlever_cache_horizon_seconds",
                "Time after its last use for which the chosen engine caches a prompt part, if its memory is crowded",
            ),
            registry,
        }
    }

    /// Counts a request that ended with `outcome`.
    pub fn count_outcome(&self, class: &str, outcome: &str) {
        self.outcomes.with_label_values(&[class, outcome]).inc();
    }

    /// Counts a request that wasn't run.
    pub fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Counts an answer, or a part of one, that was dropped because it belonged to another request or
    /// an older attempt.
    pub fn count_mismatched_answer(&self) {
        self.mismatched_answers.inc();
    }

    /// Counts a connection that was opened to a backend server.
    pub fn count_connection(&self) {
        self.connections.inc();
    }

    /// Adds permits for cold servers that were `issued` to nodes, `received` from seeds, or `used`.
    pub fn add_cold_permits(&self, event: &str, count: u64) {
        self.cold_permits.with_label_values(&[event]).inc_by(count);
    }

    /// Counts a stream whose server ended and whose copy `continued` it, or `failed` to.
    pub fn count_continuation(&self, result: &str) {
        self.continuations.with_label_values(&[result]).inc();
    }

    /// Counts a stream that its caller takes up, by who knew the version that began it.
    pub fn count_taken_up(&self, origin: &str) {
        self.taken_up.with_label_values(&[origin]).inc();
    }

    /// Counts a request that may be served in some regions only.
    pub fn count_bound_request(&self) {
        self.bound_requests.inc();
    }

    /// Sets how many failure domains are evacuated.
    pub fn set_evacuated_domains(&self, count: usize) {
        self.evacuated_domains.set(count as i64);
    }

    /// Counts an attempt that got no answer.
    pub fn count_failed_attempt(&self, class: &str) {
        self.failed_attempts.with_label_values(&[class]).inc();
    }

    /// Counts a request that is sent to a backend server, for the first time or again.
    pub fn count_arrival(&self, class: &str, again: bool) {
        let order = if again { "repeat" } else { "first" };
        self.arrivals.with_label_values(&[class, order]).inc();
    }

    /// Counts news that a backend server gave of itself in an answer.
    pub fn count_notice(&self, notice: &str) {
        self.notices.with_label_values(&[notice]).inc();
    }

    /// Counts a question to a backend server whether it still leaves.
    pub fn count_health_check(&self) {
        self.health_checks.inc();
    }

    /// Counts an answer that ended with its connection, by what is known of its server afterwards.
    pub fn count_end_by_connection(&self, server: &str) {
        self.ends_by_connection.with_label_values(&[server]).inc();
    }

    /// Counts a question to a backend server whether it still runs.
    pub fn count_survival_question(&self) {
        self.survival_questions.inc();
    }

    /// Counts a question to a backend server when it started.
    pub fn count_identity_question(&self) {
        self.identity_questions.inc();
    }

    /// Counts a request that is sent to a backend server although that has given a notice.
    pub fn count_sent_despite(&self, notice: &str) {
        self.sent_despite_notice.with_label_values(&[notice]).inc();
    }

    /// Adds the tokens that were relayed to the caller in an answer that was never completed.
    pub fn add_wasted_tokens(&self, class: &str, tokens: u64) {
        self.wasted_tokens.with_label_values(&[class]).inc_by(tokens);
    }

    /// Records the time to the end of a complete answer. Only the workspaces that are seen first get a
    /// histogram of their own, the others share the label `other`: thousands of histograms would cost
    /// more than the rest of a node's work.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new();
    /// for index in 0..100 {
    ///     metrics.observe_answer("booking", &format!("w{index}"), std::time::Duration::ZERO);
    /// }
    /// assert!(metrics.render().contains("_count{workspace=\"other\"} 68"));
    /// ```
    pub fn observe_answer(&self, class: &str, workspace: &str, time: Duration) {
        self.answer_times.with_label_values(&[class]).observe(time.as_secs_f64());
        let mut own_histogram = self.own_histogram.borrow_mut();
        if own_histogram.len() < MAX_WORKSPACE_HISTOGRAMS && !own_histogram.contains(workspace) {
            own_histogram.insert(workspace.to_string());
        }
        let label = if own_histogram.contains(workspace) { workspace } else { "other" };
        self.workspace_answer_times.with_label_values(&[label]).observe(time.as_secs_f64());
    }

    /// Sets the number of peers that sent gossip recently.
    pub fn set_live_peers(&self, count: usize) {
        self.live_peers.set(count as i64);
    }

    /// Sets the engine time that all nodes are offered, as a fraction of what the engines can process.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new();
    /// metrics.set_fleet_utilization(1.25);
    /// assert!(metrics.render().contains("fleet_utilization 1.25"));
    /// ```
    pub fn set_fleet_utilization(&self, utilization: f64) {
        self.fleet_utilization.set(utilization);
    }

    /// Sets the number of a class's requests that wait on this node and that are in flight at backend
    /// servers.
    pub fn set_request_counts(&self, class: &str, waiting: u32, in_flight: u32) {
        self.request_counts.with_label_values(&[class, "waiting"]).set(waiting.into());
        self.request_counts.with_label_values(&[class, "sent"]).set(in_flight.into());
    }

    /// Records the time from a request's arrival to its first token.
    pub fn observe_first_token(&self, class: &str, time: Duration) {
        self.first_token.with_label_values(&[class]).observe(time.as_secs_f64());
    }

    /// Records the time between two tokens.
    pub fn observe_token_interval(&self, class: &str, time: Duration) {
        self.token_interval.with_label_values(&[class]).observe(time.as_secs_f64());
    }

    /// Adds prefills from which this node measured the rate of an engine.
    pub fn add_rate_samples(&self, count: u64) {
        self.rate_samples.inc_by(count);
    }

    /// Sets the prompt tokens per second that an engine prefills; none if they don't differ from the assumed rate.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new();
    /// metrics.set_engine_rate("e1", Some(30_000));
    /// assert!(metrics.render().contains("godwitlever_engine_rate{server=\"e1\"} 30000"));
    /// metrics.set_engine_rate("e1", None);
    /// assert!(!metrics.render().contains("e1"));
    /// ```
    pub fn set_engine_rate(&self, server: &str, tokens_per_second: Option<u32>) {
        match tokens_per_second {
            Some(rate) => self.engine_rates.with_label_values(&[server]).set(rate.into()),
            // It has no series if it hasn't differed before.
            None => drop(self.engine_rates.remove_label_values(&[server])),
        }
    }

    /// Records for how long the engine that a request is sent to caches a prompt part after its last use.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new();
    /// metrics.observe_cache_horizon("drafts", std::time::Duration::from_secs(4));
    /// assert!(metrics.render().contains("cache_horizon_seconds_count{class=\"drafts\"} 1"));
    /// ```
    pub fn observe_cache_horizon(&self, class: &str, horizon: Duration) {
        self.cache_horizon.with_label_values(&[class]).observe(horizon.as_secs_f64());
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
