//! Implements `demo`: runs routers with simulated backend servers in this process under a mixed load.

mod call;
mod cluster;
mod load;
mod mix;
mod table;
mod verdict;

use anyhow::{Context, ensure};

use cluster::Cluster;

/// Runs the demo for a number of seconds. Fails unless every caller got one complete answer, or was
/// refused and its request never ran.
pub fn demo(seconds: u64, keep: bool) -> anyhow::Result<()> {
    actix_rt::System::new().block_on(async {
        let cluster = Cluster::start().await?;
        println!("{}", cluster.describe());
        run_and_verify(&cluster, seconds).await?;
        if keep {
            println!("{}", cluster.curl_command());
            println!("ends with an interrupt (control-C)");
            tokio::signal::ctrl_c().await.context("can't wait for an interrupt")?;
        }
        Ok(())
    })
}

/// Sends the load, prints the results, and fails if a caller was told something untrue.
async fn run_and_verify(cluster: &Cluster, seconds: u64) -> anyhow::Result<()> {
    let records = load::send_load(cluster, seconds).await;
    println!("{}", table::render(&records, cluster));
    let faults: Vec<_> =
        records.iter().filter_map(|r| verdict::find_fault(r, cluster.run_count(r))).collect();
    for fault in &faults {
        eprintln!("{fault}");
    }
    ensure!(
        faults.is_empty(),
        "{} callers got neither one whole answer nor a true refusal",
        faults.len()
    );
    println!("every caller got one whole answer or a true refusal, by the stand-ins' own counts");
    Ok(())
}

#[cfg(test)]
mod tests;
