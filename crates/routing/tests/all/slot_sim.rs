//! Simulation of several slot tables in virtual time, with clocks that drift and
//! messages that are lost, delayed, duplicated and reordered.

use cyclamenloft_routing::{
    LeaseConfig, SlotMessage, SlotTable,
    slots::{Envelope, Occupancy},
};
use cyclamenloft_types::{HostId, TargetId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::{Duration, Instant};

/// Virtual time of one step of the simulation.
pub const STEP: Duration = Duration::from_millis(20);

/// The probabilities with which the network delivers, loses or duplicates a message
/// in each step.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub deliver: f64,
    pub lose: f64,
    pub repeat: f64,
}

pub const GOOD_NETWORK: Network = Network { deliver: 1.0, lose: 0.0, repeat: 0.0 };

/// A request at a target. It continues when its host is killed.
#[derive(Clone, Copy, Debug)]
struct Running {
    host: usize,
    incarnation: u64,
    target: usize,
    ends: Duration,
    /// Whether the request may outlast a lease, and so uses a floor slot.
    long: bool,
}

pub struct Host {
    pub name: HostId,
    /// Rate of the host's clock relative to virtual time.
    clock_rate: f64,
    incarnation: u64,
    pub table: Option<SlotTable>,
    /// Probability that the host fills its slots in a step. Above 0.5 it also
    /// requests loans.
    pub demand: f64,
    pub is_partitioned: bool,
}

pub struct Simulation {
    base: Instant,
    pub time: Duration,
    pub hosts: Vec<Host>,
    roster: Vec<HostId>,
    witness: Option<HostId>,
    pub targets: Vec<TargetId>,
    pub slots: u16,
    pub config: LeaseConfig,
    pub network: Network,
    pub announce_period: Duration,
    /// Whether targets announce their number of requests; if false, they always
    /// announce zero.
    pub counts: bool,
    in_transit: Vec<(usize, Envelope)>,
    running: Vec<Running>,
    rng: SmallRng,
    /// Maximum number of requests that one target had at the same time.
    pub peak: usize,
}

/// The occupancy of one host: the used and free slots of each target.
struct InFlight<'a> {
    counts: Vec<(&'a TargetId, u16, u16)>,
}

impl Occupancy for InFlight<'_> {
    fn occupied(&self, target: &str) -> u16 {
        self.counts.iter().find(|c| &**c.0 == target).map_or(0, |c| c.1)
    }

    fn free_slots(&self) -> u32 {
        self.counts.iter().map(|c| u32::from(c.2)).sum()
    }

    fn idle_targets(&self, max: usize) -> Vec<TargetId> {
        self.counts.iter().filter(|c| c.2 > 0).take(max).map(|c| c.0.clone()).collect()
    }
}

impl Simulation {
    /// Creates a simulation. `clock_rates` has the clock rate of each host. If
    /// there is a witness, it is the last host.
    pub fn new(clock_rates: &[f64], witness: bool, targets: usize, slots: u16, seed: u64) -> Self {
        let hosts = clock_rates.iter().enumerate().map(|(i, clock_rate)| Host {
            name: format!("h{i}").into(),
            clock_rate: *clock_rate,
            incarnation: 0,
            table: None,
            demand: 0.0,
            is_partitioned: false,
        });
        let hosts: Vec<_> = hosts.collect();
        let mut roster: Vec<_> = hosts.iter().map(|h| h.name.clone()).collect();
        let witness = if witness { roster.pop() } else { None };
        let mut sim = Self {
            base: Instant::now(),
            time: Duration::ZERO,
            hosts,
            roster,
            witness,
            targets: (0..targets).map(|n| format!("t{n}").into()).collect(),
            slots,
            config: LeaseConfig::default(),
            network: GOOD_NETWORK,
            announce_period: Duration::from_millis(500),
            counts: true,
            in_transit: Vec::new(),
            running: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            peak: 0,
        };
        (0..sim.hosts.len()).for_each(|h| sim.start(h));
        sim
    }

    pub fn now(&self, host: usize) -> Instant {
        self.base + self.time.mul_f64(self.hosts[host].clock_rate)
    }

    pub fn start(&mut self, host: usize) {
        let now = self.now(host);
        let (roster, witness) = (self.roster.clone(), self.witness.clone());
        let h = &mut self.hosts[host];
        h.incarnation += 1;
        let (name, incarnation) = (h.name.clone(), h.incarnation);
        let table =
            SlotTable::new(name, incarnation, roster, witness, self.slots, self.config, now);
        h.table = Some(table);
    }

    /// Returns whether requests of any incarnation of the host are still running.
    pub fn has_running(&self, host: usize) -> bool {
        self.running.iter().any(|r| r.host == host)
    }

    pub fn kill(&mut self, host: usize) {
        self.hosts[host].table = None;
    }

    fn occupied(&self, host: usize, target: usize, long: bool) -> u16 {
        let incarnation = self.hosts[host].incarnation;
        let own =
            |r: &&Running| r.host == host && r.incarnation == incarnation && r.target == target;
        self.running.iter().filter(own).filter(|r| r.long || !long).count() as u16
    }

    /// Returns the used and free slots of the host at a target.
    fn count(&self, host: usize, target: usize) -> (u16, u16) {
        let used = self.occupied(host, target, false);
        (used, self.allowance(host, target).saturating_sub(used))
    }

    fn with_table(
        &mut self,
        host: usize,
        f: impl FnOnce(&mut SlotTable, &InFlight<'_>, Instant) -> Vec<Envelope>,
    ) {
        let now = self.now(host);
        let counts: Vec<_> = (0..self.targets.len()).map(|t| self.count(host, t)).collect();
        let counts = self.targets.iter().zip(counts).map(|(id, (used, free))| (id, used, free));
        let in_flight = InFlight { counts: counts.collect() };
        let Some(mut table) = self.hosts[host].table.take() else { return };
        let out = f(&mut table, &in_flight, now);
        self.hosts[host].table = Some(table);
        self.in_transit.extend(out.into_iter().map(|e| (host, e)));
    }

    /// Sends messages on behalf of a host.
    pub fn send(&mut self, from: usize, messages: Vec<Envelope>) {
        self.in_transit.extend(messages.into_iter().map(|e| (from, e)));
    }

    /// Returns the slots that the host may use at the target.
    pub fn allowance(&self, host: usize, target: usize) -> u16 {
        let table = self.hosts[host].table.as_ref();
        table.map_or(0, |t| t.allowance(&self.targets[target], self.now(host)).total)
    }

    /// Returns the slots that the host may use at all targets.
    pub fn total(&self, host: usize) -> usize {
        (0..self.targets.len()).map(|t| usize::from(self.allowance(host, t))).sum()
    }

    /// Starts as many requests as the host's slots allow.
    pub fn fill(&mut self, host: usize) {
        let now = self.now(host);
        for target in 0..self.targets.len() {
            loop {
                let Some(table) = &self.hosts[host].table else { return };
                let allowance = table.allowance(&self.targets[target], now);
                let long = self.rng.random_bool(0.2);
                let fits = self.occupied(host, target, false) < allowance.total
                    && (!long || self.occupied(host, target, true) < allowance.floor);
                if !fits {
                    break;
                }
                let limit =
                    if long { self.config.max_deadline } else { self.config.longest_request };
                let short = self.rng.random_bool(0.7);
                let duration =
                    limit.mul_f64(self.rng.random_range(if short { 0.01..0.1 } else { 0.5..1.0 }));
                let ends = self.time + duration.div_f64(self.hosts[host].clock_rate);
                let incarnation = self.hosts[host].incarnation;
                self.running.push(Running { host, incarnation, target, ends, long });
            }
        }
        self.check();
    }

    fn check(&mut self) {
        for target in 0..self.targets.len() {
            let count = self.running.iter().filter(|r| r.target == target).count();
            self.peak = self.peak.max(count);
            assert!(
                count <= usize::from(self.slots),
                "target {target} of {} slots has {count} requests at {:?}: {:?}",
                self.slots,
                self.time,
                self.running.iter().filter(|r| r.target == target).collect::<Vec<_>>()
            );
        }
    }

    fn announce(&mut self) {
        for target in 0..self.targets.len() {
            let count = self.running.iter().filter(|r| r.target == target).count() as u16;
            let count = if self.counts { count } else { 0 };
            for host in 0..self.hosts.len() {
                let now = self.now(host);
                let lost = self.rng.random_bool(self.network.lose);
                let id = self.targets[target].clone();
                if let (Some(table), false) = (&mut self.hosts[host].table, lost) {
                    table.observe_announcement(&id, count, now);
                }
            }
        }
    }

    fn deliver_messages(&mut self) {
        for (from, envelope) in std::mem::take(&mut self.in_transit) {
            let Some(to) = self.hosts.iter().position(|h| h.name == envelope.to) else { continue };
            let is_partitioned = self.hosts[from].is_partitioned || self.hosts[to].is_partitioned;
            if is_partitioned || self.rng.random_bool(self.network.lose) {
                continue;
            }
            if !self.rng.random_bool(self.network.deliver) {
                self.in_transit.push((from, envelope));
                continue;
            }
            if self.rng.random_bool(self.network.repeat) {
                self.in_transit.push((from, envelope.clone()));
            }
            let message: SlotMessage = envelope.message;
            self.with_table(to, |table, in_flight, now| table.handle(message, in_flight, now));
        }
    }

    /// Advances the time by `length`, step by step.
    pub fn advance(&mut self, length: Duration) {
        let end = self.time + length;
        while self.time < end {
            self.time += STEP;
            let time = self.time;
            self.running.retain(|r| r.ends > time);
            if self.time.as_millis() % self.announce_period.as_millis() < STEP.as_millis() {
                self.announce();
            }
            for host in 0..self.hosts.len() {
                let is_busy = self.hosts[host].demand > 0.5;
                let wanted = if is_busy { 20 } else { 0 };
                self.with_table(host, |table, in_flight, now| table.poll(wanted, in_flight, now));
            }
            self.deliver_messages();
            for host in 0..self.hosts.len() {
                if self.rng.random_bool(self.hosts[host].demand) {
                    self.fill(host);
                }
            }
        }
    }
}
