//! What a response shows about the process that gave an earlier answer.

derives::value! {
    /// What is known of the process that gave an answer, after the connection of the answer ended.
    pub enum Finding {
        /// It runs, so it closed the connection itself and the answer counts as complete.
        Runs(Proof),
        /// It has ended, so the connection may have been closed in the middle of the answer.
        Ended,
        /// No response showed either in time.
        Unknown,
    }
}

derives::named! {
    /// What shows that a process still runs.
    pub enum Proof {
        /// The response states when its process started, and that hasn't changed.
        Start = "start",
        /// The response came on a connection that was opened while the answer was in progress, so the process at its other
        /// side has run since then.
        Connection = "connection",
        /// The response bears the server's name. That the server was started again under the same name within the time
        /// of a question isn't noticed.
        Name = "name",
        /// A server at the same address responds to a question that names the server, and doesn't say that it is another
        /// one.
        Address = "address",
    }
}

derives::data! {
    /// The process of a server.
    pub struct Process {
        /// Name of the server.
        pub name: String,
        /// When it started, in milliseconds since 1970 by its own clock; none if it doesn't state that when it is asked.
        pub start: Option<u64>,
    }

    /// The response to a question that was sent after an answer's connection had ended.
    #[derive(Default)]
    pub struct Testimony {
        /// Name of the server that gave it, if it states one.
        pub name: Option<String>,
        /// When the process that gave it started, in milliseconds since 1970 by its own clock, if it states that.
        pub start: Option<u64>,
        /// It says that the server which was asked for isn't at this address.
        pub misdirected: bool,
        /// It is the answer to a request, so it shows nothing: it may have been sent before the question arrived.
        pub unrelated: bool,
    }
}

impl Finding {
    /// What the finding shows in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Finding::Runs(proof) => proof.as_str(),
            Finding::Ended => "ended",
            Finding::Unknown => "unknown",
        }
    }

    /// Whether the answer is complete.
    ///
    /// ```
    /// use endings::{Finding, Proof};
    ///
    /// assert!(Finding::Runs(Proof::Start).is_complete());
    /// assert!(!Finding::Unknown.is_complete());
    /// ```
    pub fn is_complete(self) -> bool {
        matches!(self, Finding::Runs(_))
    }
}

impl Process {
    /// What a response to a question shows about this process.
    ///
    /// ```
    /// use endings::{Finding, Process, Proof, Testimony};
    ///
    /// let process = Process { name: "a".to_string(), start: Some(7) };
    /// let testimony = Testimony { start: Some(7), ..Testimony::default() };
    /// assert_eq!(process.judge(&testimony), Finding::Runs(Proof::Start));
    /// assert_eq!(process.judge(&Testimony { start: Some(9), ..testimony }), Finding::Ended);
    /// ```
    pub fn judge(&self, testimony: &Testimony) -> Finding {
        if testimony.unrelated {
            return Finding::Unknown;
        }
        let renamed = testimony.name.as_ref().is_some_and(|name| *name != self.name);
        if testimony.misdirected || renamed {
            return Finding::Ended;
        }
        match (self.start, testimony.start) {
            (Some(known), Some(stated)) if known == stated => Finding::Runs(Proof::Start),
            (Some(_), Some(_)) => Finding::Ended,
            // A server that is starting may decline a question before it can say anything of itself.
            (Some(_), None) => Finding::Unknown,
            (None, _) if testimony.name.is_some() => Finding::Runs(Proof::Name),
            (None, _) => Finding::Runs(Proof::Address),
        }
    }
}
