//! A UDP proxy that delays, reorders, drops and duplicates datagrams.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::faults::{FaultTable, Faults};

/// Size of the datagram buffer, in bytes; no datagram is longer.
const MAX_DATAGRAM: usize = 65_536;

/// Forwards datagrams to one process until it is dropped.
pub struct UdpProxy {
    address: SocketAddr,
    faults: FaultTable,
    task: JoinHandle<()>,
}

impl UdpProxy {
    /// Starts forwarding to `upstream` from an address that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = socket.local_addr()?;
        let faults = FaultTable::default();
        let client_socket = Arc::new(socket);
        let task = tokio::spawn(forward_requests(client_socket, upstream, faults.clone()));
        Ok(Self {
            address,
            faults,
            task,
        })
    }

    /// Returns the address to send to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the table of faults.
    pub fn faults(&self) -> &FaultTable {
        &self.faults
    }

    /// Sets the faults of all sources without their own faults.
    pub fn set(&self, faults: Faults) {
        self.faults.set(faults);
    }
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forwards datagrams to the process, with one socket per source so that replies return to the source.
async fn forward_requests(client_socket: Arc<UdpSocket>, upstream: SocketAddr, faults: FaultTable) {
    let mut sources: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut reply_tasks = JoinSet::new();
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((len, source)) = client_socket.recv_from(&mut buf).await else {
            continue;
        };
        let server_socket = match sources.get(&source) {
            Some(server_socket) => server_socket.clone(),
            None => {
                let Ok(server_socket) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else {
                    continue;
                };
                let server_socket = Arc::new(server_socket);
                sources.insert(source, server_socket.clone());
                let (client_socket, faults) = (client_socket.clone(), faults.clone());
                reply_tasks.spawn(forward_replies(
                    client_socket,
                    server_socket.clone(),
                    source,
                    faults,
                ));
                server_socket
            }
        };
        send_copies(&server_socket, upstream, &buf[..len], faults.find(source)).await;
    }
}

/// Forwards the replies of the process to one source.
async fn forward_replies(
    client_socket: Arc<UdpSocket>,
    server_socket: Arc<UdpSocket>,
    source: SocketAddr,
    faults: FaultTable,
) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        // The error belongs to an earlier datagram that was refused; the socket remains usable.
        let Ok((len, _)) = server_socket.recv_from(&mut buf).await else {
            continue;
        };
        send_copies(&client_socket, source, &buf[..len], faults.find(source)).await;
    }
}

/// Sends each copy of a datagram that the faults let through.
async fn send_copies(socket: &Arc<UdpSocket>, to: SocketAddr, datagram: &[u8], faults: Faults) {
    for delay in faults.sample_delays() {
        if delay.is_zero() {
            // UDP does not guarantee delivery, so the proxy ignores a failed send.
            let _ = socket.send_to(datagram, to).await;
            continue;
        }
        let socket = socket.clone();
        let datagram = datagram.to_vec();
        tokio::spawn(async move {
            sleep(delay).await;
            // As above.
            let _ = socket.send_to(&datagram, to).await;
        });
    }
}
