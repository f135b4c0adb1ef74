//! Applies settings to the scheduler.

use std::collections::BTreeSet;
use std::rc::Rc;

use policy::Scheduler;
use settings::Effective;
use slotmap::{Key, SecondaryMap};
use xxhash_rust::xxh3::xxh3_64;

/// Applies the settings `effective` to the scheduler, and removes what only the previous settings
/// `last` have. What both have alike isn't touched, so that a small change costs little and doesn't
/// affect the queued requests of others.
pub(crate) fn apply_settings(
    scheduler: &mut Scheduler,
    last: Option<&Effective>,
    effective: &Effective,
) {
    scheduler.set_limits(policy::Limits {
        retry_percent: effective.limits.retry_percent,
        retry_burst: policy::RETRY_BURST,
        link_bytes: effective.limits.link_bytes,
    });
    for (key, class) in changed(&effective.classes, last.map(|last| &last.classes)) {
        scheduler.set_class(key, policy_class(class));
    }
    for (key, workspace) in changed(&effective.workspaces, last.map(|last| &last.workspaces)) {
        let servers = workspace.servers.clone();
        let (weight, in_flight) = (workspace.weight, workspace.in_flight);
        scheduler.set_workspace(key, policy::Workspace { weight, in_flight, servers });
    }
    let mut batch = scheduler.change_servers();
    for (key, server) in changed(&effective.servers, last.map(|last| &last.servers)) {
        batch.set(key, policy_server(server));
    }
    let gone = last.into_iter().flat_map(|last| last.servers.keys());
    for key in gone.filter(|key| !effective.servers.contains_key(*key)) {
        batch.remove(key);
    }
    drop(batch);
    let Some(last) = last else { return };
    for key in last.classes.keys().filter(|key| !effective.classes.contains_key(*key)) {
        scheduler.remove_class(key);
    }
    for key in last.workspaces.keys().filter(|key| !effective.workspaces.contains_key(*key)) {
        scheduler.remove_workspace(key);
    }
}

/// The values of `now` that are new or differ from those of `last`.
fn changed<'a, K: Key, T>(
    now: &'a SecondaryMap<K, Rc<T>>,
    last: Option<&'a SecondaryMap<K, Rc<T>>>,
) -> impl Iterator<Item = (K, &'a T)> {
    let same = move |key: K, value: &Rc<T>| {
        last.and_then(|last| last.get(key)).is_some_and(|old| Rc::ptr_eq(old, value))
    };
    now.iter().filter(move |(key, value)| !same(*key, value)).map(|(key, value)| (key, &**value))
}

fn policy_class(class: &settings::Class) -> policy::Class {
    policy::Class {
        tier: class.rank,
        priority: class.rank,
        weight: class.weight,
        first_token: class.first_token,
        token_interval: class.token_interval,
        longest_wait: class.longest_wait,
        queue: class.queue,
        attempts: class.attempts,
    }
}

/// Marks the servers at the addresses that the list of VMs marks as leaving `now`, and removes the mark
/// from those that it marked `before` and no longer does.
pub(crate) fn apply_leaving(
    scheduler: &mut Scheduler,
    effective: &Effective,
    before: &BTreeSet<String>,
    now: &BTreeSet<String>,
) {
    let affected = |address: &String| before.contains(address) || now.contains(address);
    let mut batch = scheduler.change_servers();
    for (key, server) in effective.servers.iter().filter(|(_, server)| affected(&server.address)) {
        let leaving = server.leaving || now.contains(&server.address);
        batch.set(key, policy::Server { leaving, ..policy_server(server) });
    }
}

fn policy_server(server: &settings::Server) -> policy::Server {
    policy::Server {
        region: server.region,
        domain: server.domain,
        salt: xxh3_64(server.name.as_bytes()),
        start: 0,
        slots: server.slots,
        models: server.models.clone(),
        leaving: server.leaving,
        evacuated: false,
        resumes: server.resumes,
        prefill_rate: None,
        cache_tokens: None,
        is_measured: false,
        fetch: None,
        cold_time: None,
        backups: false,
        version: server.version_key,
        serves_until: None,
    }
}
