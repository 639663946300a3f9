//! The report of a run.

mod document;
mod plot;
mod table;

pub use self::{document::Report, plot::plot, table::table};
