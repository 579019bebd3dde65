//! Addresses and settings files of the installation.
//!
//! Each process has an outer address, at which a proxy listens, and an inner address, at which the process itself listens.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};

use crate::plan::{CONTROL_COUNT, HALLS};
use crate::records::Process;

/// Offset of the last octet of an inner address from that of the outer address.
const INNER_OFFSET: u8 = 100;
/// Port offset of the interface for callers, operators or registrations.
const INTERFACE_PORT: u16 = 1;
/// Port offset of the readiness interface of an entry.
const READY_PORT: u16 = 2;
/// Port offset of the metrics.
const METRICS_PORT: u16 = 3;
/// Port offset of a target.
const TARGET_PORT: u16 = 4;

/// The side of the proxy that an address is on.
#[derive(Clone, Copy)]
pub(crate) enum Side {
    /// The address at which others reach the process.
    Outer,
    /// The address at which the process listens.
    Inner,
}

/// The addresses of an installation, and the folder of its files.
pub(crate) struct Layout {
    block: [u8; 3],
    port: u16,
    pub(crate) folder: PathBuf,
}

impl Layout {
    /// Chooses addresses that no other soak uses, and a port that is free on one of them.
    pub(crate) fn allocate(folder: &Path) -> std::io::Result<Self> {
        static NEXT_BLOCK: AtomicU8 = AtomicU8::new(0);
        let process = std::process::id();
        let block = [
            127,
            1 + (process % 200) as u8,
            (process / 200 % 8) as u8 * 32 + NEXT_BLOCK.fetch_add(1, Ordering::Relaxed) % 32,
        ];
        let probe = TcpListener::bind((Ipv4Addr::new(block[0], block[1], block[2], 1), 0))?;
        let port = probe.local_addr()?.port().min(u16::MAX - 10);
        Ok(Self {
            block,
            port,
            folder: folder.to_owned(),
        })
    }

    pub(crate) fn ip(&self, process: Process, side: Side) -> IpAddr {
        let octet = match process {
            Process::Control(index) => 1 + index,
            Process::Entry(index) => 11 + index,
            Process::Guard(index) => 21 + index,
        } as u8;
        let last = match side {
            Side::Outer => octet,
            Side::Inner => octet + INNER_OFFSET,
        };
        IpAddr::V4(Ipv4Addr::new(
            self.block[0],
            self.block[1],
            self.block[2],
            last,
        ))
    }

    fn address(&self, process: Process, side: Side, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip(process, side), self.port + offset)
    }

    /// Returns the address for other processes.
    pub(crate) fn peer(&self, process: Process, side: Side) -> SocketAddr {
        self.address(process, side, 0)
    }

    /// Returns the address for callers, operators or the target of a process.
    pub(crate) fn interface(&self, process: Process, side: Side) -> SocketAddr {
        self.address(process, side, INTERFACE_PORT)
    }

    /// Returns the readiness address of an entry, which has no proxy.
    pub(crate) fn ready(&self, entry: usize) -> SocketAddr {
        self.address(Process::Entry(entry), Side::Inner, READY_PORT)
    }

    /// Returns the address of the target of a guard.
    pub(crate) fn target(&self, guard: usize, side: Side) -> SocketAddr {
        self.address(Process::Guard(guard), side, TARGET_PORT)
    }

    pub(crate) fn hall(&self, process: Process) -> &'static str {
        let (Process::Control(index) | Process::Entry(index) | Process::Guard(index)) = process;
        HALLS[index % HALLS.len()]
    }

    pub(crate) fn log(&self, process: Process) -> PathBuf {
        self.folder.join(format!("{process}.log"))
    }

    pub(crate) fn data_folder(&self, control: usize) -> PathBuf {
        self.folder.join(format!("data-{control}"))
    }

    /// Writes the settings file of a process; `may_found` applies to control processes only.
    pub(crate) fn write_settings(
        &self,
        process: Process,
        may_found: bool,
    ) -> std::io::Result<PathBuf> {
        let file = self.folder.join(format!("{process}.jsonc"));
        let peer = self.write_peer(process);
        let interface = self.interface(process, Side::Inner);
        let role_settings = match process {
            Process::Control(index) => {
                let data = self.data_folder(index);
                format!(
                    r#""operator_address": "{interface}", "data_folder": "{}", "may_found": {may_found}, "tolerated_losses": 1, "halls": {HALLS:?}"#,
                    data.display()
                )
            }
            Process::Entry(index) => format!(
                r#""client_address": "{interface}", "ready_address": "{}", "linger_ms": 2200, "drain_ms": 5500"#,
                self.ready(index)
            ),
            Process::Guard(_) => {
                format!(r#""registration_address": "{interface}", "drain_ms": 5500"#)
            }
        };
        let text = format!(
            "{{ {peer}, {role_settings}, \"log\": {{ \"stream\": \"stdout\", \"lines_per_second\": 2000 }} }}\n"
        );
        std::fs::write(&file, text)?;
        Ok(file)
    }

    fn write_peer(&self, process: Process) -> String {
        let (ip, listen_ip) = (self.ip(process, Side::Outer), self.ip(process, Side::Inner));
        let (hall, port, metrics) = (self.hall(process), self.port, self.port + METRICS_PORT);
        let seeds: Vec<String> = (0..CONTROL_COUNT)
            .map(|index| self.peer(Process::Control(index), Side::Outer).to_string())
            .collect();
        format!(
            r#""peer": {{ "name": "{process}", "hall": "{hall}", "ip": "{ip}", "listen_ip": "{listen_ip}", "port": {port}, "seeds": {seeds:?}, "metrics_port": {metrics} }}"#
        )
    }
}
