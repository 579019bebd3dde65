//! A log appender that never blocks the thread that logs.
//!
//! Owns the queue of encoded lines, the thread that writes them, and the count of dropped lines. Relies on `log4rs` for the JSON form of
//! a line.

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

/// Lines that may wait to be written; further ones are dropped. Chosen, not measured.
const QUEUE_LINES: usize = 2_048;
/// How long the writing thread gathers lines after the first, so that a burst costs one write. Chosen, not measured.
const GATHER_INTERVAL: Duration = Duration::from_millis(100);
/// Window that the limit on lines per second holds for.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);
/// Warnings and errors may exceed the limit by this factor. Chosen, not measured.
const PROBLEM_FACTOR: u32 = 2;
/// Room for an encoded line before its buffer grows, in bytes. Chosen, not measured.
const LINE_CAPACITY: usize = 256;

/// Lines that were dropped since the start of the process.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many log lines were dropped since the start of the process, over the limit or with a full queue.
pub fn dropped_line_count() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Queues encoded lines for the thread that writes them; drops lines over the limit.
#[derive(Debug)]
pub(crate) struct BoundedAppender {
    encoder: JsonEncoder,
    tx: mpsc::SyncSender<Vec<u8>>,
    window: Mutex<Window>,
    limit: u32,
}

/// Lines that were logged in the current window.
#[derive(Debug)]
struct Window {
    since: Instant,
    lines: u32,
}

impl Window {
    #[expect(
        clippy::disallowed_methods,
        reason = "bounds log lines; no right hangs on it"
    )]
    fn begin() -> Self {
        Self {
            since: Instant::now(),
            lines: 0,
        }
    }
}

impl BoundedAppender {
    /// Starts the writing thread; `limit` is in lines per second.
    pub(crate) fn start(stream: LogStream, limit: u32) -> std::io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(QUEUE_LINES);
        let builder = thread::Builder::new().name("log".into());
        builder.spawn(move || write_lines(&rx, stream))?;
        Ok(Self {
            encoder: JsonEncoder::new(),
            tx,
            window: Mutex::new(Window::begin()),
            limit,
        })
    }

    /// Counts a line and returns whether it is within the limit; warnings and errors have [`PROBLEM_FACTOR`] times the limit.
    fn may_write(&self, record: &Record<'_>) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.since.elapsed() > LIMIT_WINDOW {
            *window = Window::begin();
        }
        window.lines = window.lines.saturating_add(1);
        let is_problem = record.level() <= log::Level::Warn;
        window.lines <= self.limit
            || (is_problem && window.lines <= self.limit.saturating_mul(PROBLEM_FACTOR))
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !self.may_write(record) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::with_capacity(LINE_CAPACITY));
        self.encoder.encode(&mut line, record)?;
        if self.tx.try_send(line.0).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Does nothing: the writing thread flushes by itself within [`GATHER_INTERVAL`].
    fn flush(&self) {}
}

/// Writes queued lines until the appender is gone, and a line about lines that were dropped meanwhile.
fn write_lines(rx: &mpsc::Receiver<Vec<u8>>, stream: LogStream) {
    let mut reported = 0;
    while let Ok(mut buf) = rx.recv() {
        thread::sleep(GATHER_INTERVAL);
        while let Ok(line) = rx.try_recv() {
            buf.extend_from_slice(&line);
        }
        let dropped = dropped_line_count();
        if dropped > reported {
            buf.extend_from_slice(format_dropped_note(dropped).as_bytes());
            reported = dropped;
        }
        write_to_stream(stream, &buf);
    }
}

/// Formats the line that says how many lines were dropped since the start.
fn format_dropped_note(dropped: u64) -> String {
    format!(
        "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"since_start\":{dropped}}}\n"
    )
}

fn write_to_stream(stream: LogStream, buf: &[u8]) {
    let written = match stream {
        LogStream::Stderr => std::io::stderr().write_all(buf),
        LogStream::Stdout => {
            let mut stdout = std::io::stdout();
            let written = stdout.write_all(buf);
            written.and(stdout.flush())
        }
    };
    // Harmless to drop: a closed stream leaves no place to report the error to, and the process must not stop for its log.
    let _ = written;
}
