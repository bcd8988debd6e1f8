//! The leader's work on maintenance waves: it sends maintenance orders to the
//! machine service and checks which machines are back up.

use crate::{
    leader::Leadership,
    node::{Node, wall_ms},
    port::{MaintenanceAnswer, MaintenanceCall, Port},
};
use cyclamenloft_placement::submission::{
    Command, CommandResult,
    fleet::MaintenanceOrder,
    waves::{MachineId, Maintenance, WaveNumber},
};
use cyclamenloft_types::{Result, Term};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

/// Time between two rounds while a wave is in progress.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks for a wave while none is in progress.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two listings of the machines.
const LISTING_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a call to the machine service counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after an order was refused because of a higher fencing token. The
/// platform tolerates only a few more orders from a former leader.
const FENCED_PAUSE: Duration = Duration::from_secs(10);

/// The leader's knowledge of the machines during one term.
#[derive(Default)]
struct TermState {
    token: Term,
    /// Time at which the maintenance of each machine was first known to have
    /// begun.
    begun: BTreeMap<MachineId, Instant>,
    /// Time at which the machines were last listed; `None` before the first
    /// time.
    listed_at: Option<Instant>,
    /// Time until which no orders are sent, after one was refused because of a
    /// higher fencing token.
    fenced_until: Option<Instant>,
}

/// Advances the waves whenever this replica leads.
pub(crate) async fn run<P: Port>(node: Rc<Node<P>>) {
    let mut term_state = TermState::default();
    loop {
        let open = node.state(|s| s.waves().any(|w| !w.is_complete()));
        let leadership = node.leading().filter(|_| open);
        let Some(leadership) = leadership else {
            compio::time::sleep(IDLE_INTERVAL).await;
            continue;
        };
        if term_state.token != leadership.token {
            term_state = TermState { token: leadership.token, ..TermState::default() };
        }
        if let Err(e) = term_state.run_round(&node, &leadership).await {
            tracing::info!(event = "upkeep-round-failed", error = %e);
        }
        compio::time::sleep(ROUND_INTERVAL).await;
    }
}

impl TermState {
    async fn run_round<P: Port>(&mut self, node: &Node<P>, leadership: &Leadership) -> Result<()> {
        let now = Instant::now();
        if self.fenced_until.is_some_and(|until| now < until) {
            return Ok(());
        }
        let maintenance = node.settings.maintenance;
        let orders = node
            .state(|s| leadership.fleet.borrow_mut().advance_waves(s, maintenance, now, wall_ms()));
        for order in orders {
            commit_order(node, order).await?;
        }
        let ordered = machines_where(node, |m| matches!(m, Maintenance::Ordered { .. }));
        let calls =
            ordered.iter().map(|(wave, machine)| send_order(node, self.token, *wave, machine));
        for ((wave, machine), answer) in
            ordered.iter().zip(futures_util::future::join_all(calls).await)
        {
            self.record_answer(node, *wave, machine, answer).await?;
        }
        self.check_machines(node, now).await
    }

    async fn record_answer<P: Port>(
        &mut self,
        node: &Node<P>,
        wave: WaveNumber,
        machine: &MachineId,
        answer: MaintenanceAnswer,
    ) -> Result<()> {
        let step = match answer {
            MaintenanceAnswer::Begun => {
                self.begun.insert(machine.clone(), Instant::now());
                Maintenance::Begun
            }
            MaintenanceAnswer::NoMachine | MaintenanceAnswer::NotOfWave => Maintenance::Done,
            MaintenanceAnswer::Fenced => {
                self.fenced_until = Some(Instant::now() + FENCED_PAUSE);
                return Ok(());
            }
            MaintenanceAnswer::Busy | MaintenanceAnswer::Unanswered => return Ok(()),
        };
        commit_step(node, wave, machine, step).await?;
        node.decision_due.notify();
        Ok(())
    }

    /// Checks which of the machines under maintenance are back up or no longer exist.
    async fn check_machines<P: Port>(&mut self, node: &Node<P>, now: Instant) -> Result<()> {
        let down = machines_where(node, |m| m == Maintenance::Begun);
        if down.is_empty() || self.listed_at.is_some_and(|at| now < at + LISTING_INTERVAL) {
            return Ok(());
        }
        self.listed_at = Some(now);
        let machines = match node.port.machines(now + CALL_TIMEOUT).await {
            Ok(machines) => machines,
            Err(e) => {
                tracing::info!(event = "machines-not-listed", error = %e);
                return Ok(());
            }
        };
        let listed: BTreeSet<&str> = machines.iter().map(|m| &*m.machine).collect();
        let up: BTreeSet<&str> = machines.iter().filter(|m| m.up).map(|m| &*m.machine).collect();
        for (wave, machine) in down {
            // A listing may be older than the maintenance, so a machine that it
            // shows as up counts as back only after the duration of the
            // maintenance.
            let since = *self.begun.entry(machine.clone()).or_insert(now);
            let back = up.contains(&*machine) && now >= since + node.settings.maintenance;
            let gone = !listed.contains(&*machine);
            if back || gone {
                let outcome = if back { "back" } else { "gone" };
                commit_step(node, wave, &machine, Maintenance::Done).await?;
                tracing::info!(decision = "upkeep", wave, %machine, outcome);
                node.metrics.count("upkeep", outcome);
            }
        }
        Ok(())
    }
}

/// Returns the machines of all waves whose maintenance satisfies `predicate`.
fn machines_where<P: Port>(
    node: &Node<P>,
    predicate: impl Fn(Maintenance) -> bool,
) -> Vec<(WaveNumber, MachineId)> {
    node.state(|s| {
        let all = s.waves().flat_map(|w| w.machines.iter().map(|(m, u)| (w.number, m, *u)));
        all.filter(|(_, _, u)| predicate(*u))
            .map(|(wave, machine, _)| (wave, machine.clone()))
            .collect()
    })
}

/// Commits a step of a machine's maintenance.
async fn commit_step<P: Port>(
    node: &Node<P>,
    wave: WaveNumber,
    machine: &MachineId,
    step: Maintenance,
) -> Result<CommandResult> {
    node.propose(Command::Maintenance { wave, machine: machine.clone(), step }).await
}

/// Commits that a machine's maintenance is ordered, before the order is sent.
async fn commit_order<P: Port>(node: &Node<P>, order: MaintenanceOrder) -> Result<()> {
    let MaintenanceOrder { wave, machine, incarnation } = order;
    let outcome =
        match commit_step(node, wave, &machine, Maintenance::Ordered { incarnation }).await? {
            CommandResult::Done => "agreed",
            _ => "void",
        };
    tracing::info!(decision = "upkeep", wave, %machine, life = incarnation, outcome);
    Ok(())
}

async fn send_order<P: Port>(
    node: &Node<P>,
    token: Term,
    wave: WaveNumber,
    machine: &MachineId,
) -> MaintenanceAnswer {
    let holder = node.settings.host.clone();
    let call = MaintenanceCall { wave, machine: machine.clone(), holder, token };
    let response = node.port.begin_maintenance(&call, Instant::now() + CALL_TIMEOUT).await;
    let outcome = response.answer;
    tracing::info!(
        decision = "upkeep", wave, %machine, token, ?outcome, detail = %response.detail
    );
    node.metrics
        .count("upkeep", if outcome == MaintenanceAnswer::Begun { "begun" } else { "not-begun" });
    outcome
}
