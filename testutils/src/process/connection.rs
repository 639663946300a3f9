//! Connection on which a test writes requests byte by byte.

use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Time after which a test no longer waits for the end of a connection.
const READ_LIMIT: Duration = Duration::from_secs(30);

/// An open connection of a caller.
#[derive(Debug)]
pub struct RawConnection(TcpStream);

/// All that a caller has received until its connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Bytes of the response, or of a part of it.
    pub text: String,
}

impl RawConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the connection is refused.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self(TcpStream::connect(address).await?))
    }

    /// Writes `text`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the connection is lost.
    pub async fn send(&mut self, text: &str) -> io::Result<()> {
        self.0.write_all(text.as_bytes()).await
    }

    /// Returns all that arrives until the connection ends, or within 30 s.
    pub async fn read(&mut self) -> Received {
        let mut bytes = Vec::new();
        let _ = timeout(READ_LIMIT, self.0.read_to_end(&mut bytes)).await;
        Received { text: String::from_utf8_lossy(&bytes).into_owned() }
    }
}

impl Received {
    /// Returns the status, or `None` without a response.
    pub fn status(&self) -> Option<u16> {
        self.text.get(9..12).and_then(|text| text.parse().ok())
    }

    /// Returns whether the body is a complete JSON document with `"outcome": outcome`.
    pub fn has_outcome(&self, outcome: &str) -> bool {
        let body = self.text.split_once("\r\n\r\n").map(|(_, body)| body);
        let document = body.and_then(|body| serde_json::from_str(body).ok());
        document.is_some_and(|document: serde_json::Value| document["outcome"] == outcome)
    }
}
