//! Listeners whose connections keep little of what nobody reads.

use std::net::SocketAddr;
use std::net::TcpListener;

use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::RcvBuf;

/// The size of a connection's receive buffer in the system, in bytes.
const RECEIVE_BUFFER: usize = 32 * 1024;

/// Binds an address and listens on it. A connection inherits the size of the receive buffer.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // A system without this keeps more of what callers send before it is read.
    let _ = setsockopt(&listener, RcvBuf, &RECEIVE_BUFFER);
    listener.set_nonblocking(true)?;
    Ok(listener)
}
