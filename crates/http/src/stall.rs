//! A stream whose writes fail if the peer stops reading, and which buffers little until then.

use crate::connections::Connection;
use compio::time::sleep_until;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::{
    io::{Error, ErrorKind, IoSlice, Result},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

/// Maximum number of bytes that are written before they are flushed. The stream buffers whatever it
/// is given.
const MAX_UNFLUSHED_BYTES: usize = 32 << 10;

/// Fails a write that makes no progress for too long, so that a client that stops
/// reading can't hold a slot.
pub(crate) struct StallLimit<S> {
    stream: S,
    limit: Duration,
    /// The time since which a write has made no progress; `None` if no write is
    /// stalled.
    stalled: Option<Instant>,
    /// The timer for the limit; `None` before the first stalled write and after the timer
    /// has expired. The timer is kept for the following writes, which costs less than a
    /// timer for each write.
    timer: Option<Pin<Box<dyn Future<Output = ()>>>>,
    /// Number of bytes written since the last flush.
    unflushed: usize,
    connection: Rc<Connection>,
}

impl<S> StallLimit<S> {
    /// Limits the duration of write stalls of `stream` to `limit`, and records them for
    /// `connection`.
    pub(crate) fn new(stream: S, limit: Duration, connection: Rc<Connection>) -> Self {
        Self { stream, limit, stalled: None, timer: None, unflushed: 0, connection }
    }

    /// Records whether a write made progress, and fails a write that has stalled for
    /// too long.
    fn watch<T>(&mut self, cx: &mut Context<'_>, polled: Poll<Result<T>>) -> Poll<Result<T>> {
        if polled.is_ready() {
            if self.stalled.take().is_some() {
                self.connection.set_stalled(None);
            }
            return polled;
        }
        let since = *self.stalled.get_or_insert_with(Instant::now);
        self.connection.set_stalled(Some(since));
        loop {
            let end = since + self.limit;
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(end)));
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.timer = None;
            if Instant::now() >= end {
                let detail = format!("the peer has read nothing for {:?}", self.limit);
                return Poll::Ready(Err(Error::new(ErrorKind::TimedOut, detail)));
            }
        }
    }
}

impl<S: Read + Unpin> Read for StallLimit<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> StallLimit<S> {
    fn poll_flush_stream(&mut self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if let Poll::Ready(Ok(())) = polled {
            self.unflushed = 0;
        }
        polled
    }

    fn poll_write_some(&mut self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        if self.unflushed >= MAX_UNFLUSHED_BYTES {
            ready!(self.poll_flush_stream(cx))?;
        }
        let len = buf.len().min(MAX_UNFLUSHED_BYTES - self.unflushed);
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, &buf[..len]))?;
        self.unflushed += written;
        Poll::Ready(Ok(written))
    }
}

impl<S: Write + Unpin> Write for StallLimit<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let polled = self.poll_write_some(cx, buf);
        self.watch(cx, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let polled = self.poll_flush_stream(cx);
        self.watch(cx, polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.watch(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        // The stream copies what it is given, so one part at a time costs nothing.
        let buf = bufs.iter().find(|buf| !buf.is_empty()).map_or(&[][..], |buf| &**buf);
        let polled = self.poll_write_some(cx, buf);
        self.watch(cx, polled)
    }
}
