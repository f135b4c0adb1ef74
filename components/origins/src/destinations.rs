//! Tracks since when each route has led to the same services.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

derives::value! {
    /// A route and the services that it leads to, by the hash of all of that.
    pub struct Destination(pub u64);
}

impl Destination {
    /// The destination of requests for paths below `prefix` at `host`, which are distributed to services by their weights.
    pub fn of<'a>(
        host: &str,
        prefix: &str,
        split: impl IntoIterator<Item = (&'a str, u32)>,
    ) -> Self {
        let mut text = format!("{host}\n{prefix}");
        for (service, weight) in split {
            text.push_str(&format!("\n{service} {weight}"));
        }
        Destination(xxh3_64(text.as_bytes()))
    }
}

#[derive(Clone, Debug)]
struct Route {
    prefix: String,
    destination: Destination,
    since: Instant,
}

/// The routes in force, and since when each has led to where it leads.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use origins::{Destination, Destinations};
///
/// let start = Instant::now();
/// let later = start + Duration::from_secs(5);
/// let route = |service| ("host", "/a/", Destination::of("host", "/a/", [(service, 1)]));
/// let mut destinations = Destinations::default();
/// destinations.set([route("drafts")], start);
/// destinations.set([route("drafts")], later);
/// let followed = |service| destinations.followed(route(service).2, later);
/// assert_eq!(followed("drafts"), Duration::from_secs(5));
/// assert_eq!(followed("desk"), Duration::ZERO);
/// ```
#[derive(Debug, Default)]
pub struct Destinations {
    hosts: HashMap<String, Vec<Route>>,
}

impl Destinations {
    /// Takes over all routes of a revision of the settings: the host and the prefix of each, and where it leads.
    pub fn set<'a>(
        &mut self,
        routes: impl IntoIterator<Item = (&'a str, &'a str, Destination)>,
        now: Instant,
    ) {
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for (host, prefix, destination) in routes {
            let route = Route { prefix: prefix.to_string(), destination, since: now };
            hosts.entry(host.to_string()).or_default().push(route);
        }
        for (host, routes) in &mut hosts {
            let before = self.hosts.remove(host).unwrap_or_default();
            let stays = |prefix: &str| routes.iter().any(|route| route.prefix == prefix);
            let removed: Vec<_> =
                before.iter().filter(|route| !stays(&route.prefix)).cloned().collect();
            for route in routes {
                // Its paths may have been those of a longer prefix.
                let takes_over =
                    removed.iter().any(|removed| removed.prefix.starts_with(&route.prefix));
                let known = before.iter().find(|known| known.destination == route.destination);
                if let Some(known) = known.filter(|_| !takes_over) {
                    route.since = known.since;
                }
            }
        }
        self.hosts = hosts;
    }

    /// For how long a route has led where it leads; zero if it doesn't.
    pub fn followed(&self, destination: Destination, now: Instant) -> Duration {
        let mut routes = self.hosts.values().flatten();
        let route = routes.find(|route| route.destination == destination);
        route.map_or(Duration::ZERO, |route| now.saturating_duration_since(route.since))
    }
}
