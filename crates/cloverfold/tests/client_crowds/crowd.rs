//! Connections that stay open without reading.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::shapes::Writes;

/// Threads that write for the connections of a crowd.
const WRITERS: usize = 16;
/// Timeout for connecting and for each write; a process that refuses a connection may stop reading it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for an answer that the process has already given to arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval of the writes of a crowd that repeats them; below the read timeout of a link.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// A crowd of connections, which are closed when it is dropped.
pub struct Crowd {
    connections: Arc<Mutex<Vec<(usize, TcpStream)>>>,
    is_over: Arc<AtomicBool>,
    repeater: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Opens connections and writes to each what `shape` returns for its index; returns when all is written or failed.
    pub fn send(
        address: SocketAddr,
        count: usize,
        shape: impl Fn(usize) -> Writes + Send + Sync,
    ) -> Self {
        let connections = Arc::new(Mutex::new(Vec::with_capacity(count)));
        let next = AtomicUsize::new(0);
        thread::scope(|scope| {
            for _ in 0..WRITERS {
                scope.spawn(|| {
                    loop {
                        let index = next.fetch_add(1, Ordering::Relaxed);
                        if index >= count {
                            return;
                        }
                        // A refused connection or write is one of the allowed outcomes.
                        if let Some(stream) = open(address, &shape(index)) {
                            connections.lock().unwrap().push((index, stream));
                        }
                    }
                });
            }
        });
        Self {
            connections,
            is_over: Arc::default(),
            repeater: None,
        }
    }

    /// Like [`Self::send`], and writes it again at an interval, on new connections where the process has closed the old ones.
    pub fn repeat(
        address: SocketAddr,
        count: usize,
        shape: impl Fn(usize) -> Writes + Send + Sync + 'static,
    ) -> Self {
        let mut crowd = Self::send(address, count, &shape);
        let (connections, is_over) = (crowd.connections.clone(), crowd.is_over.clone());
        crowd.repeater = Some(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                thread::sleep(REPEAT_INTERVAL);
                let mut connections = connections.lock().unwrap();
                connections.retain_mut(|(index, stream)| {
                    is_open(stream) && write_all(stream, &shape(*index)).is_some()
                });
                for index in connections.len()..count {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    if let Some(stream) = open(address, &shape(index)) {
                        connections.push((index, stream));
                    }
                }
            }
        }));
        crowd
    }

    /// Returns the status of each answer that has arrived, by the index of its connection.
    pub fn read_statuses(&self) -> Vec<(usize, u16)> {
        let mut statuses = Vec::new();
        for (index, stream) in self.connections.lock().unwrap().iter_mut() {
            stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
            let mut answer = [0; 256];
            let len = stream.read(&mut answer).unwrap_or(0);
            if let Some(status) = read_status(&answer[..len]) {
                statuses.push((*index, status));
            }
        }
        statuses
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(repeater) = self.repeater.take() {
            // A panic of the repeater has been printed.
            let _ = repeater.join();
        }
    }
}

/// Returns the status of an HTTP response; `None` if there is none.
pub fn read_status(answer: &[u8]) -> Option<u16> {
    let answer = std::str::from_utf8(answer).ok()?;
    answer.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

fn open(address: SocketAddr, writes: &Writes) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, WRITE_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    // A connection whose write failed stays open like the others.
    let _ = write_all(&mut stream, writes);
    Some(stream)
}

/// Returns whether the process has not closed the connection.
fn is_open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    match peeked {
        Ok(len) => len > 0,
        Err(cause) => cause.kind() == ErrorKind::WouldBlock,
    }
}

fn write_all(stream: &mut TcpStream, writes: &Writes) -> Option<()> {
    writes
        .iter()
        .try_for_each(|bytes| stream.write_all(bytes))
        .ok()
}
