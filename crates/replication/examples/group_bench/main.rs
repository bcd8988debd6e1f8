//! Measures groups of replicas over loopback TCP, with one thread for each
//! replica.
//!
//! `cargo run --release -p cyclamenloft-replication --example group_bench --
//! SCENARIO`, where the scenario is `throughput`, `visibility`, `failover`,
//! `recovery` or `traffic`.

mod link;
mod node;

use cyclamenloft_replication::{Config, Member, MemberKind, Replica};
use cyclamenloft_types::ReplicaId;
use link::{Link, Network};
use node::{ChangeCounter, LeadershipGained, Load, Node, NodeCommand};
use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, Sender},
    },
    time::{Duration, Instant},
};
use tempfile::TempDir;

const COMMAND_BYTES: usize = 200;
const DELAYS: [Duration; 3] = [Duration::ZERO, Duration::from_millis(4), Duration::from_millis(5)];

struct Group {
    folder: TempDir,
    members: Vec<Member>,
    early: bool,
    network: Network,
    nodes: BTreeMap<ReplicaId, Node>,
    leadership: Receiver<LeadershipGained>,
    leadership_tx: Sender<LeadershipGained>,
}

impl Group {
    fn start(count: u64, delay: Duration, early: bool) -> Self {
        let members: Vec<_> =
            (1..=count).map(|id| Member { id, kind: MemberKind::Voter }).collect();
        let listener =
            || TcpListener::bind("127.0.0.1:0").expect("loopback port must be available");
        let listeners: Vec<_> = members.iter().map(|m| (m.id, listener())).collect();
        let address = |l: &TcpListener| l.local_addr().expect("listener must have an address");
        let network = Network {
            addresses: Arc::new(listeners.iter().map(|(id, l)| (*id, address(l))).collect()),
            delay,
            bytes: Arc::default(),
            messages: Arc::default(),
        };
        let (leadership_tx, leadership) = mpsc::channel();
        let folder = TempDir::new().expect("temporary folder must be created");
        let mut group = Self {
            folder,
            members,
            early,
            network,
            nodes: BTreeMap::new(),
            leadership,
            leadership_tx,
        };
        for (id, listener) in listeners {
            group.start_node(id, listener);
        }
        group
    }

    fn start_node(&mut self, id: ReplicaId, listener: TcpListener) {
        let folder = self.folder.path().join(id.to_string());
        let cfg = Config::new("bench", id, &*self.members, folder).early_visibility(self.early);
        let node = Node::start(id, cfg, listener, self.network.clone(), self.leadership_tx.clone());
        self.nodes.insert(id, node);
    }

    fn restart_node(&mut self, id: ReplicaId) {
        let address = self.network.addresses[&id];
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        };
        self.start_node(id, listener);
    }

    fn leader(&self) -> LeadershipGained {
        self.leadership.recv().expect("a replica must become leader")
    }

    fn run(&self, leader: ReplicaId, load: Load, time: Duration) -> LatencyStats {
        let (done, latencies) = mpsc::channel();
        self.nodes[&leader].send(NodeCommand::Run { load, bytes: COMMAND_BYTES, time, done });
        LatencyStats::new(latencies.recv().expect("load must report its latencies"), time)
    }

    fn stop(self) {
        for node in self.nodes.values() {
            node.send(NodeCommand::Crash);
        }
        for node in self.nodes.into_values() {
            node.join();
        }
    }
}

struct LatencyStats {
    rate: f64,
    sorted: Vec<Duration>,
}

impl LatencyStats {
    fn new(mut latencies: Vec<Duration>, time: Duration) -> Self {
        latencies.sort_unstable();
        Self { rate: latencies.len() as f64 / time.as_secs_f64(), sorted: latencies }
    }

    fn percentile(&self, share: f64) -> Duration {
        let last = self.sorted.len().saturating_sub(1);
        self.sorted.get((last as f64 * share) as usize).copied().unwrap_or_default()
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn throughput() {
    println!("replicas | one way ms | proposers | entries/s | p50 ms | p99 ms");
    for count in [3, 5] {
        for delay in DELAYS {
            let group = Group::start(count, delay, false);
            let (leader, _) = group.leader();
            for proposers in [1, 64] {
                let stats = group.run(leader, Load::Closed(proposers), Duration::from_secs(4));
                println!(
                    "{count} | {} | {proposers} | {:.0} | {:.2} | {:.2}",
                    delay.as_millis(),
                    stats.rate,
                    millis(stats.percentile(0.5)),
                    millis(stats.percentile(0.99))
                );
            }
            group.stop();
        }
    }
}

fn visibility() {
    println!("one way ms | early visibility | load | decisions/s | p50 ms | p99 ms");
    for delay in [DELAYS[0], DELAYS[1]] {
        let both = [Load::DecideApplied, Load::Closed(64)];
        let early = [Load::DecideSpeculative(64), Load::Closed(64)];
        for (enabled, loads) in [(false, both), (true, early)] {
            let group = Group::start(3, delay, enabled);
            let (leader, _) = group.leader();
            for load in loads {
                let stats = group.run(leader, load, Duration::from_secs(4));
                println!(
                    "{} | {enabled} | {load:?} | {:.0} | {:.2} | {:.2}",
                    delay.as_millis(),
                    stats.rate,
                    millis(stats.percentile(0.5)),
                    millis(stats.percentile(0.99))
                );
            }
            group.stop();
        }
    }
}

fn failover() {
    for planned in [false, true] {
        let mut group = Group::start(3, DELAYS[1], false);
        let mut leader = group.leader().0;
        let mut gaps = Vec::new();
        for _ in 0..20 {
            std::thread::sleep(Duration::from_millis(700));
            while let Ok((id, _)) = group.leadership.try_recv() {
                leader = id;
            }
            let node = group.nodes.remove(&leader).expect("leader must be among the nodes");
            let start = Instant::now();
            node.send(if planned { NodeCommand::ShutDown } else { NodeCommand::Crash });
            let (next, at) = group.leader();
            gaps.push(at.saturating_duration_since(start));
            node.join();
            group.restart_node(leader);
            leader = next;
        }
        gaps.sort_unstable();
        let what = if planned { "planned stop" } else { "crash" };
        println!(
            "{what}: 20 times, median {:.0} ms, max {:.0} ms",
            millis(gaps[10]),
            millis(gaps[19])
        );
        group.stop();
    }
}

fn recovery() {
    for changes in [500, 50_000] {
        let folder = TempDir::new().expect("temporary folder must be created");
        let members = [Member { id: 1, kind: MemberKind::Voter }];
        let network = Network {
            addresses: Arc::default(),
            delay: Duration::ZERO,
            bytes: Arc::default(),
            messages: Arc::default(),
        };
        let open = async || {
            let cfg = Config::new("bench", 1, members, folder.path());
            let link = Link::new(network.clone());
            Replica::open(cfg, ChangeCounter::default(), link).await.expect("replica must open")
        };
        let runtime = compio::runtime::Runtime::new().expect("runtime must start");
        runtime.block_on(async {
            let replica = open().await;
            let each = changes / 50;
            let proposer = async || {
                for _ in 0..each {
                    replica.propose(vec![7; COMMAND_BYTES]).await.expect("proposal must succeed");
                }
            };
            futures_util::future::join_all((0..50).map(|_| proposer())).await;
            replica.shut_down().await;
        });
        drop(runtime);
        let runtime = compio::runtime::Runtime::new().expect("runtime must start");
        runtime.block_on(async {
            let start = Instant::now();
            let replica = open().await;
            let time = start.elapsed();
            assert_eq!(replica.state(|counter| counter.changes), changes);
            println!("{changes} changes: open and lead in {:.1} ms", millis(time));
        });
    }
}

/// Returns the CPU time that this process has used.
fn cpu_time() -> Duration {
    const TICKS_PER_SECOND: u64 = 100;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 =
        after_name.split_whitespace().skip(11).take(2).filter_map(|n| n.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

fn traffic() {
    let group = Group::start(3, DELAYS[1], false);
    let (leader, _) = group.leader();
    println!("entries/s | bytes/s | messages/s | processor share of one core, 3 replicas");
    for rate in [0, 5, 140] {
        let time = Duration::from_secs(10);
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let (bytes, messages) = (read(&group.network.bytes), read(&group.network.messages));
        let cpu_before = cpu_time();
        match rate {
            0 => std::thread::sleep(time),
            rate => drop(group.run(leader, Load::Paced(rate), time)),
        }
        let seconds = time.as_secs_f64();
        println!(
            "{rate} | {:.0} | {:.0} | {:.2} %",
            (read(&group.network.bytes) - bytes) as f64 / seconds,
            (read(&group.network.messages) - messages) as f64 / seconds,
            (cpu_time() - cpu_before).as_secs_f64() / seconds * 100.0
        );
    }
    group.stop();
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("throughput") => throughput(),
        Some("visibility") => visibility(),
        Some("failover") => failover(),
        Some("recovery") => recovery(),
        Some("traffic") => traffic(),
        _ => eprintln!("expected throughput, visibility, failover, recovery or traffic"),
    }
}
