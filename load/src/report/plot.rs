//! The time to first token over the run as a drawing.

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

/// Size of the drawing, in pixels.
const SIZE: (u32, u32) = (960, 480);

/// Why a drawing could not be written.
#[derive(Debug, thiserror::Error)]
#[error("drawing failed: {0}")]
pub struct PlotError(#[from] DrawingAreaErrorKind<io::Error>);

/// Draws the 95th percentile of the time to first token in each second, one line a class.
///
/// Short prompts are blue, medium ones green and long ones red; the axis of times is logarithmic.
pub fn plot(report: &Report, path: &Path) -> Result<(), PlotError> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = report.seconds.len().max(1) as f64;
    let times = report.seconds.iter().flat_map(|second| second.first.values());
    let longest = times.map(|(_, p95)| *p95).fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds, (1.0..longest).log_scale())?;
    chart.configure_mesh().disable_mesh().draw()?;
    for class in LengthClass::iter() {
        let points = report.seconds.iter().enumerate().filter_map(|(second, part)| {
            part.first.get(&class).map(|(_, p95)| (second as f64, p95.max(1.0)))
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
