//! Framing and encoding of control messages, with a metric of the bytes transferred.
#![allow(unreachable_pub, reason = "parts of the type that `control_transport` returns")]

use std::io;
use tarpc::{
    serde_transport::{self, Transport},
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};
use tokio::{
    io::{Join, join},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};
use tokio_util::io::{InspectReader, InspectWriter};

/// Callback that is invoked with the bytes of each read or write.
pub type ByteCounter = fn(&[u8]);

/// A TCP connection whose bytes are counted.
pub type CountedStream =
    Join<InspectReader<OwnedReadHalf, ByteCounter>, InspectWriter<OwnedWriteHalf, ByteCounter>>;

/// A control connection that receives `Item` and sends `SinkItem`.
pub type ControlTransport<Item, SinkItem> =
    Transport<CountedStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Returns a transport over a connected stream, which ends at a message of more than
/// `max_frame_bytes` bytes.
///
/// # Errors
///
/// Returns an error if `TCP_NODELAY` can't be set.
pub fn control_transport<Item, SinkItem>(
    stream: TcpStream,
    max_frame_bytes: usize,
) -> io::Result<ControlTransport<Item, SinkItem>>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let counted = join(
        InspectReader::new(reader, count_received as ByteCounter),
        InspectWriter::new(writer, count_sent as ByteCounter),
    );
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(max_frame_bytes);
    Ok(serde_transport::new(Framed::new(counted, codec), Bincode::default()))
}

fn count_received(bytes: &[u8]) {
    metrics::counter!("fulmarhead_control_bytes_total", "direction" => "received")
        .increment(bytes.len() as u64);
}

fn count_sent(bytes: &[u8]) {
    metrics::counter!("fulmarhead_control_bytes_total", "direction" => "sent")
        .increment(bytes.len() as u64);
}
