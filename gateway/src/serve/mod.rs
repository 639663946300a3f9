//! Callers' requests: one task for each connection, which reads, decides, forwards and answers.

mod attempt;
mod body;
mod buffered;
mod events;
mod handle;
mod listener;
mod record;
mod refusal;
mod send;

pub(crate) use self::listener::CallerServer;
