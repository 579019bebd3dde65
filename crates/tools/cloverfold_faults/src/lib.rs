//! A proxy for TCP and UDP that injects faults in tests.
//!
//! Put a [`UdpProxy`] or [`TcpProxy`] before a process, give its address to others, and set [`Faults`] while the
//! system runs: delay, jitter that reorders, loss, duplication, silence and cuts. A [`LinkProxy`] stands at a given address, tells who
//! opened a connection, and cuts one way. Owns the sockets of each proxy and the table of its
//! faults. Relies on the process behind the proxy for everything else; faults are drawn without a seed.
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
