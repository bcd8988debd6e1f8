//! A service of workers, its leader and its callers in virtual time.
//!
//! Long-running work is modeled by what it leaves: the room of each worker, which changes with
//! time. Callers behave as the users state: a refused one returns after the stated delay, up to
//! four times, unless its result would then be worth nothing, and gives up at three times its
//! objective, which counts from its first request.

use cyclamenloft_placement::submission::{
    Command, CommandResult, EndReason, Fleet, IncarnationId, ListedRun, Observation, OrderKind,
    Phase, RunEnd, Step, Submission, SubmissionState, TaskId, WorkerInfo, WorkerReport,
    backlog::{Assessment, CheckedStart, USEFUL_OBJECTIVES},
    fleet::OrderAnswer,
    load_policy::LoadPolicy,
    planner::{self, Timing},
    routes::QueuePolicy,
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::Resources;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Time that passes with each tick.
pub const TICK_MS: u64 = 50;
/// Wall clock at the start.
const WALL_MS: u64 = 1_000_000;
/// Requests of one caller: the first and four retries.
const MAX_REQUESTS: u32 = 5;

/// A deterministic generator of random numbers (splitmix64).
#[derive(Clone, Debug)]
pub struct Random(pub u64);

impl Random {
    /// Returns the next number.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number from 0 up to, but without, 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

impl Random {
    /// Returns a number from `from` to `to`, both included.
    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.next() % (to - from + 1)
    }
}

/// What a caller submits.
#[derive(Clone, Debug)]
pub struct Job {
    /// Queue.
    pub queue: &'static str,
    /// Service of the queue.
    pub service: &'static str,
    /// Number of tasks of each step.
    pub tasks: u16,
    /// Number of steps, each of which depends on the one before.
    pub steps: u16,
    /// Processor need of a task, in thousandths of a core.
    pub cpu_millis: u32,
    /// The client's estimate of a task.
    pub estimate_ms: u32,
    /// Actual time of a task.
    pub run_ms: u64,
    /// Time added to the estimates for the objective.
    pub target_ms: u32,
    /// Label that workers must have.
    pub label: Option<&'static str>,
}

impl Job {
    /// Returns a short submission as on the measured day.
    pub fn short() -> Self {
        Self {
            queue: "host/short/",
            service: "pool",
            tasks: 10,
            steps: 2,
            cpu_millis: 1_800,
            estimate_ms: 500,
            run_ms: 640,
            target_ms: 500,
            label: None,
        }
    }

    /// Returns the policy of the job's queue.
    pub fn policy(&self) -> QueuePolicy {
        QueuePolicy {
            service: self.service.into(),
            priority: 0,
            max_attempts: 3,
            slack_millis: 1_500,
            target_ms: self.target_ms,
            advisor: None,
        }
    }

    /// Returns the submission with this id.
    pub fn submission(&self, id: u64) -> Submission {
        let step = |s: u16| Step {
            count: self.tasks,
            demand: Resources::new(self.cpu_millis, 100, 0),
            estimate_ms: self.estimate_ms,
            depends_on: s.checked_sub(1).into_iter().collect(),
            label: self.label.map(Box::from),
            ..Step::default()
        };
        Submission {
            id,
            queue: self.queue.into(),
            payload: "".into(),
            steps: (0..self.steps).map(step).collect(),
            first_due_ms: 0,
            interval_ms: 0,
            occurrences: 1,
        }
    }
}

/// How a caller fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The submission ended within its objective.
    InTime,
    /// The submission ended within three times its objective.
    Useful,
    /// The caller gave up after a refusal.
    Refused,
    /// The submission was accepted, and its caller gave up waiting.
    Unserved,
}

/// One caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// What it submits.
    pub job: Job,
    /// Time of its first request.
    pub first_ms: u64,
    /// Times of its requests that were refused.
    pub refused_ms: Vec<u64>,
    /// Delay that the last refusal stated.
    pub retry_ms: u64,
    /// Time at which it was accepted.
    pub accepted_ms: Option<u64>,
    /// Time of the first start.
    pub started_ms: Option<u64>,
    /// How it fared, once that is known.
    pub outcome: Option<Outcome>,
}

impl Caller {
    fn timing(&self) -> Timing {
        Timing::of(&self.job.submission(0), &self.job.policy())
    }

    /// Returns the time at which the result is worth nothing any more.
    pub fn useful_until(&self) -> u64 {
        let useful = self.timing().objective * USEFUL_OBJECTIVES;
        self.first_ms + u64::try_from(useful.as_millis()).unwrap()
    }

    fn objective_ms(&self) -> u64 {
        self.first_ms + u64::try_from(self.timing().objective.as_millis()).unwrap()
    }
}

#[derive(Clone, Copy, Debug)]
struct Running {
    attempt: u32,
    ends_ms: u64,
}

/// The service.
pub struct Service {
    pub state: SubmissionState,
    pub fleet: Fleet,
    pub callers: BTreeMap<u64, Caller>,
    /// Predictions that were checked.
    pub checked: Vec<CheckedStart>,
    /// Workers that can't be called.
    pub cut: BTreeSet<IncarnationId>,
    /// Whether the leader plans.
    pub plans: bool,
    load_policy: LoadPolicy,
    base: Instant,
    now_ms: u64,
    index: u64,
    /// Requests by time.
    requests: BTreeMap<u64, Vec<u64>>,
    running: BTreeMap<IncarnationId, BTreeMap<TaskId, Running>>,
    ended: BTreeMap<IncarnationId, Vec<RunEnd>>,
    infos: BTreeMap<IncarnationId, WorkerInfo>,
}

impl Service {
    /// Creates a service of `workers` workers with `cores` free cores each.
    pub fn new(workers: u32, cores: u32, refuse_late: bool) -> Self {
        let base = Instant::now();
        let load_policy = LoadPolicy { refuse_late, ..LoadPolicy::default() };
        let mut service = Self {
            state: SubmissionState::default(),
            fleet: Fleet::new(Duration::from_secs(6), base),
            callers: BTreeMap::new(),
            checked: Vec::new(),
            cut: BTreeSet::new(),
            plans: true,
            load_policy,
            base,
            now_ms: 0,
            index: 0,
            requests: BTreeMap::new(),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            infos: BTreeMap::new(),
        };
        service.fleet.load_policy = load_policy;
        for n in 0..workers {
            service.join(n, "pool", cores, &["r1"]);
        }
        service
    }

    /// Adds a worker.
    pub fn join(&mut self, n: u32, pool: &str, cores: u32, labels: &[&str]) {
        let info = WorkerInfo {
            id: format!("w{n}").into(),
            started_ms: 1,
            service: pool.into(),
            addr: format!("10.0.{}.{}:80", n / 200, 1 + n % 200).parse().unwrap(),
            domain: "d1".into(),
            rack: "r1".into(),
            labels: labels.iter().map(|l| (*l).into()).collect(),
            capacity: Resources::new(cores * 1_000, 640_000, 0),
            machine: None,
            draining: false,
            leaving: false,
        };
        self.apply(&Command::Register(info.clone()));
        let (id, _) = self.state.newest_incarnation(&info.id).unwrap();
        self.infos.insert(id, info);
    }

    pub fn apply(&mut self, command: &Command) -> CommandResult {
        self.index += 1;
        self.state.apply(self.index, command)
    }

    pub fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub fn wall_ms(&self) -> u64 {
        WALL_MS + self.now_ms
    }

    /// Sets the room that long-running work leaves on each worker of a service.
    pub fn set_room(&mut self, pool: &str, cores: u32) {
        let sequence = self.now_ms + 1;
        for (id, mut worker) in self.infos.clone() {
            if *worker.service == *pool {
                worker.capacity.cpu_millis = cores * 1_000;
                self.infos.insert(id, worker.clone());
                self.apply(&Command::Report(WorkerReport { worker, sequence }));
            }
        }
    }

    /// Elects another leader, whose only knowledge is the replicated state.
    pub fn elect(&mut self) {
        self.fleet = Fleet::new(Duration::from_secs(6), self.now());
        self.fleet.load_policy = self.load_policy;
    }

    /// Adds a caller whose first request is at `at_ms`. Returns the id of its submission.
    pub fn call(&mut self, at_ms: u64, job: &Job) -> u64 {
        // Ids are chosen by clients, so their order must not matter.
        let id = Random(self.callers.len() as u64).next();
        let caller = Caller {
            job: job.clone(),
            first_ms: at_ms,
            refused_ms: Vec::new(),
            retry_ms: 0,
            accepted_ms: None,
            started_ms: None,
            outcome: None,
        };
        self.callers.insert(id, caller);
        self.requests.entry(at_ms).or_default().push(id);
        id
    }

    /// Sends a caller's request now and returns the decision.
    pub fn request(&mut self, id: u64) -> Assessment {
        let job = self.callers[&id].job.clone();
        let (submission, policy) = (job.submission(id), job.policy());
        let (now, now_ms, wall_ms) = (self.now(), self.now_ms, self.wall_ms());
        let assessment = self.fleet.assess(&self.state, &submission, &policy, now, wall_ms);
        let caller = self.callers.get_mut(&id).unwrap();
        match assessment {
            Assessment::Accepted { backdated } => {
                caller.accepted_ms.get_or_insert(now_ms);
                let at_ms = wall_ms - u64::try_from(backdated.as_millis()).unwrap();
                self.apply(&Command::Submit { submission, policy, at_ms });
            }
            Assessment::Refused(figures) => {
                assert_eq!(caller.accepted_ms, None, "an accepted submission was refused");
                caller.refused_ms.push(now_ms);
                caller.retry_ms = 1_000 * u64::from(figures.retry_after_s);
                let again = now_ms + caller.retry_ms;
                let requests = u32::try_from(caller.refused_ms.len()).unwrap();
                if requests < MAX_REQUESTS && again < caller.useful_until() {
                    self.requests.entry(again).or_default().push(id);
                } else {
                    caller.outcome = Some(Outcome::Refused);
                }
            }
        }
        assessment
    }

    /// Runs the service until `until_ms`.
    pub fn run(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.tick();
        }
    }

    /// Lets one tick pass.
    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        let later = self.requests.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.requests, later);
        for id in due.into_values().flatten() {
            self.request(id);
        }
        self.give_up();
        self.end_runs();
        if self.plans {
            self.observe();
            let (now, wall_ms) = (self.now(), self.wall_ms());
            let placed = planner::plan(&self.state, &mut self.fleet, now, wall_ms);
            self.apply(&Command::Place(placed));
            self.start();
        }
        if self.now_ms.is_multiple_of(1_000) {
            let (state, now) = (&self.state, self.now());
            let phase = |id| state.record(id).map(|r| r.phase);
            self.fleet.backlog.check_waiting(phase, now);
        }
        self.checked.extend(self.fleet.backlog.take_checked());
    }

    /// Cancels the submissions whose results are worth nothing any more.
    fn give_up(&mut self) {
        let now_ms = self.now_ms;
        let waits = |c: &Caller| c.outcome.is_none() && c.accepted_ms.is_some();
        let over = self.callers.iter().filter(|(_, c)| waits(c) && now_ms >= c.useful_until());
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for id in &over {
            self.callers.get_mut(id).unwrap().outcome = Some(Outcome::Unserved);
        }
        if !over.is_empty() {
            self.apply(&Command::Cancel(over));
        }
    }

    fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        for (id, runs) in &mut self.running {
            let state = &self.state;
            runs.retain(|task, run| {
                let open = state.record(task.submission).is_some_and(|r| r.phase == Phase::Open);
                let reason = match (now_ms >= run.ends_ms, open) {
                    (true, _) => EndReason::Done,
                    (false, false) => EndReason::Stopped,
                    (false, true) => return true,
                };
                let (task, attempt) = (*task, run.attempt);
                let end = RunEnd { task, attempt, reason, checkpoint: "".into() };
                self.ended.entry(*id).or_default().push(end);
                false
            });
        }
    }

    fn observe(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let ids: Vec<IncarnationId> = self.infos.keys().copied().collect();
        for id in ids {
            self.fleet.poll_sent(id, Duration::ZERO, now);
            if self.cut.contains(&id) {
                self.fleet.unreachable(id, now);
                continue;
            }
            let listed = |(task, run): (&TaskId, &Running)| ListedRun {
                task: *task,
                attempt: run.attempt,
                checkpoint: "".into(),
                percent: u8::try_from(now_ms / 20 % 100).unwrap(),
                metric: 1_000,
            };
            let running = self.running.get(&id).into_iter().flatten().map(listed).collect();
            let ended = self.ended.remove(&id).unwrap_or_default();
            let seen =
                Observation { started_ms: 1, clock_ms: now_ms, running, ended, is_partial: false };
            let ends = self.fleet.observe(&self.state, id, &seen, now, now);
            if ends.is_empty() {
                continue;
            }
            let outcome = self.apply(&Command::Ended { incarnation: id, ends });
            let CommandResult::Over(over) = outcome else { continue };
            for submission in over {
                let Some(caller) = self.callers.get_mut(&submission) else { continue };
                if self.state.record(submission).unwrap().phase == Phase::Complete {
                    let in_time = now_ms <= caller.objective_ms();
                    let outcome = if in_time { Outcome::InTime } else { Outcome::Useful };
                    caller.outcome.get_or_insert(outcome);
                }
            }
        }
    }

    /// Sends the orders that are due.
    fn start(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let ids: Vec<IncarnationId> = self.infos.keys().copied().collect();
        for id in ids.into_iter().filter(|id| !self.cut.contains(id)) {
            while let Some(order) = self.fleet.next_order(&self.state, id, now) {
                self.fleet.order_sent(id, order, now);
                if order.kind == OrderKind::Start {
                    let caller = self.callers.get_mut(&order.task.submission).unwrap();
                    caller.started_ms.get_or_insert(now_ms);
                    let ends_ms = now_ms + caller.job.run_ms;
                    let run = Running { attempt: order.attempt, ends_ms };
                    self.running.entry(id).or_default().insert(order.task, run);
                }
                self.fleet.answered(id, order, OrderAnswer::Taken, now);
            }
        }
    }

    /// Returns the number of callers with this outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.callers.values().filter(|c| c.outcome == Some(outcome)).count()
    }

    /// Returns the number of callers that were refused at least once.
    pub fn refused(&self) -> usize {
        self.callers.values().filter(|c| !c.refused_ms.is_empty()).count()
    }
}
