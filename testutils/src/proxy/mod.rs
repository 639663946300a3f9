//! A TCP proxy on a loopback address that injects faults.

mod connection;
mod gate;
mod listener;

pub use self::{
    gate::{ConnectionId, Mode},
    listener::Proxy,
};
