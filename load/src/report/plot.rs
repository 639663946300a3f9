//! Plot of the time to first token over the run.

use super::document::Report;
use fulmarhead_lib::cost::LengthClass;
use plotters::{
    backend::SVGBackend,
    chart::ChartBuilder,
    coord::combinators::IntoLogRange,
    drawing::{DrawingAreaErrorKind, IntoDrawingArea},
    series::LineSeries,
    style::{BLUE, GREEN, RED, RGBColor, WHITE},
};
use std::{io, path::Path};
use strum::IntoEnumIterator;

/// Width and height of the plot.
const SIZE_PIXELS: (u32, u32) = (960, 480);

/// Reason that the plot could not be written.
#[derive(Debug, thiserror::Error)]
#[error("plot can't be written: {0}")]
pub struct PlotError(#[from] DrawingAreaErrorKind<io::Error>);

/// Writes an SVG plot of the 95th percentile of the time to first token in each second to `path`.
///
/// Each length class has one line: blue for short prompts, green for medium ones and red for long
/// ones. The axis of times is logarithmic. Returns an error if the file can't be written.
pub fn plot(report: &Report, path: &Path) -> Result<(), PlotError> {
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = report.seconds.len().max(1) as f64;
    let times = report.seconds.iter().flat_map(|second| second.first.values());
    let max_p95 = times.map(|(_, p95)| *p95).fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds, (1.0..max_p95).log_scale())?;
    chart.configure_mesh().disable_mesh().draw()?;
    for class in LengthClass::iter() {
        let points = report.seconds.iter().enumerate().filter_map(|(second, stats)| {
            stats.first.get(&class).map(|(_, p95)| (second as f64, p95.max(1.0)))
        });
        chart.draw_series(LineSeries::new(points, color(class)))?;
    }
    root.present()?;
    Ok(())
}

fn color(class: LengthClass) -> RGBColor {
    match class {
        LengthClass::Short => BLUE,
        LengthClass::Medium => GREEN,
        LengthClass::Long => RED,
    }
}
