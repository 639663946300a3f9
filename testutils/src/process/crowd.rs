//! Crowd of clients that send request bodies and keep their connections open.

use super::usage::wait_all_read;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::{JoinSet, yield_now},
    time::timeout,
};
use tokio_util::task::AbortOnDropHandle;

/// Time after which a client that can't write its body is left as it is. It only keeps a test from
/// waiting forever for a process that reads nothing.
const SEND_LIMIT: Duration = Duration::from_secs(60);

/// Number of bytes that a client writes at once when it does not send piece by piece.
const WRITE_BYTES: usize = 64 << 10;

/// How the end of a body is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length` with this number of bytes.
    Length(usize),
    /// Chunks of this number of bytes.
    Chunks(usize),
}

/// Requests that a crowd sends, one for each client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrowdPlan {
    /// Number of clients.
    pub clients: usize,
    /// How the end of each body is announced.
    pub framing: Framing,
    /// Number of bytes that each client sends of its body.
    pub sent: usize,
    /// Whether each client sends its body in pieces of a few KiB, and the others' between them.
    pub piecewise: bool,
    /// Number of clients of which one completes its body; 0 if none does. The others stop after
    /// `sent` bytes and keep their connections open.
    pub complete_every: usize,
}

impl CrowdPlan {
    /// Returns the bytes that one client sends after the head.
    fn body(&self, complete: bool) -> Vec<u8> {
        match self.framing {
            Framing::Length(_) => vec![b'x'; self.sent + usize::from(complete)],
            Framing::Chunks(size) => {
                let mut chunk = format!("{size:x}\r\n").into_bytes();
                chunk.resize(chunk.len() + size, b'x');
                chunk.extend_from_slice(b"\r\n");
                let mut body = chunk.repeat(self.sent / size);
                body.extend_from_slice(if complete { b"0\r\n\r\n" } else { b"" });
                body
            }
        }
    }

    fn head(&self, head: &str) -> String {
        match self.framing {
            Framing::Length(length) => format!("{head}content-length: {length}\r\n\r\n"),
            Framing::Chunks(_) => format!("{head}transfer-encoding: chunked\r\n\r\n"),
        }
    }

    fn is_complete(&self, number: usize) -> bool {
        self.complete_every > 0 && number.is_multiple_of(self.complete_every)
    }
}

/// Connections of a crowd that has sent its bodies. They are closed on drop.
#[derive(Debug)]
pub struct Crowd {
    _writers: Vec<OwnedWriteHalf>,
    _readers: Vec<AbortOnDropHandle<()>>,
}

impl Crowd {
    /// Connects all clients to `address` and sends their bodies. `head` is the request line and
    /// the headers but the framing, each with its line end.
    ///
    /// Returns when each client has sent its body, or its connection was closed, and the process has
    /// read what was sent. A body with
    /// `Framing::Length` lacks one byte unless the client completes it, if `sent` is one less than
    /// the length.
    pub async fn send(address: SocketAddr, head: &str, plan: CrowdPlan) -> Self {
        let bodies = [false, true].map(|complete| Arc::new(plan.body(complete)));
        let head = Arc::new(plan.head(head));
        let mut clients = JoinSet::new();
        for number in 0..plan.clients {
            let body = Arc::clone(&bodies[usize::from(plan.is_complete(number))]);
            clients.spawn(send_body(address, Arc::clone(&head), body, plan.piecewise));
        }
        let connections: Vec<_> = clients.join_all().await.into_iter().flatten().collect();
        let (_writers, _readers) = connections.into_iter().unzip();
        // A process that reads no more is judged by the test, as it is.
        let _ = wait_all_read(address).await;
        Self { _writers, _readers }
    }
}

async fn send_body(
    address: SocketAddr,
    head: Arc<String>,
    body: Arc<Vec<u8>>,
    piecewise: bool,
) -> Option<(OwnedWriteHalf, AbortOnDropHandle<()>)> {
    let (reader, mut writer) = TcpStream::connect(address).await.ok()?.into_split();
    let reader = AbortOnDropHandle::new(tokio::spawn(discard_responses(reader)));
    let write = async {
        writer.write_all(head.as_bytes()).await?;
        for piece in body.chunks(if piecewise { 4 << 10 } else { WRITE_BYTES }) {
            writer.write_all(piece).await?;
            yield_now().await;
        }
        std::io::Result::Ok(())
    };
    // The process may close the connection at any time, which ends this client's request.
    let _ = timeout(SEND_LIMIT, write).await;
    Some((writer, reader))
}

async fn discard_responses(mut reader: OwnedReadHalf) {
    let mut buffer = [0; 4 << 10];
    while reader.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
}
