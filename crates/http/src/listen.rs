//! Binds listeners.

use cyclamenloft_types::{Error, ErrorKind, Result};
use socket2::{Domain, Protocol, Socket, Type};
use std::net::{SocketAddr, TcpListener};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Binds a listener on `addr`. The listener may be cloned so that several
/// threads accept from it.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] naming the address.
pub fn bind(addr: SocketAddr) -> Result<TcpListener> {
    try_bind(addr)
        .map_err(|e| Error::new(ErrorKind::BadSetting, format!("can't listen on {addr}: {e}")))
}

fn try_bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
