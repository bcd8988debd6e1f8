//! Sending an idempotent request to a second target while the first works on
//! it for longer than most. The first answer counts; the other attempt is
//! dropped, which closes its connection.

use crate::{exchange::Exchange, gate::Gate, permit::InFlight};
use cyclamenloft_http::Body;
use cyclamenloft_target::{Pool, SendFailure, TargetBody};
use cyclamenloft_types::TargetId;
use futures_util::future::{Either, select};
use http::{Request, Response};
use std::{
    future::Future,
    pin::{Pin, pin},
    sync::Arc,
    time::Instant,
};

/// How the race of the attempts ended.
pub(crate) enum Raced {
    /// The first attempt ended first, in whatever way.
    First(Result<Response<TargetBody>, SendFailure>),
    /// The second target answered first.
    Second(Response<TargetBody>, InFlight),
}

/// Waits for the first attempt, and for a second one where the first takes long.
pub(crate) async fn race(
    exchange: &mut Exchange,
    target: &TargetId,
    first: impl Future<Output = Result<Response<TargetBody>, SendFailure>>,
) -> Raced {
    let mut first = pin!(first);
    let wait = match exchange.outgoing.is_repeatable() {
        true => exchange.gate.hedge_after(&exchange.facts, Instant::now()),
        false => None,
    };
    let Some(wait) = wait else {
        return Raced::First(first.await);
    };
    if let Either::Left((sent, _)) = select(first.as_mut(), pin!(compio::time::sleep(wait))).await {
        return Raced::First(sent);
    }
    let second = pin!(second_attempt(exchange, target));
    match select(first.as_mut(), second).await {
        Either::Left((Ok(response), _)) => Raced::First(Ok(response)),
        Either::Left((Err(failure), second)) => match second.await {
            Some((response, held)) => Raced::Second(response, held),
            None => Raced::First(Err(failure)),
        },
        Either::Right((Some((response, held)), _)) => Raced::Second(response, held),
        Either::Right((None, first)) => Raced::First(wait_on(first).await),
    }
}

async fn wait_on<T>(first: Pin<&mut impl Future<Output = T>>) -> T {
    first.await
}

/// The second attempt; `None` where it is not allowed, or got no answer.
async fn second_attempt(
    exchange: &mut Exchange,
    first: &TargetId,
) -> Option<(Response<TargetBody>, InFlight)> {
    let (gate, pool): (&Arc<Gate>, &Pool) = (&exchange.gate, &exchange.pool);
    let deadline = exchange.facts.deadline;
    let reserved = gate.hedge(&exchange.facts, first, Instant::now())?;
    let to = gate.endpoint(reserved.permit());
    let connection = pool.acquire(to, deadline, Instant::now()).await.ok()?;
    let req: Request<Body> = exchange.outgoing.next(deadline, Instant::now())?;
    let held = reserved.dispatch();
    // A failed second attempt is released as abandoned when `held` is dropped.
    let response = connection.send(req, deadline).await.ok()?;
    Some((response, held))
}
