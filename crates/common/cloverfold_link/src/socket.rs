//! Socket options of links, and of other connections.
//!
//! Owns nothing; relies on the system's TCP.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// How long the bytes sent on a link may stay unacknowledged before it counts as lost.
pub(crate) const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens on an address, also right after an earlier process has left it.
///
/// # Errors
///
/// Returns the system's error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Sets the options of a connection on which a peer may go silent: no delay of small messages, and a bound on how long sent bytes may
/// stay unacknowledged. An option that the system refuses stays at its default, with a log line.
pub fn tune_socket(stream: &TcpStream, user_timeout: Duration) {
    let socket = SockRef::from(stream);
    let outcomes = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(user_timeout)),
    ];
    for refused in outcomes.into_iter().filter_map(Result::err) {
        log::debug!("a socket option is refused: {refused}");
    }
}
