//! TCP proxy on a loopback address that injects network faults.

mod connection;
mod gate;
mod listener;

pub use self::{
    gate::{ConnectionId, Mode},
    listener::Proxy,
};
