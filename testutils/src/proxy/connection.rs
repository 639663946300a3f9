//! Task that forwards the data of one proxied connection.

use super::gate::{AcceptedConnection, Direction, Gate, Mode};
use std::{future::pending, io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::sleep,
};

/// Size of the read buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Size of the writes on a throttled connection, in bytes; small, so that the rate is even.
const THROTTLED_WRITE_BYTES: usize = 256;

/// Connects to `server` and forwards data until both directions have ended.
///
/// On a cut, the task of the listener aborts this task.
pub(super) async fn run(
    gate: Gate,
    connection: AcceptedConnection,
    client: TcpStream,
    server: SocketAddr,
) -> io::Result<()> {
    gate.wait_passable(connection, Direction::Request).await;
    let server = TcpStream::connect(server).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let requests = copy(&gate, connection, Direction::Request, client_reader, server_writer);
    let responses = copy(&gate, connection, Direction::Response, server_reader, client_writer);
    tokio::try_join!(requests, responses)?;
    Ok(())
}

async fn copy(
    gate: &Gate,
    connection: AcceptedConnection,
    direction: Direction,
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
) -> io::Result<()> {
    let mut chunk = vec![0; BUFFER_BYTES];
    loop {
        let size = reader.read(&mut chunk).await;
        let mode = gate.wait_passable(connection, direction).await;
        // The end of a connection is subject to the current mode, as data is.
        let size = size?;
        if size == 0 {
            return writer.shutdown().await;
        }
        deliver(mode, &chunk[..size], &mut writer).await?;
    }
}

async fn deliver(mode: Mode, chunk: &[u8], writer: &mut OwnedWriteHalf) -> io::Result<()> {
    match mode {
        // Data that was held back at the time of the cut is lost. The connection stays open until
        // the listener is closed, so that a client that sees it closed is refused a new one.
        Mode::Cut => pending().await,
        Mode::Delay(delay) => {
            sleep(delay).await;
            writer.write_all(chunk).await
        }
        Mode::Throttle(rate) => {
            for part in chunk.chunks(THROTTLED_WRITE_BYTES) {
                writer.write_all(part).await?;
                sleep(Duration::from_secs(1) * part.len() as u32 / rate.max(1)).await;
            }
            Ok(())
        }
        _ => writer.write_all(chunk).await,
    }
}
