//! Compares the cost of an entry host's caller path with that of a bare relay.
//!
//! The relay, which is the baseline, uses compio and hyper and makes no routing decisions.
//! Both forward the same requests to the same targets on one serving thread. Each is first
//! saturated to measure its requests per second of CPU time; then both get half of the
//! relay's throughput at saturation to measure latencies. The two alternate in each round,
//! and the medians over the rounds are compared.
//!
//! `cargo bench --bench relay -- ROUNDS SECONDS`

#![allow(clippy::unwrap_used, reason = "a failed unwrap ends the benchmark")]

mod bare_relay;
mod entry;
mod load;
mod target;
mod thread;

use load::{Paced, Saturated};
use std::{net::SocketAddr, time::Duration};
use thread::ServingThread;

/// Number of caller connections, each with one request at a time.
const CALLERS: usize = 32;
/// Number of targets, each with the slots of the default policy.
const TARGETS: usize = 16;
/// Rate at which latencies are measured, as a fraction of the throughput at saturation.
const PACED_RATE_RATIO: f64 = 0.5;

struct Round {
    relay: (Saturated, Paced),
    entry: (Saturated, Paced),
    /// Latencies of the entry host at half of its own throughput at saturation.
    entry_half: Paced,
    /// Latencies of a target that is called directly, at half of the relay's throughput at
    /// saturation.
    direct: Paced,
}

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|arg| arg.parse::<usize>().ok());
    let rounds = args.next().unwrap_or(5);
    let time = Duration::from_secs(args.next().unwrap_or(3) as u64);
    let targets = target::start(TARGETS);
    let relay = bare_relay::start(&targets);
    let entry = entry::start(&targets);
    let rounds: Vec<Round> =
        (0..rounds).map(|n| round(n, &relay, &entry, targets[0], time)).collect();
    report(&rounds);
}

fn round(
    n: usize,
    relay: &ServingThread,
    entry: &ServingThread,
    target: SocketAddr,
    time: Duration,
) -> Round {
    let relay_full = load::saturate(relay, CALLERS, time);
    let entry_full = load::saturate(entry, CALLERS, time);
    let rate = relay_full.per_second * PACED_RATE_RATIO;
    let relay_paced = load::pace(relay.addr, CALLERS, rate, time);
    let entry_paced = load::pace(entry.addr, CALLERS, rate, time);
    let entry_half =
        load::pace(entry.addr, CALLERS, entry_full.per_second * PACED_RATE_RATIO, time);
    let direct = load::pace(target, CALLERS, rate, time);
    println!(
        "round {n}: relay {:.0}/s ({:.0}/core-s), entry {:.0}/s ({:.0}/core-s); at {rate:.0}/s \
         p50/p99: relay {}/{} us, entry {}/{} us, direct {}/{} us",
        relay_full.per_second,
        relay_full.per_core,
        entry_full.per_second,
        entry_full.per_core,
        relay_paced.p50_us,
        relay_paced.p99_us,
        entry_paced.p50_us,
        entry_paced.p99_us,
        direct.p50_us,
        direct.p99_us,
    );
    Round { relay: (relay_full, relay_paced), entry: (entry_full, entry_paced), entry_half, direct }
}

fn report(rounds: &[Round]) {
    let median_of = |pick: fn(&Round) -> f64| median(rounds.iter().map(pick).collect());
    let relay_core = median_of(|r| r.relay.0.per_core);
    let entry_core = median_of(|r| r.entry.0.per_core);
    println!("medians of {} rounds", rounds.len());
    println!("  requests per core-second: relay {relay_core:.0}, entry {entry_core:.0}");
    println!("  ratio: {:.2}", entry_core / relay_core);
    let [relay, entry, entry_half, direct] = [
        (median_of(|r| r.relay.1.p50_us as f64), median_of(|r| r.relay.1.p99_us as f64)),
        (median_of(|r| r.entry.1.p50_us as f64), median_of(|r| r.entry.1.p99_us as f64)),
        (median_of(|r| r.entry_half.p50_us as f64), median_of(|r| r.entry_half.p99_us as f64)),
        (median_of(|r| r.direct.p50_us as f64), median_of(|r| r.direct.p99_us as f64)),
    ];
    println!("  at half of the relay's rate, p50/p99 us: relay {}/{}", relay.0, relay.1);
    println!("    entry {}/{}, p99 ratio {:.2}", entry.0, entry.1, entry.1 / relay.1);
    println!("    direct {}/{}", direct.0, direct.1);
    println!("  entry at half of its own rate: {}/{}", entry_half.0, entry_half.1);
    println!("    p99 ratio {:.2}", entry_half.1 / relay.1);
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
