//! Measures what a revision of settings costs a node at growing sizes: its text, the time to work it
//! out at first and after a change of one workspace, and the memory it takes.

use std::time::Instant;

use settings::Effective;

/// Backend servers and workspaces.
const SIZES: [(usize, usize); 3] = [(15, 10), (1_000, 620), (10_000, 6_200)];

/// Branches of a part.
const PART: usize = 100;

fn main() -> anyhow::Result<()> {
    println!("servers workspaces | text KiB | first ms | change ms | resident KiB more");
    for (servers, workspaces) in SIZES {
        let mut parts = parts(servers, workspaces);
        let before = resident();
        let began = Instant::now();
        let first = Effective::build(1, &parts, None)?;
        let ms = began.elapsed().as_secs_f64() * 1000.0;
        let more = resident() - before;
        let text = parts.iter().map(|(_, text)| text.len()).sum::<usize>() / 1024;
        let last = parts.len() - 1;
        parts[last].1.push_str("weight = 2\n");
        let began = Instant::now();
        Effective::build(2, &parts, Some(&first))?;
        let change = began.elapsed().as_secs_f64() * 1000.0;
        println!("{servers:7} {workspaces:10} | {text:8} | {ms:8.1} | {change:9.1} | {more:9.0}");
    }
    Ok(())
}

/// Parts of at most a hundred servers or workspaces each.
fn parts(servers: usize, workspaces: usize) -> Vec<(String, String)> {
    let head = "[region.riga]\n[domain.riga-a]\nregion = \"riga\"\n[tier.top]\nrank = 0\n\
                [class.booking]\ntier = \"top\"\n";
    let mut parts = vec![("head".to_string(), head.to_string())];
    let server = |index: usize| {
        let (net, host, model) = (index / 250, index % 250, index % 9);
        format!(
            "[server.engine-{index}]\ndomain = \"riga-a\"\naddress = \"10.0.{net}.{host}:80\"\n\
             models = [\"model-{model}\"]\n"
        )
    };
    let workspace = |index: usize| {
        let digest = format!("{index:064x}");
        format!("[workspace.choir-{index}]\nclass = \"booking\"\nkey_digest = \"{digest}\"\n")
    };
    let mut add = |kind: &str, all: Vec<String>| {
        for (index, texts) in all.chunks(PART).enumerate() {
            parts.push((format!("{kind}-{index}"), texts.concat()));
        }
    };
    add("servers", (0..servers).map(server).collect());
    add("workspaces", (0..workspaces).map(workspace).collect());
    parts
}

/// Resident memory of this process in KiB.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4.0
}
