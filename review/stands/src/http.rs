//! HTTP/1.1 over blocking sockets: one call on a connection of its own, and a server with a thread for each connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request as the server reads it.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// What became of a call.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered(u16, Vec<u8>),
    /// No connection was opened.
    NotSent,
    /// The connection broke.
    Broken,
    /// No answer came in time.
    Silent,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Answered(status, _) => *status,
            _ => 0,
        }
    }

    pub fn show(&self) -> String {
        match self {
            Outcome::Answered(status, body) => {
                format!("{status} {}", String::from_utf8_lossy(body).trim())
            }
            Outcome::NotSent => "no connection".into(),
            Outcome::Broken => "connection broken".into(),
            Outcome::Silent => "no answer in time".into(),
        }
    }
}

/// Makes one call on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Outcome {
    let until = Instant::now() + limit;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, limit) else {
        return Outcome::NotSent;
    };
    let _ = stream.set_nodelay(true);
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    if stream.write_all(text.as_bytes()).is_err() {
        return Outcome::Broken;
    }
    read_answer(&mut stream, until)
}

fn read_answer(stream: &mut TcpStream, until: Instant) -> Outcome {
    let mut buf = Vec::new();
    let mut chunk = [0; 8192];
    loop {
        if let Some((status, body)) = split_answer(&buf) {
            return Outcome::Answered(status, body);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Outcome::Silent;
        }
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match stream.read(&mut chunk) {
            Ok(0) => return Outcome::Broken,
            Ok(len) => buf.extend_from_slice(&chunk[..len]),
            Err(cause) => match cause.kind() {
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {
                    return Outcome::Silent;
                }
                std::io::ErrorKind::Interrupted => {}
                _ => return Outcome::Broken,
            },
        }
    }
}

fn split_head(buf: &[u8]) -> Option<usize> {
    buf.windows(4).position(|four| four == b"\r\n\r\n")
}

fn content_length(head: &str) -> usize {
    let mut lines = head.lines();
    let found = lines.find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse().ok())?
    });
    found.unwrap_or(0)
}

fn split_answer(buf: &[u8]) -> Option<(u16, Vec<u8>)> {
    let end = split_head(buf)?;
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let len = content_length(&head);
    let body = buf.get(end + 4..end + 4 + len)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_vec()))
}

/// Answers requests; `None` leaves one without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<(u16, String)> + Send + Sync>;

/// Serves on an address until the process ends.
pub fn serve(address: SocketAddr, handler: Handler) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(())
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    let mut chunk = [0; 8192];
    loop {
        while let Some((request, used)) = split_request(&buf) {
            buf.drain(..used);
            let Some((status, body)) = handler(request) else {
                // No answer: the connection stays open until the caller closes it.
                let _ = stream.read(&mut chunk);
                return;
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(len) => buf.extend_from_slice(&chunk[..len]),
        }
    }
}

fn split_request(buf: &[u8]) -> Option<(Request, usize)> {
    let end = split_head(buf)?;
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let len = content_length(&head);
    let body = buf.get(end + 4..end + 4 + len)?.to_vec();
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    first.next()?;
    let path = first.next()?.to_owned();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    });
    let request = Request {
        path,
        headers: headers.collect(),
        body,
    };
    Some((request, end + 4 + len))
}
