//! Report of a run, as JSON, tables and a plot.

mod document;
mod plot;
mod table;

pub use self::{document::Report, plot::plot, table::table};
