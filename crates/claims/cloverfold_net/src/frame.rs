//! Wire format of requests and replies on a QUIC stream.
//!
//! A request is `version: u8, kind: u16 LE, body` up to the end of the stream. The reply stream is `status: u8`
//! followed by any number of `length: u32 LE, body`. Bodies are encoded with `postcard`.

use quinn::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the protocol between processes; requests with another version are refused.
pub(crate) const PROTOCOL_VERSION: u8 = 1;

/// Largest request or reply, in bytes.
pub const MAX_MESSAGE_LEN: usize = 8 * 1024 * 1024;

/// Length of a request's header, in bytes.
const HEADER_LEN: usize = 3;

/// First byte of a reply stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Status {
    /// Replies follow.
    Ok = 0,
    /// The versions of the protocol differ.
    WrongVersion = 1,
    /// The peer has no handler for this message.
    UnknownKind = 2,
    /// The body could not be decoded.
    BadBody = 3,
    /// The sender's role may not send this message.
    Forbidden = 4,
    /// The peer has reached its limit of concurrent requests.
    Busy = 5,
}

impl Status {
    /// Returns the status of a byte, or `None` if the byte is unknown.
    pub(crate) fn from_byte(byte: u8) -> Option<Self> {
        let all = [
            Self::Ok,
            Self::WrongVersion,
            Self::UnknownKind,
            Self::BadBody,
            Self::Forbidden,
            Self::Busy,
        ];
        all.into_iter().find(|status| *status as u8 == byte)
    }
}

pub(crate) struct RequestFrame<'a> {
    /// Number of the message.
    pub(crate) kind: u16,
    /// Encoded body.
    pub(crate) body: &'a [u8],
}

pub(crate) fn encode_request<T: Serialize>(kind: u16, body: &T) -> Result<Vec<u8>, String> {
    let mut buf = vec![PROTOCOL_VERSION];
    buf.extend_from_slice(&kind.to_le_bytes());
    let buf = postcard::to_extend(body, buf).map_err(|e| e.to_string())?;
    if buf.len() > MAX_MESSAGE_LEN {
        return Err(format!(
            "message of {} bytes is over {MAX_MESSAGE_LEN}",
            buf.len()
        ));
    }
    Ok(buf)
}

pub(crate) fn split_request(buf: &[u8]) -> Result<RequestFrame<'_>, Status> {
    let (header, body) = buf.split_at_checked(HEADER_LEN).ok_or(Status::BadBody)?;
    if header[0] != PROTOCOL_VERSION {
        return Err(Status::WrongVersion);
    }
    let kind = u16::from_le_bytes([header[1], header[2]]);
    Ok(RequestFrame { kind, body })
}

/// Writes one reply body with its length, preceded by the status before the first body.
pub(crate) async fn write_reply<T: Serialize>(
    tx: &mut SendStream,
    status: Option<Status>,
    body: &T,
) -> Result<(), String> {
    let body = postcard::to_stdvec(body).map_err(|e| e.to_string())?;
    if body.len() > MAX_MESSAGE_LEN {
        return Err(format!("reply of {} bytes is too long", body.len()));
    }
    let mut buf = Vec::with_capacity(body.len() + 5);
    buf.extend(status.map(|status| status as u8));
    buf.extend_from_slice(&(body.len() as u32).to_le_bytes());
    buf.extend_from_slice(&body);
    tx.write_all(&buf).await.map_err(|e| e.to_string())
}

/// Reads one reply body; returns `None` at the end of the stream.
pub(crate) async fn read_reply<T: DeserializeOwned>(
    rx: &mut RecvStream,
) -> Result<Option<T>, String> {
    let mut len = [0; 4];
    match rx.read_exact(&mut len).await {
        Ok(()) => {}
        Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(e) => return Err(e.to_string()),
    }
    let len = u32::from_le_bytes(len) as usize;
    if len > MAX_MESSAGE_LEN {
        return Err(format!("reply of {len} bytes is too long"));
    }
    let mut buf = vec![0; len];
    rx.read_exact(&mut buf).await.map_err(|e| e.to_string())?;
    postcard::from_bytes(&buf)
        .map(Some)
        .map_err(|e| e.to_string())
}
