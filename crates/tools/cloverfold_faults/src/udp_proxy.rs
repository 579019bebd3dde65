//! The proxy for UDP.
//!
//! Owns its front socket and one socket for each source. Relies on the fault table for what happens to a datagram.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::faults::{FaultTable, Faults};

/// Buffer for a datagram, in bytes; none is longer.
const MAX_DATAGRAM: usize = 65_536;

/// Forwards datagrams to one process; stops when dropped.
pub struct UdpProxy {
    address: SocketAddr,
    faults: FaultTable,
    task: JoinHandle<()>,
}

impl UdpProxy {
    /// Starts to forward to `upstream` from an address that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = socket.local_addr()?;
        let faults = FaultTable::default();
        let front = Arc::new(socket);
        let task = tokio::spawn(forward_all(front, upstream, faults.clone()));
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

    /// Sets the faults of all sources that have none of their own.
    pub fn set(&self, faults: Faults) {
        self.faults.set(faults);
    }
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forwards datagrams to the process, each source through a socket of its own so that answers return to it.
async fn forward_all(front: Arc<UdpSocket>, upstream: SocketAddr, faults: FaultTable) {
    let mut sources: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut returns = JoinSet::new();
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((len, source)) = front.recv_from(&mut buf).await else {
            continue;
        };
        let back = match sources.get(&source) {
            Some(back) => back.clone(),
            None => {
                let Ok(back) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else {
                    continue;
                };
                let back = Arc::new(back);
                sources.insert(source, back.clone());
                let (front, faults) = (front.clone(), faults.clone());
                returns.spawn(return_all(front, back.clone(), source, faults));
                back
            }
        };
        pass_on(&back, upstream, &buf[..len], faults.find(source)).await;
    }
}

/// Forwards what the process sends back to one source.
async fn return_all(
    front: Arc<UdpSocket>,
    back: Arc<UdpSocket>,
    source: SocketAddr,
    faults: FaultTable,
) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        // The error reports an earlier datagram that was refused; later ones may be received.
        let Ok((len, _)) = back.recv_from(&mut buf).await else {
            continue;
        };
        pass_on(&front, source, &buf[..len], faults.find(source)).await;
    }
}

/// Sends each copy of a datagram that the faults let through.
async fn pass_on(socket: &Arc<UdpSocket>, to: SocketAddr, datagram: &[u8], faults: Faults) {
    for arrival in faults.draw_arrivals() {
        if arrival.is_zero() {
            // A lost datagram is no error of a proxy for UDP: the sender has to bear losses anyway.
            let _ = socket.send_to(datagram, to).await;
            continue;
        }
        let socket = socket.clone();
        let datagram = datagram.to_vec();
        tokio::spawn(async move {
            sleep(arrival).await;
            // As above.
            let _ = socket.send_to(&datagram, to).await;
        });
    }
}
