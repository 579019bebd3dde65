//! Log lines that never hold up who writes them.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use cloverfold_settings::LogStream;
use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

/// Lines that may wait to be written.
const QUEUE: usize = 2_048;
/// How long the writing thread gathers lines after the first.
const GATHER: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);

/// Lines that were not written since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many log lines were dropped because there were too many.
pub fn count_dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Hands lines to a thread that writes them; drops what comes too fast.
#[derive(Debug)]
pub(crate) struct BoundedAppender {
    encoder: JsonEncoder,
    tx: mpsc::SyncSender<Vec<u8>>,
    window: Mutex<Window>,
    limit: u32,
}

/// Lines of the present second.
#[derive(Debug)]
struct Window {
    since: Instant,
    lines: u32,
}

impl BoundedAppender {
    /// Starts the thread.
    pub(crate) fn start(stream: LogStream, limit: u32) -> std::io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(QUEUE);
        let builder = thread::Builder::new().name("log".into());
        builder.spawn(move || write_lines(&rx, stream))?;
        Ok(Self {
            encoder: JsonEncoder::new(),
            tx,
            window: Mutex::new(Window {
                since: Instant::now(),
                lines: 0,
            }),
            limit,
        })
    }

    /// Problems are always written; the rest within the limit.
    fn may_write(&self, record: &Record<'_>) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.since.elapsed() > SECOND {
            window.since = Instant::now();
            window.lines = 0;
        }
        window.lines = window.lines.saturating_add(1);
        let is_problem = record.level() <= log::Level::Warn;
        window.lines <= self.limit || (is_problem && window.lines <= self.limit.saturating_mul(2))
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !self.may_write(record) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        if self.tx.try_send(line.0).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write_lines(rx: &mpsc::Receiver<Vec<u8>>, stream: LogStream) {
    let mut told = 0;
    while let Ok(mut buf) = rx.recv() {
        thread::sleep(GATHER);
        while let Ok(line) = rx.try_recv() {
            buf.extend_from_slice(&line);
        }
        let dropped = count_dropped_lines();
        if dropped > told {
            let note = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"since_start\":{dropped}}}\n"
            );
            buf.extend_from_slice(note.as_bytes());
            told = dropped;
        }
        // A stream that is closed leaves nowhere to tell it.
        let _ = match stream {
            LogStream::Stderr => std::io::stderr().write_all(&buf),
            LogStream::Stdout => std::io::stdout().write_all(&buf),
        };
        if stream == LogStream::Stdout {
            let _ = std::io::stdout().flush();
        }
    }
}
