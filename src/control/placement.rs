//! The leader's loop of a placement group: it makes decisions, commits them, and
//! then queues the orders that follow from them.

use super::{Control, policy::placement_policy};
use cyclamenloft_placement::{Command, CommandResult, PlacementState, Scheduler, Timestamp};
use cyclamenloft_types::{Error, ErrorKind, Result};
use futures_util::future::join_all;
use std::{rc::Rc, time::Duration};

/// The time between two rounds of decisions while the state doesn't change.
const TICK: Duration = Duration::from_millis(200);
/// The pause while this replica is not the leader or after it could not commit.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Makes placement decisions whenever this replica leads the placement group.
pub(crate) async fn run_leader_loop(control: Rc<Control>) {
    loop {
        let now = Timestamp::now();
        if !control.placement.leads(now.instant) {
            control.scheduler.replace(None);
            compio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let seen = control.state_changed.change_count();
        let result = match ensure_scheduler(&control).await {
            Ok(()) => decide(&control).await,
            Err(e) => Err(e),
        };
        if let Err(e) = result {
            tracing::info!(error = %e, "placement decisions wait");
            compio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        // The next round starts after a change or after the tick.
        let _ = compio::time::timeout(TICK, control.state_changed.changed(seen)).await;
    }
}

/// If there is no scheduler, waits until this replica has applied everything that earlier
/// leaders committed, and then creates it.
async fn ensure_scheduler(control: &Control) -> Result<()> {
    if control.scheduler.borrow().is_some() {
        return Ok(());
    }
    control.placement.barrier().await?;
    let policy = placement_policy(control.active_config.checked().deployment(), &control.domain);
    let now = Timestamp::now();
    let scheduler = control.placement.state(|state| Scheduler::new(policy, state, now));
    control.scheduler.replace(Some(scheduler));
    control.orders_queued.notify();
    tracing::info!(domain = %control.domain, "leading the placement group");
    Ok(())
}

/// Makes the decisions that are due and proposes them. With early visibility,
/// decisions use entries that are not durable yet, and the next round doesn't wait
/// for them. Either way, workers receive a decision only after it is committed.
async fn decide(control: &Rc<Control>) -> Result<()> {
    let policy = placement_policy(control.active_config.checked().deployment(), &control.domain);
    let commands = with_scheduler(control, |scheduler| {
        scheduler.set_policy(policy);
        let tick = |state: &PlacementState| scheduler.tick(state, Timestamp::now());
        match control.early_visibility {
            true => control.placement.speculative_state(tick),
            false => control.placement.state(tick),
        }
    })?;
    // Proposals enter the log in the order in which they are first polled.
    if control.early_visibility {
        for command in commands {
            compio::runtime::spawn(commit_in_background(control.clone(), command)).detach();
        }
        return Ok(());
    }
    let pending = commands.into_iter().map(|command| commit(control, command));
    for committed in join_all(pending).await {
        // The inner result is an error if another change was committed first and made the
        // decision invalid.
        committed?.ok();
    }
    Ok(())
}

async fn commit_in_background(control: Rc<Control>, command: Command) {
    if let Err(e) = commit(&control, command).await {
        tracing::info!(error = %e, "a decision was not committed");
    }
}

/// Runs `f` on the scheduler if this replica is certain to lead the group.
///
/// # Errors
///
/// Returns [`ErrorKind::NotLeader`] otherwise.
pub(crate) fn with_scheduler<R>(
    control: &Control,
    f: impl FnOnce(&mut Scheduler) -> R,
) -> Result<R> {
    let leads = control.placement.leads(std::time::Instant::now());
    let mut scheduler = control.scheduler.borrow_mut();
    match scheduler.as_mut().filter(|_| leads) {
        Some(scheduler) => Ok(f(scheduler)),
        None => Err(Error::new(
            ErrorKind::NotLeader,
            format!("{} does not lead the placement group of {}", control.host, control.domain),
        )),
    }
}

/// Commits a command, then queues the orders that follow from it.
///
/// # Errors
///
/// Returns an error if the command was not or may not have been committed. The
/// `CommandResult` is an error if the command was committed but is invalid in the current
/// state.
pub(crate) async fn commit(control: &Control, command: Command) -> Result<CommandResult> {
    let result = control.placement.propose(command.clone()).await?;
    if let Some(scheduler) = control.scheduler.borrow_mut().as_mut() {
        control.placement.state(|state| scheduler.on_committed(state, &command));
    }
    control.orders_queued.notify();
    control.state_changed.notify();
    Ok(result)
}
