//! Names the mechanisms of the scheduler, so that each can be disabled on its own: an ablation compares
//! the results with and without it.

derives::named! {
    /// A mechanism of the scheduler that can be disabled.
    pub enum Mechanism {
        /// Workspaces and classes are served by weighted token counters; otherwise in order of arrival.
        Fairness = "fairness",
        /// Requests that missed their first-token target let others of their class go first.
        Yielding = "yielding",
        /// Requests that can't be served in time are refused on arrival.
        EarlyRefusal = "early-refusal",
        /// A class that hasn't been served for its longest wait is served ahead of its turn.
        LongestWait = "longest-wait",
        /// The number of usable slots of a backend server follows its token intervals.
        AdaptiveLimit = "adaptive-limit",
        /// Load reports are corrected by what was sent since, and discounted by age.
        LoadCorrection = "correction",
        /// The better of two random choices among near-equals; otherwise the one with the best score.
        TwoChoices = "two-choices",
        /// Prompts with the same prefix go to the same backend server.
        Affinity = "affinity",
        /// Among servers that are as good, one to which the node has an idle connection is taken.
        Reuse = "reuse",
        /// Backend servers that fail are ejected for a while.
        Ejection = "ejection",
        /// Retries are limited to a percentage of first attempts.
        RetryBudget = "retry-budget",
        /// Lower-tier streams are stopped where a higher tier would miss its target.
        Preemption = "stopping",
        /// The lengths of answers are estimated from past ones, by class and workspace.
        LengthEstimates = "lengths",
        /// A request isn't sent to a server where it would miss its deadline.
        DeadlineFit = "fit",
        /// Slots are divided among the nodes, and tiers are respected across nodes.
        SlotSharing = "sharing",
        /// Requests cross the link between regions only where that meets a target and the budget allows.
        LinkBudget = "link",
        /// Engines are chosen by the prefill time that a prompt costs them; otherwise by load alone.
        PrefillCost = "reading",
        /// Each session has a preferred engine.
        PreferredEngine = "homes",
        /// Streams that tolerate no pauses have engines of their own.
        IsolationGroups = "groups",
        /// The sizes of those groups follow the work of all nodes; otherwise that of the node itself.
        FleetWork = "fleet-work",
        /// An engine whose requests wait too long for their first token counts as backed up.
        StallDetection = "hanging",
        /// Slots that the requests of all nodes occupy at engines are counted.
        SlotCounts = "places",
        /// The scheduler remembers which prompt prefixes each engine has cached.
        PrefixIndex = "holdings",
        /// An engine fetches a cached prefix from another one.
        PrefixFetch = "fetching",
        /// Long answers that may run only once have a copy at another engine, which continues them.
        Backup = "backups",
        /// A prompt is weighed against the streams that run at an engine now.
        StreamWeight = "stream-weight",
        /// The longest streams run at the engines that are the last to leave their group.
        LongStreams = "long-streams",
        /// Servers that fail some of their requests are chosen less often.
        FailureRate = "faults",
        /// The rates at which engines prefill are measured; otherwise all have the assumed one.
        MeasuredRates = "measured-rates",
        /// How long an engine caches a prefix follows from its memory; otherwise it is a fixed time.
        CacheMemory = "cache-memory",
        /// Requests are refused by the fair shares of the fleet while its engines are overloaded.
        Overload = "overload",
    }
}

/// Which mechanisms are on; all are by default. Stores those that are off as a bit set.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Switches(u32);

impl Switches {
    pub(crate) fn turn_off(&mut self, mechanism: Mechanism) {
        self.0 |= 1 << mechanism as u32;
    }

    /// Whether a mechanism is on.
    pub(crate) fn is_on(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u32) == 0
    }
}
