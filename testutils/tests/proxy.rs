//! Tests of the modes of the fault-injecting proxy.

use std::{collections::BTreeSet, net::Ipv4Addr, time::Duration};
use testutils::{
    cases,
    process::{block_on, eventually},
    proxy::{Mode, Proxy},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Time within which no data may arrive; longer than a chunk takes on a loopback address.
const SILENCE_PERIOD: Duration = Duration::from_millis(100);

/// Result of sending a byte to a server that echoes it.
#[derive(Debug, PartialEq, Eq)]
enum EchoResult {
    Echo,
    Nothing,
    Closed,
    Refused,
}

async fn start_echo_proxy() -> Proxy {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    Proxy::start((Ipv4Addr::LOCALHOST, 0).into(), address).await.unwrap()
}

async fn echo(stream: &mut TcpStream) -> EchoResult {
    if stream.write_all(b"x").await.is_err() {
        return EchoResult::Closed;
    }
    let mut byte = [0];
    match timeout(SILENCE_PERIOD, stream.read(&mut byte)).await {
        Err(_) => EchoResult::Nothing,
        Ok(Ok(1)) => EchoResult::Echo,
        Ok(_) => EchoResult::Closed,
    }
}

/// Checks an open and a new connection in `mode`, and a new one after the return to [`Mode::Pass`].
fn check_mode(mode: Mode, on_open: EchoResult, on_new: EchoResult) {
    block_on(async {
        let proxy = start_echo_proxy().await;
        let mut open = TcpStream::connect(proxy.address()).await.unwrap();
        assert_eq!(echo(&mut open).await, EchoResult::Echo);
        proxy.set_mode(mode);
        assert_eq!(echo(&mut open).await, on_open);
        let new = match TcpStream::connect(proxy.address()).await {
            Ok(mut stream) => echo(&mut stream).await,
            Err(_) => EchoResult::Refused,
        };
        assert_eq!(new, on_new);
        proxy.set_mode(Mode::Pass);
        let again = eventually("the proxy forwards data again", TIMEOUT, async || {
            let mut stream = TcpStream::connect(proxy.address()).await.ok()?;
            (echo(&mut stream).await == EchoResult::Echo).then_some(())
        });
        again.await.unwrap();
    });
}

/// Guards against a release that applies to the wrong connection.
#[test]
fn held_connections_are_released_out_of_order() {
    block_on(async {
        let proxy = start_echo_proxy().await;
        proxy.set_mode(Mode::HoldResponses);
        let mut streams = Vec::new();
        for number in 0..3 {
            let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
            stream.write_all(&[number]).await.unwrap();
            let held = eventually("a response is held", TIMEOUT, async || {
                proxy.held_connections().contains(&u64::from(number)).then_some(())
            });
            held.await.unwrap();
            streams.push(stream);
        }
        let mut responses = Vec::new();
        for connection in [2, 0, 1] {
            proxy.release(connection);
            let response = timeout(TIMEOUT, streams[connection as usize].read_u8()).await;
            responses.push(response.unwrap().unwrap());
        }
        assert_eq!((responses, proxy.held_connections()), (vec![2, 0, 1], BTreeSet::new()));
    });
}

/// Guards against a throttle that forwards data at the full rate.
#[test]
fn throttle_limits_the_rate() {
    block_on(async {
        let proxy = start_echo_proxy().await;
        proxy.set_mode(Mode::Throttle(10_000));
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        stream.write_all(&[0; 4_000]).await.unwrap();
        let mut response = vec![0; 4_000];
        let early = timeout(SILENCE_PERIOD, stream.read_exact(&mut response)).await;
        assert!(early.is_err());
    });
}

cases! {
    check_mode {
        /// Guards against a cut that leaves a connection or the listener open.
        cut_closes_and_refuses: (Mode::Cut, EchoResult::Closed, EchoResult::Refused),
        /// Guards against a half-open mode that closes connections or delivers data.
        half_open_keeps_connections: (Mode::HalfOpen, EchoResult::Nothing, EchoResult::Nothing),
        /// Guards against a delay that is not applied.
        delay_defers_data: (
            Mode::Delay(2 * SILENCE_PERIOD), EchoResult::Nothing, EchoResult::Nothing,
        ),
        /// Guards against held responses that are forwarded.
        hold_keeps_responses: (Mode::HoldResponses, EchoResult::Nothing, EchoResult::Nothing),
        pass_forwards_data: (Mode::Pass, EchoResult::Echo, EchoResult::Echo),
    }
}
