//! Defines the table of all leaves with their names, types, defaults, scopes and help texts. Parsing,
//! `explain` and `docs/SETTINGS.md` are driven by this table.

use std::fmt;
use std::sync::LazyLock;

use crate::value::{Type, Value};

derives::value! {
    /// Kind of a branch.
    pub enum Kind {
        /// The root, from which all others inherit.
        Deployment,
        /// A region.
        Region,
        /// A failure domain.
        Domain,
        /// A priority tier of classes.
        Tier,
        /// A class of requests.
        Class,
        /// A workspace.
        Workspace,
        /// A backend server.
        Server,
        /// A group of backend servers that run the same build and share settings.
        Engine,
    }
}

impl Kind {
    /// All kinds, in the order in which a tree is resolved.
    pub const ALL: [Kind; 8] = [
        Kind::Deployment,
        Kind::Region,
        Kind::Domain,
        Kind::Engine,
        Kind::Server,
        Kind::Tier,
        Kind::Class,
        Kind::Workspace,
    ];

    /// Returns its name in a tree.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Deployment => "deployment",
            Kind::Region => "region",
            Kind::Domain => "domain",
            Kind::Tier => "tier",
            Kind::Class => "class",
            Kind::Workspace => "workspace",
            Kind::Server => "server",
            Kind::Engine => "engine",
        }
    }

    /// Returns the kind with a name.
    pub fn from_name(word: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == word)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Specification of a leaf.
#[derive(Debug)]
pub struct Spec {
    /// Name in a tree.
    pub name: &'static str,
    /// Type of its value.
    pub value_type: Type,
    /// Value where no branch sets it, in the syntax of a tree; `None` if there is no default.
    pub default: Option<&'static str>,
    /// Kinds of branch that can set it.
    pub scope: &'static [Kind],
    /// Meaning, for the documentation.
    pub help: &'static str,
}

macro_rules! leaves {
    ($($leaf:ident $name:literal $kind:expr, $default:expr, [$($scope:ident)+], $help:literal;)+) => {
        /// A leaf of the tree.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[allow(missing_docs)]
        pub enum Leaf { $($leaf,)+ }

        impl Leaf {
            /// All leaves.
            pub const ALL: &'static [Leaf] = &[$(Leaf::$leaf,)+];
        }

        static TABLE: &[Spec] = &[$(Spec {
            name: $name,
            value_type: $kind,
            default: $default,
            scope: &[$(Kind::$scope,)+],
            help: $help,
        },)+];
    };
}

/// Upper bound of counts that have no bound of their own.
const MAX_COUNT: u64 = u32::MAX as u64;

leaves! {
    Rank "rank" Type::Count(0, 254), None, [Tier], "Rank of the tier; 0 is the highest.";
    Tier "tier" Type::Ref(Kind::Tier), None, [Class], "Tier of the class.";
    Weight "weight" Type::Count(1, 1_000_000), Some("1"), [Tier Class Workspace],
        "Share among the classes of a tier, or among the workspaces of a class.";
    FirstToken "first_token" Type::Time, Some("2s"), [Deployment Tier Class],
        "Target for the first token.";
    TokenInterval "token_interval" Type::Time, Some("100ms"), [Deployment Tier Class],
        "Target between two tokens.";
    LongestWait "longest_wait" Type::Time, Some("30s"), [Deployment Tier Class],
        "Longest time without being served while it waits.";
    Deadline "deadline" Type::Time, Some("60s"), [Deployment Tier Class],
        "An answer is of no use when finished later than this after the request's arrival.";
    Queue "queue" Type::Count(0, MAX_COUNT), Some("1000"), [Deployment Tier Class],
        "Requests that may wait on a node.";
    Attempts "attempts" Type::Count(1, 10), Some("2"), [Deployment Tier Class],
        "Attempts of a request, the first included.";
    Idempotent "idempotent" Type::Flag, Some("true"), [Deployment Tier Class],
        "A request may be run more than once.";
    KeyDigest "key_digest" Type::Digest, None, [Workspace],
        "SHA-256 of the callers' bearer key; `godwitlever digest` makes it.";
    Class "class" Type::Ref(Kind::Class), None, [Deployment Workspace],
        "Class of requests that name none.";
    InFlight "in_flight" Type::Count(1, MAX_COUNT), Some("4294967295"),
        [Deployment Tier Class Workspace], "Requests in flight at once on a node.";
    Servers "servers" Type::Refs(Kind::Server), Some("[]"), [Deployment Tier Class Workspace],
        "Backend servers it may use; all where no branch says it.";
    Regions "regions" Type::Refs(Kind::Region), Some("[]"), [Deployment Tier Class Workspace],
        "Regions in which its requests may be served; all where no branch says it.";
    Region "region" Type::Ref(Kind::Region), None, [Domain], "Region of the failure domain.";
    Domain "domain" Type::Ref(Kind::Domain), None, [Server],
        "Failure domain of the backend server.";
    Engine "engine" Type::Ref(Kind::Engine), None, [Deployment Region Domain Server],
        "Engine branch that the backend server inherits from.";
    Address "address" Type::Address, None, [Server], "IP number and port.";
    Kind "kind" Type::Word(&["engine", "plain"]), Some("\"engine\""),
        [Deployment Region Domain Engine Server], "A model engine or a plain service.";
    Models "models" Type::Texts, None, [Deployment Region Domain Engine Server],
        "Models that an engine serves.";
    Path "path" Type::Path, None, [Engine Server], "Path prefix that a plain service answers.";
    Slots "slots" Type::Count(1, 1_000_000), Some("8"), [Deployment Region Domain Engine Server],
        "Requests that it runs at once.";
    Leaving "leaving" Type::Flag, Some("false"), [Region Domain Engine Server],
        "Takes no new work.";
    Version "version" Type::Text, None, [Deployment Region Domain Engine Server],
        "Version of the models it should hold.";
    Adapters "adapters" Type::Texts, Some("[]"), [Deployment Region Domain Engine Server],
        "Adapters it should hold.";
    Role "role" Type::Word(&["mixed", "prefill", "decode"]), Some("\"mixed\""),
        [Deployment Region Domain Engine Server], "Its part in an answer.";
    Resumes "resumes" Type::Flag, Some("false"), [Deployment Region Domain Engine Server],
        "Goes on with an answer that was begun elsewhere.";
    Fenced "fenced" Type::Flag, Some("false"), [Deployment Region Domain Engine Server],
        "Refuses an order with an old fencing number.";
    Keyed "keyed" Type::Flag, Some("false"), [Deployment Region Domain Engine Server],
        "Runs a call with a known idempotency key at most once by itself.";
    Connections "connections" Type::Count(1, MAX_COUNT), Some("10000"), [Deployment],
        "Connections of callers that a node holds.";
    MaxHead "max_head" Type::Size, Some("16KiB"), [Deployment], "Largest head of a request.";
    HeadTime "head_time" Type::Time, Some("5s"), [Deployment], "Time to send a head.";
    MaxBody "max_body" Type::Size, Some("1MiB"), [Deployment], "Largest body of a request.";
    BodyTime "body_time" Type::Time, Some("10s"), [Deployment], "Time to send a body.";
    SlowReader "slow_reader" Type::Time, Some("60s"), [Deployment],
        "Longest time that a stream waits for its reader.";
    Balancer "balancer" Type::Time, Some("3s"), [Deployment],
        "Time that a draining node's listeners stay open for the balancer to notice.";
    Grace "grace" Type::Time, Some("30s"), [Deployment],
        "Longest time that a drain waits for requests in flight.";
    Connect "connect" Type::Time, Some("1s"), [Deployment],
        "Longest time to connect to a backend server.";
    IdleStream "idle_stream" Type::Time, Some("30s"), [Deployment],
        "Longest silence of a stream from a backend server.";
    RetryPercent "retry_percent" Type::Count(0, 100), Some("10"), [Deployment],
        "Retries as a part of fresh work, in percent.";
    KeyWindow "key_window" Type::Time, Some("10min"), [Deployment],
        "How long a home remembers an idempotency key.";
    Skew "skew" Type::Time, Some("500ms"), [Deployment],
        "Bound on the difference between two clocks.";
    ListLag "list_lag" Type::Time, Some("10s"), [Deployment],
        "Bound on the lag of the list of VMs.";
    LinkRate "link_rate" Type::Rate, Some("1MiB/s"), [Deployment],
        "What a node may send over the link between regions.";
    StoreRate "store_rate" Type::Rate, Some("100MiB/s"), [Deployment],
        "What all loads may take from the weight store.";
    ChangePercent "change_percent" Type::Count(1, 100), Some("20"), [Deployment],
        "Part of a pool that may be in change at once, in percent.";
    CellNodes "cell_nodes" Type::Count(1, 1_000), Some("8"), [Deployment], "Nodes of a cell.";
    CellServers "cell_servers" Type::Count(1, 100_000), Some("100"), [Deployment],
        "Backend servers of a cell at most.";
    Exchange "exchange" Type::Time, Some("500ms"), [Deployment],
        "Time between two exchanges with a peer.";
    ControlRate "control_rate" Type::Rate, Some("2KB/s"), [Deployment],
        "What a node may send for control.";
}

static DEFAULTS: LazyLock<Vec<Option<Value>>> = LazyLock::new(|| {
    let parse = |spec: &Spec| spec.default.and_then(|text| spec.value_type.parse_default(text));
    TABLE.iter().map(parse).collect()
});

impl Leaf {
    /// Returns its specification.
    ///
    /// ```
    /// assert_eq!(settings::Leaf::FirstToken.spec().name, "first_token");
    /// ```
    pub fn spec(self) -> &'static Spec {
        &TABLE[self as usize]
    }

    /// Returns its value where no branch sets it.
    pub fn default(self) -> Option<&'static Value> {
        DEFAULTS[self as usize].as_ref()
    }

    /// Returns the leaf with a name.
    pub fn from_name(name: &str) -> Option<Leaf> {
        Leaf::ALL.iter().copied().find(|leaf| leaf.spec().name == name)
    }

    /// Returns whether a kind of branch can set it.
    pub fn allowed_in(self, kind: Kind) -> bool {
        self.spec().scope.contains(&kind)
    }
}
