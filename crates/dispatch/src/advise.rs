//! The leader's calls to the advisor: one question at a time, since the advisor
//! processes the calls of one host in sequence.

use crate::{
    node::{Node, wall_ms},
    port::Port,
};
use cyclamenloft_placement::submission::{advice::Question, planner};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Shortest wait before the next check. Each end of a run asks for one, and a check looks at
/// all open submissions.
const MIN_IDLE_WAIT: Duration = Duration::from_millis(8);
/// Longest wait before the next check whether a step needs tickets. The periodic check is
/// needed because nothing notifies this task when a ticket expires.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(250);
/// Pause after a question that got no valid answer: the advisor may be overloaded.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time that an answer may take beyond the advisor's configured decision time.
const ANSWER_MARGIN: Duration = Duration::from_millis(1_500);

/// Asks the advisor whenever this replica leads and a step needs tickets.
pub(crate) async fn run<P: Port>(node: Rc<Node<P>>) {
    let mut advisor_lost = false;
    loop {
        let change_count = node.decision_due.change_count();
        let question = next_question(&node);
        let Some(question) = question else {
            compio::time::sleep(MIN_IDLE_WAIT).await;
            let _ =
                compio::time::timeout(MAX_IDLE_WAIT, node.decision_due.changed(change_count)).await;
            continue;
        };
        match ask(&node, &question).await {
            Ok(()) if advisor_lost => {
                tracing::info!(event = "advisor-regained");
                advisor_lost = false;
            }
            Ok(()) => {}
            Err(e) => {
                if !advisor_lost {
                    tracing::info!(event = "advisor-lost", error = %e);
                }
                advisor_lost = true;
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn next_question<P: Port>(node: &Node<P>) -> Option<Question> {
    let leadership = node.leading()?;
    let fleet = leadership.fleet.borrow();
    node.state(|s| planner::question(s, &fleet, Instant::now(), wall_ms()))
}

async fn ask<P: Port>(node: &Node<P>, question: &Question) -> cyclamenloft_types::Result<()> {
    let workers: Vec<_> = node.state(|s| {
        let named = question.incarnations.iter().filter_map(|id| Some((*id, s.incarnation(*id)?)));
        named.map(|(id, incarnation)| (id, incarnation.worker.id.clone())).collect()
    });
    let ids: Vec<_> = workers.iter().map(|(_, id)| id.clone()).collect();
    let began = Instant::now();
    let count = u32::try_from(ids.len()).unwrap_or(u32::MAX);
    let stated_ms = question
        .timing
        .decision_ms
        .saturating_add(question.timing.per_worker_ms.saturating_mul(count));
    let until = began + Duration::from_millis(stated_ms.into()) + ANSWER_MARGIN;
    let advice = node.port.advise(question.step, &ids, until).await;
    node.metrics.time("advise", began.elapsed());
    let elapsed_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    let outcome = if advice.is_ok() { "answered" } else { "no-answer" };
    node.metrics.count("advise", outcome);
    let (tickets, valid) = advice.inspect_err(|e| {
        tracing::info!(
            decision = "advise", step = %question.step, workers = ids.len(), elapsed_ms,
            outcome, error = %e
        );
    })?;
    tracing::info!(
        decision = "advise", step = %question.step, workers = ids.len(),
        approved = tickets.len(), elapsed_ms, outcome
    );
    if let Some(leadership) = node.leading() {
        let incarnation = |id: &str| {
            workers.iter().find(|(_, n)| **n == *id).map(|(incarnation, _)| *incarnation)
        };
        let approved =
            tickets.into_iter().filter_map(|(id, ticket)| Some((incarnation(&id)?, ticket)));
        leadership.fleet.borrow_mut().advice.record_answer(
            question,
            approved,
            Instant::now() + valid,
        );
    }
    node.decision_due.notify();
    Ok(())
}
