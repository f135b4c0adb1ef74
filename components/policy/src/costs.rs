//! The terms of an engine's cost for a request.

derives::data! {
    /// What a request is expected to cost at an engine, by term, each in seconds of engine time.
    #[derive(Copy, Default)]
    pub struct Costs {
        /// Prefill, or fetch, of what the engine is known to lack.
        pub prefill: f64,
        /// One more copy of the prefix, which evicts others.
        pub duplication: f64,
        /// Prefill that is queued there.
        pub queue: f64,
        /// Expected wait beyond a fraction of the first-token target.
        pub lateness: f64,
        /// Reaching another region.
        pub cross_region: f64,
        /// Serving a request of one isolation group at an engine of another, or disturbing its streams.
        pub isolation: f64,
        /// A long stream at the border of its isolation group; negative for a short one.
        pub border: f64,
        /// Using an engine in reserve.
        pub reserve: f64,
        /// Pauses of a steady stream while other prompts are prefilled.
        pub stutter: f64,
        /// Delay of the other requests that this node has there.
        pub concurrency: f64,
        /// Requests that the engine is expected to fail.
        pub failures: f64,
        /// Opening a connection.
        pub connection: f64,
        /// Leaving the preferred engine of the session.
        pub not_preferred: f64,
    }
}

impl Costs {
    /// The terms with their names, in the order in which they are added.
    ///
    /// ```
    /// let costs = policy::Costs { queue: 0.5, ..policy::Costs::default() };
    /// assert_eq!(costs.terms()[2], ("queue", 0.5));
    /// ```
    pub fn terms(&self) -> [(&'static str, f64); 13] {
        [
            ("prefill", self.prefill),
            ("duplication", self.duplication),
            ("queue", self.queue),
            ("lateness", self.lateness),
            ("cross region", self.cross_region),
            ("isolation", self.isolation),
            ("border", self.border),
            ("reserve", self.reserve),
            ("stutter", self.stutter),
            ("concurrency", self.concurrency),
            ("failures", self.failures),
            ("connection", self.connection),
            ("not preferred", self.not_preferred),
        ]
    }

    /// The sum of all terms, by which engines are compared. The order of the additions is fixed, so that equal
    /// engines have equal sums.
    ///
    /// ```
    /// let costs = policy::Costs { prefill: 0.25, queue: 0.5, ..policy::Costs::default() };
    /// assert_eq!(costs.total(), 0.75);
    /// ```
    pub fn total(&self) -> f64 {
        self.prefill
            + self.duplication
            + self.queue
            + self.lateness
            + self.cross_region
            + self.isolation
            + self.border
            + self.reserve
            + self.stutter
            + self.concurrency
            + self.failures
            + self.connection
            + self.not_preferred
    }
}
