//! The task of one proxied connection.

use super::gate::{Direction, Gate, Mode, Passage};
use std::{future::pending, io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::sleep,
};

/// Bytes that are read and passed on at once.
const PIECE: usize = 16 << 10;

/// Bytes that a throttled connection passes on at once, so that the rate is even.
const THROTTLED_PIECE: usize = 256;

/// Connects to `server` and passes data on until both sides end; the listener's task ends it when
/// the proxy cuts.
pub(super) async fn run(
    gate: Gate,
    passage: Passage,
    client: TcpStream,
    server: SocketAddr,
) -> io::Result<()> {
    gate.pass(passage, Direction::Request).await;
    let server = TcpStream::connect(server).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let requests = copy(&gate, passage, Direction::Request, client_reader, server_writer);
    let answers = copy(&gate, passage, Direction::Answer, server_reader, client_writer);
    tokio::try_join!(requests, answers)?;
    Ok(())
}

async fn copy(
    gate: &Gate,
    passage: Passage,
    direction: Direction,
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
) -> io::Result<()> {
    let mut piece = vec![0; PIECE];
    loop {
        let size = reader.read(&mut piece).await;
        let mode = gate.pass(passage, direction).await;
        // The end of a connection is passed on under the mode of the moment, as data is.
        let size = size?;
        if size == 0 {
            return writer.shutdown().await;
        }
        deliver(mode, &piece[..size], &mut writer).await?;
    }
}

async fn deliver(mode: Mode, piece: &[u8], writer: &mut OwnedWriteHalf) -> io::Result<()> {
    match mode {
        // Data that was held back when the cut came is lost. The connection stays open until the
        // listener is closed, so that who sees it closed is refused a new one.
        Mode::Cut => pending().await,
        Mode::Delay(delay) => {
            sleep(delay).await;
            writer.write_all(piece).await
        }
        Mode::Throttle(rate) => {
            for part in piece.chunks(THROTTLED_PIECE) {
                writer.write_all(part).await?;
                sleep(Duration::from_secs(1) * part.len() as u32 / rate.max(1)).await;
            }
            Ok(())
        }
        _ => writer.write_all(piece).await,
    }
}
