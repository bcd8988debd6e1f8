//! Several slot tables in virtual time, with clocks that drift and messages
//! that get lost, delayed, repeated and reordered.

use cyclamenloft_routing::{
    LeaseConfig, SlotMessage, SlotTable,
    slots::{Envelope, Occupancy},
};
use cyclamenloft_types::{HostId, TargetId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::{Duration, Instant};

/// Virtual time between two looks at everything.
pub const STEP: Duration = Duration::from_millis(20);

/// How the network treats each message at each step.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub deliver: f64,
    pub lose: f64,
    pub repeat: f64,
}

pub const GOOD_NETWORK: Network = Network { deliver: 1.0, lose: 0.0, repeat: 0.0 };

/// A request at a target. It goes on when its host dies.
#[derive(Clone, Copy, Debug)]
struct Running {
    host: usize,
    life: u64,
    target: usize,
    ends: Duration,
    long: bool,
}

pub struct Host {
    pub name: HostId,
    /// Speed of its clock.
    rate: f64,
    life: u64,
    pub table: Option<SlotTable>,
    /// Share of steps at which it fills its slots; above a half it also asks for loans.
    pub demand: f64,
    pub cut_off: bool,
}

pub struct World {
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
    /// Whether targets announce how many requests they have, or always none.
    pub counts: bool,
    bag: Vec<(usize, Envelope)>,
    running: Vec<Running>,
    rng: SmallRng,
    /// Most requests that one target had at once.
    pub peak: usize,
}

/// What one host knows of its own requests.
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

    fn idle_targets(&self, most: usize) -> Vec<TargetId> {
        self.counts.iter().filter(|c| c.2 > 0).take(most).map(|c| c.0.clone()).collect()
    }
}

impl World {
    /// `rates` has the speed of each host's clock; a witness comes after the roster.
    pub fn new(rates: &[f64], witness: bool, targets: usize, slots: u16, seed: u64) -> Self {
        let hosts = rates.iter().enumerate().map(|(i, rate)| Host {
            name: format!("h{i}").into(),
            rate: *rate,
            life: 0,
            table: None,
            demand: 0.0,
            cut_off: false,
        });
        let hosts: Vec<_> = hosts.collect();
        let mut roster: Vec<_> = hosts.iter().map(|h| h.name.clone()).collect();
        let witness = if witness { roster.pop() } else { None };
        let mut world = Self {
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
            bag: Vec::new(),
            running: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            peak: 0,
        };
        (0..world.hosts.len()).for_each(|h| world.start(h));
        world
    }

    pub fn now(&self, host: usize) -> Instant {
        self.base + self.time.mul_f64(self.hosts[host].rate)
    }

    pub fn start(&mut self, host: usize) {
        let now = self.now(host);
        let (roster, witness) = (self.roster.clone(), self.witness.clone());
        let h = &mut self.hosts[host];
        h.life += 1;
        let (name, life) = (h.name.clone(), h.life);
        let table = SlotTable::new(name, life, roster, witness, self.slots, self.config, now);
        h.table = Some(table);
    }

    /// Whether requests of any of the host's lives are still running.
    pub fn has_running(&self, host: usize) -> bool {
        self.running.iter().any(|r| r.host == host)
    }

    pub fn kill(&mut self, host: usize) {
        self.hosts[host].table = None;
    }

    fn occupied(&self, host: usize, target: usize, long: bool) -> u16 {
        let life = self.hosts[host].life;
        let own = |r: &&Running| r.host == host && r.life == life && r.target == target;
        self.running.iter().filter(own).filter(|r| r.long || !long).count() as u16
    }

    /// Used and free slots of the host at a target.
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
        let flight = InFlight { counts: counts.collect() };
        let Some(mut table) = self.hosts[host].table.take() else { return };
        let out = f(&mut table, &flight, now);
        self.hosts[host].table = Some(table);
        self.bag.extend(out.into_iter().map(|e| (host, e)));
    }

    /// Sends messages from a host.
    pub fn post(&mut self, from: usize, messages: Vec<Envelope>) {
        self.bag.extend(messages.into_iter().map(|e| (from, e)));
    }

    /// Slots that the host may use at the target.
    pub fn allowance(&self, host: usize, target: usize) -> u16 {
        let table = self.hosts[host].table.as_ref();
        table.map_or(0, |t| t.allowance(&self.targets[target], self.now(host)).total)
    }

    /// Slots that the host may use at all targets.
    pub fn total(&self, host: usize) -> usize {
        (0..self.targets.len()).map(|t| usize::from(self.allowance(host, t))).sum()
    }

    /// Starts as many requests as the host may.
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
                let taken =
                    limit.mul_f64(self.rng.random_range(if short { 0.01..0.1 } else { 0.5..1.0 }));
                let ends = self.time + taken.div_f64(self.hosts[host].rate);
                let life = self.hosts[host].life;
                self.running.push(Running { host, life, target, ends, long });
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

    fn carry(&mut self) {
        for (from, envelope) in std::mem::take(&mut self.bag) {
            let Some(to) = self.hosts.iter().position(|h| h.name == envelope.to) else { continue };
            let cut = self.hosts[from].cut_off || self.hosts[to].cut_off;
            if cut || self.rng.random_bool(self.network.lose) {
                continue;
            }
            if !self.rng.random_bool(self.network.deliver) {
                self.bag.push((from, envelope));
                continue;
            }
            if self.rng.random_bool(self.network.repeat) {
                self.bag.push((from, envelope.clone()));
            }
            let message: SlotMessage = envelope.message;
            self.with_table(to, |table, flight, now| table.handle(message, flight, now));
        }
    }

    /// Lets time pass with everything that goes on in it.
    pub fn pass(&mut self, length: Duration) {
        let end = self.time + length;
        while self.time < end {
            self.time += STEP;
            let time = self.time;
            self.running.retain(|r| r.ends > time);
            if self.time.as_millis() % self.announce_period.as_millis() < STEP.as_millis() {
                self.announce();
            }
            for host in 0..self.hosts.len() {
                let wants = self.hosts[host].demand > 0.5;
                let wanted = if wants { 20 } else { 0 };
                self.with_table(host, |table, flight, now| table.poll(wanted, flight, now));
            }
            self.carry();
            for host in 0..self.hosts.len() {
                if self.rng.random_bool(self.hosts[host].demand) {
                    self.fill(host);
                }
            }
        }
    }
}
