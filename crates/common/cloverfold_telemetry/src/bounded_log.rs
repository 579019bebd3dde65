//! A rate-limited log appender that never blocks the logging thread.

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

/// Capacity of the queue, in lines; further lines are dropped.
const QUEUE_CAPACITY_LINES: usize = 2_048;
/// How long the writer thread collects lines after the first one, so that a burst takes a single write.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Window of the rate limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);
/// Factor on the rate limit for warnings and errors.
const WARNING_LIMIT_FACTOR: u32 = 2;
/// Initial buffer capacity for an encoded line, in bytes.
const LINE_CAPACITY_BYTES: usize = 256;

/// Number of lines dropped since the start of the process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines dropped since the start of the process, because of the rate limit or a full queue.
pub fn dropped_line_count() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Queues encoded lines for the writer thread; drops lines over the rate limit.
#[derive(Debug)]
pub(crate) struct BoundedAppender {
    encoder: JsonEncoder,
    tx: mpsc::SyncSender<Vec<u8>>,
    window: Mutex<Window>,
    limit: u32,
}

/// The current window of the rate limit, with the number of its lines.
#[derive(Debug)]
struct Window {
    started_at: Instant,
    lines: u32,
}

impl Window {
    #[expect(
        clippy::disallowed_methods,
        reason = "only limits log lines; no lease or session depends on it"
    )]
    fn start() -> Self {
        Self {
            started_at: Instant::now(),
            lines: 0,
        }
    }
}

impl BoundedAppender {
    /// Starts the writer thread; `limit` is in lines per second.
    pub(crate) fn start(stream: LogStream, limit: u32) -> std::io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(QUEUE_CAPACITY_LINES);
        let builder = thread::Builder::new().name("log".into());
        builder.spawn(move || write_lines(&rx, stream))?;
        Ok(Self {
            encoder: JsonEncoder::new(),
            tx,
            window: Mutex::new(Window::start()),
            limit,
        })
    }

    /// Counts a line and returns whether it is within the limit. For warnings and errors the limit is [`WARNING_LIMIT_FACTOR`] times
    /// higher.
    fn is_within_limit(&self, record: &Record<'_>) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.started_at.elapsed() > LIMIT_WINDOW {
            *window = Window::start();
        }
        window.lines = window.lines.saturating_add(1);
        let is_warning_or_error = record.level() <= log::Level::Warn;
        window.lines <= self.limit
            || (is_warning_or_error
                && window.lines <= self.limit.saturating_mul(WARNING_LIMIT_FACTOR))
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !self.is_within_limit(record) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::with_capacity(LINE_CAPACITY_BYTES));
        self.encoder.encode(&mut line, record)?;
        if self.tx.try_send(line.0).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Does nothing: the writer thread flushes within [`BATCH_INTERVAL`].
    fn flush(&self) {}
}

/// Writes queued lines until the appender is dropped, and a note whenever lines were dropped.
fn write_lines(rx: &mpsc::Receiver<Vec<u8>>, stream: LogStream) {
    let mut reported = 0;
    while let Ok(mut buf) = rx.recv() {
        thread::sleep(BATCH_INTERVAL);
        while let Ok(line) = rx.try_recv() {
            buf.extend_from_slice(&line);
        }
        let dropped = dropped_line_count();
        if dropped > reported {
            buf.extend_from_slice(format_drop_note(dropped).as_bytes());
            reported = dropped;
        }
        write_to_stream(stream, &buf);
    }
}

/// Formats the note with the number of lines dropped since the start.
fn format_drop_note(dropped: u64) -> String {
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
    // The result is ignored: there is nowhere to report a closed stream, and the process must not stop because of its log.
    let _ = written;
}
