//! The leader's loop of a placement group: decide, agree, then act.

use super::{Control, policy::placement_policy};
use cyclamenloft_placement::{Command, Receipt, Scheduler, Timestamp};
use cyclamenloft_types::{Error, ErrorKind, Result};
use std::{rc::Rc, time::Duration};

/// Time between rounds of decisions when nothing happens.
const TICK: Duration = Duration::from_millis(200);
/// Pause after this replica lost the lead or could not commit.
const FOLLOW_PAUSE: Duration = Duration::from_millis(50);

/// Leads the placement group whenever this replica is its leader.
pub(crate) async fn lead(control: Rc<Control>) {
    loop {
        let now = Timestamp::read();
        if !control.placement.leads(now.instant) {
            control.scheduler.replace(None);
            compio::time::sleep(FOLLOW_PAUSE).await;
            continue;
        }
        let seen = control.due.seen();
        let led = match ensure_scheduler(&control).await {
            Ok(()) => decide(&control).await,
            Err(e) => Err(e),
        };
        if let Err(e) = led {
            tracing::info!(error = %e, "placement decisions wait");
            compio::time::sleep(FOLLOW_PAUSE).await;
            continue;
        }
        // Whether something happened or the tick is over, the next round is due.
        let _ = compio::time::timeout(TICK, control.due.changed(seen)).await;
    }
}

/// Creates the scheduler once this replica has applied all that its
/// predecessors committed.
async fn ensure_scheduler(control: &Control) -> Result<()> {
    if control.scheduler.borrow().is_some() {
        return Ok(());
    }
    control.placement.barrier().await?;
    let policy = placement_policy(control.board.checked().deployment(), &control.domain);
    let now = Timestamp::read();
    let scheduler = control.placement.state(|state| Scheduler::lead(policy, state, now));
    control.scheduler.replace(Some(scheduler));
    control.orders.notify();
    tracing::info!(domain = %control.domain, "leading the placement group");
    Ok(())
}

async fn decide(control: &Control) -> Result<()> {
    let policy = placement_policy(control.board.checked().deployment(), &control.domain);
    let commands = with_scheduler(control, |scheduler| {
        scheduler.set_policy(policy);
        control.placement.state(|state| scheduler.tick(state, Timestamp::read()))
    })?;
    for command in commands {
        commit(control, command).await?.ok();
    }
    Ok(())
}

/// Runs `f` on the scheduler while this replica surely leads.
///
/// # Errors
///
/// [`ErrorKind::NotLeader`] where it doesn't.
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
/// The command was not committed, or may not have been. A receipt that is an
/// error means that the group refused the change.
pub(crate) async fn commit(control: &Control, command: Command) -> Result<Receipt> {
    let receipt = control.placement.propose(command.clone()).await?;
    if let Some(scheduler) = control.scheduler.borrow_mut().as_mut() {
        control.placement.state(|state| scheduler.committed(state, &command));
    }
    control.orders.notify();
    control.due.notify();
    Ok(receipt)
}
