//! Modes of the fault-injecting proxy.

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

const LIMIT: Duration = Duration::from_secs(5);

/// Time in which nothing may arrive; longer than a piece takes on a loopback address.
const SILENCE: Duration = Duration::from_millis(100);

/// What a client gets after it has sent a byte to a server that echoes it.
#[derive(Debug, PartialEq, Eq)]
enum Got {
    Echo,
    Nothing,
    Closed,
    Refused,
}

async fn proxy() -> Proxy {
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

async fn echo(stream: &mut TcpStream) -> Got {
    if stream.write_all(b"x").await.is_err() {
        return Got::Closed;
    }
    let mut byte = [0];
    match timeout(SILENCE, stream.read(&mut byte)).await {
        Err(_) => Got::Nothing,
        Ok(Ok(1)) => Got::Echo,
        Ok(_) => Got::Closed,
    }
}

/// Checks an open and a new connection under `mode`, and a new one after it.
fn check_mode(mode: Mode, on_open: Got, on_new: Got) {
    block_on(async {
        let proxy = proxy().await;
        let mut open = TcpStream::connect(proxy.address()).await.unwrap();
        assert_eq!(echo(&mut open).await, Got::Echo);
        proxy.set(mode);
        assert_eq!(echo(&mut open).await, on_open);
        let new = match TcpStream::connect(proxy.address()).await {
            Ok(mut stream) => echo(&mut stream).await,
            Err(_) => Got::Refused,
        };
        assert_eq!(new, on_new);
        proxy.set(Mode::Pass);
        let again = eventually("the proxy passes again", LIMIT, async || {
            let mut stream = TcpStream::connect(proxy.address()).await.ok()?;
            (echo(&mut stream).await == Got::Echo).then_some(())
        });
        again.await.unwrap();
    });
}

/// Guards against a release that lets the wrong connection pass.
#[test]
fn held_connections_are_released_in_another_order() {
    block_on(async {
        let proxy = proxy().await;
        proxy.set(Mode::Hold);
        let mut streams = Vec::new();
        for number in 0..3 {
            let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
            stream.write_all(&[number]).await.unwrap();
            let held = eventually("an answer is held", LIMIT, async || {
                proxy.held().contains(&u64::from(number)).then_some(())
            });
            held.await.unwrap();
            streams.push(stream);
        }
        let mut answers = Vec::new();
        for connection in [2, 0, 1] {
            proxy.release(connection);
            let answer = timeout(LIMIT, streams[connection as usize].read_u8()).await;
            answers.push(answer.unwrap().unwrap());
        }
        assert_eq!((answers, proxy.held()), (vec![2, 0, 1], BTreeSet::new()));
    });
}

/// Guards against a throttle that lets data pass at the full rate.
#[test]
fn throttle_limits_the_rate() {
    block_on(async {
        let proxy = proxy().await;
        proxy.set(Mode::Throttle(10_000));
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        stream.write_all(&[0; 4_000]).await.unwrap();
        let mut answer = vec![0; 4_000];
        let early = timeout(SILENCE, stream.read_exact(&mut answer)).await;
        assert!(early.is_err());
    });
}

cases! {
    check_mode {
        /// Guards against a cut that leaves a connection or the listener open.
        cut_closes_and_refuses: (Mode::Cut, Got::Closed, Got::Refused),
        /// Guards against a half-open mode that closes connections or delivers data.
        half_open_keeps_connections: (Mode::HalfOpen, Got::Nothing, Got::Nothing),
        /// Guards against a delay that is not applied.
        delay_defers_data: (Mode::Delay(2 * SILENCE), Got::Nothing, Got::Nothing),
        /// Guards against a hold that lets answers pass.
        hold_keeps_answers: (Mode::Hold, Got::Nothing, Got::Nothing),
        passes_by_default: (Mode::Pass, Got::Echo, Got::Echo),
    }
}
