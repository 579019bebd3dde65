//! HTTP/1.1 over blocking sockets: a client with one connection a call, and a server with one thread a connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    /// By lower-case name.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub body: String,
}

impl Reply {
    pub fn json(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }
}

/// Makes a call; an error means that no whole answer came.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Result<Reply, String> {
    let connect = TcpStream::connect_timeout(&address, limit);
    let mut stream = connect.map_err(|cause| format!("no connection: {cause}"))?;
    let set = |result: std::io::Result<()>| result.map_err(|cause| cause.to_string());
    set(stream.set_nodelay(true))?;
    set(stream.set_read_timeout(Some(limit)))?;
    set(stream.set_write_timeout(Some(limit)))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str("Content-Type: application/json\r\n");
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    let no_answer = |cause: std::io::Error| format!("no answer: {cause}");
    stream.write_all(text.as_bytes()).map_err(no_answer)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok_or("no answer: the head broke off")?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| format!("no status: {first}"))?;
    let body = read_body(&mut reader, &headers).ok_or("no answer: the body broke off")?;
    Ok(Reply { status, body })
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> Option<String> {
    let len = headers
        .get("content-length")
        .map_or(Some(0), |l| l.parse().ok())?;
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Serves calls until the process ends.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Request) -> Reply + Send + Sync + 'static,
) -> thread::JoinHandle<()> {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, handler.as_ref()));
        }
    })
}

fn serve_connection(stream: TcpStream, handler: &(impl Fn(Request) -> Reply + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some((first, headers)) = read_head(&mut reader) {
        let Some(body) = read_body(&mut reader, &headers) else {
            return;
        };
        let mut words = first.split(' ');
        let (method, path) = (words.next(), words.next());
        let request = Request {
            method: method.unwrap_or_default().to_owned(),
            path: path.unwrap_or_default().to_owned(),
            headers,
            body,
        };
        let reply = handler(request);
        let text = format!(
            "HTTP/1.1 {} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            reply.status,
            reply.body.len(),
            reply.body
        );
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
