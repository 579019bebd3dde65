//! The socket of a client connection, which reports to the budget of the server what is received and sent.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use cloverfold_connections::{Connection, HeldMemory, NoMemory, Phase};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::limits::SMALL_MESSAGE_BYTES;

/// The response that a connection is sending.
#[derive(Debug, Default)]
pub(crate) struct PendingResponse {
    is_pending: AtomicBool,
    held: Mutex<Option<HeldMemory>>,
}

impl PendingResponse {
    /// Records a response; its memory is held until the response is sent.
    pub(crate) fn begin(&self, held: Option<HeldMemory>) {
        *self.held.lock().unwrap_or_else(PoisonError::into_inner) = held;
        self.is_pending.store(true, Ordering::Relaxed);
    }

    /// Records that everything is sent; returns whether a response was pending.
    fn finish(&self) -> bool {
        let was_pending = self.is_pending.swap(false, Ordering::Relaxed);
        if was_pending {
            *self.held.lock().unwrap_or_else(PoisonError::into_inner) = None;
        }
        was_pending
    }
}

type Extension = Pin<Box<dyn Future<Output = Result<(), NoMemory>> + Send>>;

/// A socket that reports transfers and sent responses to a [`Connection`].
pub(crate) struct MeteredStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    response: Arc<PendingResponse>,
    /// Bytes received since the last response.
    received: usize,
    /// Memory that the connection needs once a message is not small; 0 after it has taken it.
    large_message_bytes: usize,
    /// Takes that memory.
    extension: Option<Extension>,
}

impl MeteredStream {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Arc<Connection>,
        response: Arc<PendingResponse>,
        large_message_bytes: usize,
    ) -> Self {
        Self {
            stream,
            connection,
            response,
            received: 0,
            large_message_bytes,
            extension: None,
        }
    }

    /// Takes memory for the buffers of a large message before more of it is read.
    fn poll_extension(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.received < SMALL_MESSAGE_BYTES || self.large_message_bytes == 0 {
            return Poll::Ready(Ok(()));
        }
        let (connection, bytes) = (&self.connection, self.large_message_bytes);
        let extension = self.extension.get_or_insert_with(|| {
            let connection = connection.clone();
            Box::pin(async move { connection.extend(bytes).await })
        });
        let extended = ready!(extension.as_mut().poll(cx));
        self.extension = None;
        self.large_message_bytes = 0;
        let no_memory = |_| io::Error::other("no memory for a large message");
        Poll::Ready(extended.map_err(no_memory))
    }

    fn record_sent(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(len)) = written {
            self.connection.record_transfer(*len);
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_extension(cx))?;
        let filled = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        let len = buf.filled().len() - filled;
        if len > 0 {
            this.received += len;
            this.connection.record_received(len);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.record_sent(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.record_sent(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// `hyper` calls this only once its write buffer is empty.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_flush(cx))?;
        if this.response.finish() {
            this.received = 0;
            this.connection.enter(Phase::Idle);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
