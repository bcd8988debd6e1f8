//! Tells the connection of a response when it has been handed over for sending.

use crate::{
    body::{Body, BoxError},
    connections::Connection,
};
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Instant,
};

/// Returns `body`. Until it is dropped, the connection sends a response.
pub(crate) fn sending(body: Body, connection: Rc<Connection>) -> Body {
    connection.begin_response();
    Box::pin(Sending { body, connection })
}

struct Sending {
    body: Body,
    connection: Rc<Connection>,
}

impl Drop for Sending {
    fn drop(&mut self) {
        self.connection.await_client(Instant::now());
    }
}

impl http_body::Body for Sending {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
