//! Tests of the HTTP client against a server that breaks the protocol.

use bytes::Bytes;
use fulmarhead_runtime::http::{
    CallLimits, Client, Endpoint, EventReadError, EventReader, read_body,
};
use hyper::{HeaderMap, Method};
use std::{net::SocketAddr, time::Duration};
use testutils::cases;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const LIMITS: CallLimits = CallLimits { time: Duration::from_secs(5), bytes: 1 << 10 };

const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\n\r\nbusy";
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// Starts a server that refuses the first call on its first connection and answers all others, and
/// that sends the refusal once more when a call comes on the first connection again.
async fn start_repeating_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (first, _) = listener.accept().await.unwrap();
        tokio::spawn(serve(first, &[REFUSAL, REFUSAL]));
        loop {
            let (connection, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(connection, &[ANSWER]));
        }
    });
    address
}

async fn serve(mut connection: TcpStream, responses: &'static [&'static [u8]]) {
    let mut request = [0; 4096];
    for response in responses {
        if !matches!(connection.read(&mut request).await, Ok(1..)) {
            return;
        }
        connection.write_all(response).await.unwrap();
    }
    sleep(Duration::from_secs(5)).await;
}

/// Guards against a call that counts as refused, and so as not run, because the server sent the
/// refusal of an earlier one again.
#[tokio::test]
async fn repeated_refusal_is_not_taken_for_an_answer() {
    let endpoint = Endpoint::new(start_repeating_server().await, "/");
    let client = Client::without_pool();
    let mut statuses = Vec::new();
    for _ in 0..2 {
        let sent = client.send(Method::POST, &endpoint, HeaderMap::new(), Bytes::new());
        let response = sent.await.unwrap();
        statuses.push(response.status().as_u16());
        read_body(response.into_body(), 1_024).await.unwrap();
        // A pooled connection would be idle by now.
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(statuses, [503, 200]);
}

/// Starts a server that ends its connections after each byte of `ANSWER` but the last in turn.
async fn start_stopping_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for end in 0..ANSWER.len() {
            let (mut connection, _) = listener.accept().await.unwrap();
            let _ = connection.read(&mut [0; 4096]).await;
            connection.write_all(&ANSWER[..end]).await.unwrap();
        }
    });
    address
}

/// Guards against a response that stops in the middle of its head, or of its body, and is taken for
/// a whole one or for a request that was not sent.
#[tokio::test]
async fn stopped_response_is_an_error() {
    let endpoint = Endpoint::new(start_stopping_server().await, "/");
    let client = Client::without_pool();
    for end in 0..ANSWER.len() {
        let called = client.call(Method::POST, &endpoint, Bytes::new(), LIMITS).await;
        let is_unsent = called.map_err(|error| error.is_unsent());
        assert_eq!(is_unsent, Err(false), "after {end} bytes");
    }
}

/// Returns the events of a server that sends one and then `text` again and again until the
/// connection is closed.
async fn open_endless_stream(text: &'static str) -> EventReader {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let _ = connection.read(&mut [0; 4096]).await;
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
        let mut result = connection.write_all(head.as_bytes()).await;
        while result.is_ok() {
            result = connection.write_all(text.as_bytes()).await;
        }
    });
    let (client, endpoint) = (Client::default(), Endpoint::new(address, "/"));
    let sent = client.send(Method::GET, &endpoint, HeaderMap::new(), Bytes::new());
    EventReader::new(sent.await.unwrap().into_body())
}

fn check_endless_stream(text: &'static str) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
        let mut events = open_endless_stream(text).await;
        assert_eq!(events.next().await.unwrap().unwrap().data, "a");
        let next = timeout(Duration::from_secs(20), events.next()).await.expect("it is read on");
        assert!(matches!(next, Some(Err(EventReadError::TooLarge))), "{next:?}");
    });
}

cases! {
    check_endless_stream {
        /// Guards against a partial event that takes the memory of an entry.
        endless_line: ("xxxxxxxxxxxxxxxx"),
        endless_data: ("data: xxxxxxxxx\n"),
        /// Guards against comments, which are no progress, without end.
        endless_comments: (": x\n\n"),
    }
}

/// Guards against a stream of many events that is taken for a large one.
#[tokio::test]
async fn long_stream_is_read() {
    let mut events = open_endless_stream("id: 1\ndata: a\n\n").await;
    for _ in 0..10_000 {
        assert_eq!(events.next().await.unwrap().unwrap().data, "a");
    }
}

/// Size of a body that a server which does not read can't take into its buffers, in bytes.
const UPLOAD_BYTES: usize = 64 << 20;

/// Number of uploads that are reset in each case.
const RESETS: usize = 50;

/// How a server treats the rest of an upload between its response and the reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rest {
    /// Reads nothing, so that the client waits until it can write.
    Left,
    /// Reads on, so that the client is writing all the time.
    Read,
}

/// Time from the response of a server to its reset.
const RESET_DELAY: Duration = Duration::from_millis(5);

/// Starts a server that reads the beginning of each request, sends `response` while the rest is being
/// written, and resets the connection after `RESET_DELAY`.
async fn start_resetting_server(response: &'static [u8], rest: Rest) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut connection, _) = listener.accept().await.unwrap();
            let mut buffer = vec![0; 64 << 10];
            let _ = connection.read(&mut buffer).await;
            connection.write_all(response).await.unwrap();
            let read_on = async {
                while rest == Rest::Read && matches!(connection.read(&mut buffer).await, Ok(1..)) {}
                std::future::pending::<()>().await;
            };
            let _ = timeout(RESET_DELAY, read_on).await;
            connection.set_zero_linger().unwrap();
        }
    });
    address
}

/// Checks that the response to an upload is not taken for a complete one if the connection is reset
/// while the upload is written. Repeats that, since the client can notice the reset as it reads or as
/// it writes.
fn check_reset(response: &'static [u8], rest: Rest) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let endpoint = Endpoint::new(start_resetting_server(response, rest).await, "/");
        let upload = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
        let mut responses = 0;
        for _ in 0..RESETS {
            let client = Client::without_pool();
            let sent = client.send(Method::POST, &endpoint, HeaderMap::new(), upload.clone());
            let Ok(response) = sent.await else { continue };
            responses += 1;
            let body = read_body(response.into_body(), 1_024).await;
            assert!(body.is_err(), "a part counts as the complete body: {body:?}");
        }
        assert!(responses > 0, "no response came before the reset");
    });
}

const WITHOUT_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\n\r\npart";
const CLOSED: &[u8] = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart";
const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
const LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\npart";
const NO_BODY_YET: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";

cases! {
    check_reset {
        /// Guards against a part of a response that counts as all of it, because the connection was
        /// reset while the request was still being written.
        reset_without_length: (WITHOUT_LENGTH, Rest::Left),
        reset_without_length_while_writing: (WITHOUT_LENGTH, Rest::Read),
        reset_after_close_without_length: (CLOSED, Rest::Left),
        reset_after_close_while_writing: (CLOSED, Rest::Read),
        reset_before_the_body: (NO_BODY_YET, Rest::Left),
        reset_before_the_body_while_writing: (NO_BODY_YET, Rest::Read),
        reset_in_chunks: (CHUNKED, Rest::Read),
        reset_within_the_length: (LENGTH, Rest::Read),
    }
}

/// Guards against a status that HTTP does not have and that is taken for an answer.
#[tokio::test]
async fn status_000_is_no_response() {
    let response = b"HTTP/1.1 000 Trouble\r\ncontent-length: 4\r\n\r\ndone";
    let endpoint = Endpoint::new(start_resetting_server(response, Rest::Left).await, "/");
    let client = Client::without_pool();
    let sent = client.send(Method::POST, &endpoint, HeaderMap::new(), Bytes::new()).await;
    assert!(sent.is_err(), "{sent:?}");
}
