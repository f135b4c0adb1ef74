//! What a response shows about the process that gave an earlier answer.

derives::value! {
    /// The connection on which a server responds to a question.
    pub enum Channel {
        /// It was opened before the answer in question ended, so the process at its other side has run since then.
        Earlier,
        /// It was opened afterwards, perhaps to another process at the same address.
        Later,
    }

    /// What is known of the process that gave an answer, after the connection of the answer ended.
    pub enum Finding {
        /// It runs, so it closed the connection itself and the answer is complete.
        Runs(Proof),
        /// It has ended, so the connection may have been closed in the middle of the answer.
        Ended,
        /// It gave no usable response in time.
        Unknown,
    }
}

derives::named! {
    /// What shows that a process still runs.
    pub enum Proof {
        /// The response states when its process started, and that hasn't changed.
        Start = "start",
        /// The response came on a connection that was opened before the answer ended.
        Connection = "connection",
        /// The response bears the server's name. A process that was started again under the same name within the
        /// time of one question isn't noticed.
        Name = "name",
    }
}

derives::data! {
    /// The process of a server.
    pub struct Process {
        /// Name of the server.
        pub name: String,
        /// When it started, in milliseconds since 1970 by its own clock; none if that isn't known.
        pub start: Option<u64>,
    }

    /// The response to a question that was sent after an answer's connection had ended.
    pub struct Testimony {
        /// The connection on which it came.
        pub channel: Channel,
        /// Name of the server that gave it, if it states one.
        pub name: Option<String>,
        /// When the process that gave it started, in milliseconds since 1970 by its own clock, if it states that.
        pub start: Option<u64>,
        /// It says that the server which was asked for isn't at this address.
        pub misdirected: bool,
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
    /// use endings::{Channel, Finding, Process, Proof, Testimony};
    ///
    /// let process = Process { name: "a".to_string(), start: Some(7) };
    /// let testimony = Testimony {
    ///     channel: Channel::Later,
    ///     name: Some("a".to_string()),
    ///     start: Some(7),
    ///     misdirected: false,
    /// };
    /// assert_eq!(process.judge(&testimony), Finding::Runs(Proof::Start));
    /// assert_eq!(process.judge(&Testimony { start: Some(9), ..testimony }), Finding::Ended);
    /// ```
    pub fn judge(&self, testimony: &Testimony) -> Finding {
        let renamed = testimony.name.as_ref().is_some_and(|name| *name != self.name);
        if testimony.misdirected || renamed {
            return Finding::Ended;
        }
        match (self.start, testimony.start, testimony.channel) {
            (Some(known), Some(stated), _) if known == stated => Finding::Runs(Proof::Start),
            (Some(_), Some(_), _) => Finding::Ended,
            (_, _, Channel::Earlier) => Finding::Runs(Proof::Connection),
            (_, _, Channel::Later) => Finding::Runs(Proof::Name),
        }
    }
}
