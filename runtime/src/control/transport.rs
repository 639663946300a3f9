//! Framing and encoding of control messages, with a count of their bytes.
#![allow(unreachable_pub, reason = "parts of the type that `wire` returns")]

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

/// Largest message, in bytes: a whole configuration of the design size.
const MAX_FRAME: usize = 32 << 20;

/// Counts bytes.
pub type Count = fn(&[u8]);

/// A connection whose bytes are counted.
pub type Counted = Join<InspectReader<OwnedReadHalf, Count>, InspectWriter<OwnedWriteHalf, Count>>;

/// A control connection that receives `Item` and sends `SinkItem`.
pub type Wire<Item, SinkItem> = Transport<Counted, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Returns the transport on a connected stream.
pub fn wire<Item, SinkItem>(stream: TcpStream) -> io::Result<Wire<Item, SinkItem>>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let counted = join(
        InspectReader::new(reader, count_received as Count),
        InspectWriter::new(writer, count_sent as Count),
    );
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME);
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
