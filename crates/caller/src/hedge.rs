//! Hedging: sends an idempotent request to a second target if the first takes
//! longer than most requests do. The first response wins; the other attempt is
//! dropped, which closes its connection.

use crate::{exchange::Exchange, gate::Gate, permit::InFlightSlot};
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

/// The result of the race between the attempts.
pub(crate) enum RaceResult {
    /// The result of the first attempt is used, whether it succeeded or failed.
    First(Result<Response<TargetBody>, SendFailure>),
    /// The second target responded first.
    Second(Response<TargetBody>, InFlightSlot),
}

/// Waits for the first attempt and, if it gets no response within the hedging delay, also
/// makes a second attempt.
pub(crate) async fn race(
    exchange: &mut Exchange,
    target: &TargetId,
    first: impl Future<Output = Result<Response<TargetBody>, SendFailure>>,
) -> RaceResult {
    let mut first = pin!(first);
    let wait = match exchange.outgoing.is_repeatable() {
        true => exchange.gate.hedge_after(&exchange.meta, Instant::now()),
        false => None,
    };
    let Some(wait) = wait else {
        return RaceResult::First(first.await);
    };
    if let Either::Left((sent, _)) = select(first.as_mut(), pin!(compio::time::sleep(wait))).await {
        return RaceResult::First(sent);
    }
    let second = pin!(second_attempt(exchange, target));
    match select(first.as_mut(), second).await {
        Either::Left((Ok(response), _)) => RaceResult::First(Ok(response)),
        Either::Left((Err(failure), second)) => match second.await {
            Some((response, slot)) => RaceResult::Second(response, slot),
            None => RaceResult::First(Err(failure)),
        },
        Either::Right((Some((response, slot)), _)) => RaceResult::Second(response, slot),
        Either::Right((None, first)) => RaceResult::First(wait_on(first).await),
    }
}

async fn wait_on<T>(first: Pin<&mut impl Future<Output = T>>) -> T {
    first.await
}

/// Makes the second attempt. Returns `None` if it is not allowed or gets no
/// response.
async fn second_attempt(
    exchange: &mut Exchange,
    first: &TargetId,
) -> Option<(Response<TargetBody>, InFlightSlot)> {
    let (gate, pool): (&Arc<Gate>, &Pool) = (&exchange.gate, &exchange.pool);
    let deadline = exchange.meta.deadline;
    let reserved = gate.hedge(&exchange.meta, first, Instant::now())?;
    let to = gate.endpoint(reserved.permit());
    let connection = pool.acquire(to, deadline, Instant::now()).await.ok()?;
    let req: Request<Body> = exchange.outgoing.next(deadline, Instant::now())?;
    let slot = reserved.dispatch();
    // If the second attempt fails, `slot` is dropped, which marks the attempt as
    // abandoned.
    let response = connection.send(req, deadline).await.ok()?;
    Some((response, slot))
}
