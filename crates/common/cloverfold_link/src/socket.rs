//! Socket options of links and other connections.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// How long sent bytes on a link may stay unacknowledged before the system closes the connection.
pub(crate) const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens on an address, even right after an earlier process has released it.
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

/// Disables Nagle's algorithm and sets how long sent bytes may stay unacknowledged, so that a half-open connection fails. Logs an option
/// that the system rejects, which stays at its default.
pub fn set_socket_options(stream: &TcpStream, user_timeout: Duration) {
    let socket = SockRef::from(stream);
    let outcomes = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(user_timeout)),
    ];
    for cause in outcomes.into_iter().filter_map(Result::err) {
        log::debug!("cannot set socket option: {cause}");
    }
}
