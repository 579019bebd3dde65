//! TCP and UDP proxies that inject faults in tests.
//!
//! Put a [`UdpProxy`] or a [`TcpProxy`] in front of a process, give its address to the other processes, and set [`Faults`] while the system
//! runs: delay, jitter that reorders packets, loss, duplication, black holes and closed connections. A [`LinkProxy`] listens on a given
//! address, identifies the dialing side of each connection, and can block a single direction. Faults are random without a seed.
//!
//! ```
//! # let runtime = tokio::runtime::Runtime::new().unwrap();
//! # runtime.block_on(async {
//! use cloverfold_faults::{Faults, UdpProxy};
//!
//! let proxy = UdpProxy::start("127.0.0.1:9".parse().unwrap()).await.unwrap();
//! proxy.set(Faults { loss: 0.1, ..Faults::default() });
//! # });
//! ```

mod faults;
mod link_proxy;
mod tcp_proxy;
mod udp_proxy;

pub use faults::{FaultTable, Faults};
pub use link_proxy::{DialerName, IdentifyDialer, LinkFaults, LinkProxy};
pub use tcp_proxy::TcpProxy;
pub use udp_proxy::UdpProxy;
