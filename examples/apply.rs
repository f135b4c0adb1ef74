//! Time and memory to read a tree and to put a change of one workspace in force.
//!
//! `cargo run --release --example apply`

use std::time::{Duration, Instant};

use settings::Effective;

/// Workspaces in one part: a change moves about this many branches.
const PART: usize = 10;
/// Runs of each measure; the median is shown.
const RUNS: usize = 21;

fn workspace(index: usize, weight: usize) -> String {
    let digest = settings::format_digest(&settings::key_digest(&format!("key-{index}")));
    format!(
        "[workspace.w{index}]\nclass = \"c{}\"\nweight = {weight}\nkey_digest = \"{digest}\"\n",
        index % 7
    )
}

fn parts(workspaces: usize, weight: usize) -> Vec<(String, String)> {
    let mut structure = String::from("[region.main]\n[domain.a]\nregion = \"main\"\n");
    for tier in 0..7 {
        structure.push_str(&format!(
            "[tier.t{tier}]\nrank = {tier}\n[class.c{tier}]\ntier = \"t{tier}\"\n"
        ));
    }
    for server in 0..(workspaces * 10 / 6).max(15) {
        structure.push_str(&format!(
            "[server.s{server}]\ndomain = \"a\"\naddress = \"10.0.{}.{}:80\"\nmodels = [\"m\"]\n",
            server / 250,
            server % 250 + 1
        ));
    }
    let mut parts = vec![("structure".to_string(), structure)];
    for first in (0..workspaces).step_by(PART) {
        let last = (first + PART).min(workspaces);
        let text = (first..last).map(|index| workspace(index, if index == 0 { weight } else { 1 }));
        parts.push((format!("workspaces-{first}"), text.collect()));
    }
    parts
}

fn median(mut measure: impl FnMut(usize) -> Duration) -> Duration {
    let mut times: Vec<_> = (0..RUNS).map(&mut measure).collect();
    times.sort_unstable();
    times[RUNS / 2]
}

/// Resident memory of this process in KiB.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn main() {
    println!("workspaces servers bytes whole_ms change_ms share_percent resident_kib");
    for workspaces in [10, 1_000, 6_200] {
        let before = resident();
        let texts = parts(workspaces, 1);
        let bytes: usize = texts.iter().map(|(_, text)| text.len()).sum();
        let first = Effective::build(1, &texts, None).expect("a good tree");
        let held = resident().saturating_sub(before);
        let whole = median(|_| {
            let start = Instant::now();
            let built = Effective::build(1, &texts, None);
            let time = start.elapsed();
            assert!(built.is_ok());
            time
        });
        let mut shared = 0;
        let change = median(|run| {
            let texts = parts(workspaces, run + 2);
            let start = Instant::now();
            let next = Effective::build(2, &texts, Some(&first)).expect("a good tree");
            let time = start.elapsed();
            let same = |key, held| std::rc::Rc::ptr_eq(held, &next.workspaces[key]);
            shared = first.workspaces.iter().filter(|(key, held)| same(*key, *held)).count();
            time
        });
        println!(
            "{workspaces} {} {bytes} {:.2} {:.3} {:.1} {held}",
            first.servers.len(),
            whole.as_secs_f64() * 1e3,
            change.as_secs_f64() * 1e3,
            shared as f64 * 100.0 / workspaces as f64,
        );
    }
}
