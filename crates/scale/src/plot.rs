//! Plots of measured values by size, as SVG.

use crate::Error;
use crate::fit::Fitted;
use plotters::prelude::*;
use std::path::Path;

/// One curve of a plot.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Size and measured value of each point.
    pub points: Vec<(f64, f64)>,
    /// Fitted curve, drawn if there is one.
    pub fitted: Option<Fitted>,
}

const SIZE: (u32, u32) = (760, 480);
/// Number of line segments that draw a fitted curve.
const CURVE_SEGMENTS: u32 = 60;

/// Draws the series on logarithmic axes; points that are not above zero are left out.
///
/// # Errors
/// The file can't be written, or no series has a point above zero.
pub fn draw(
    path: &Path,
    title: &str,
    axis: &str,
    unit: &str,
    series: &[Series],
) -> Result<(), Error> {
    let shown = |points: &[(f64, f64)]| -> Vec<(f64, f64)> {
        points
            .iter()
            .copied()
            .filter(|&(x, y)| x > 0.0 && y > 0.0)
            .collect()
    };
    let all: Vec<(f64, f64)> = series
        .iter()
        .flat_map(|series| shown(&series.points))
        .collect();
    let range = |of: fn(&(f64, f64)) -> f64| {
        let (min, max) = all
            .iter()
            .map(of)
            .fold((f64::MAX, 0.0f64), |(min, max), at| {
                (min.min(at), max.max(at))
            });
        min / 1.5..max * 1.5
    };
    if all.is_empty() {
        return Err(Error::Unexpected(format!("{title}: nothing to draw")));
    }
    let failed =
        |error: &dyn std::fmt::Display| Error::Unexpected(format!("{}: {error}", path.display()));
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(
            range(|point| point.0).log_scale(),
            range(|point| point.1).log_scale(),
        )
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc(axis)
        .y_desc(unit)
        .x_label_formatter(&|at| format!("{at:.0}"))
        .y_label_formatter(&|at| format!("{at:.3e}"))
        .draw()
        .map_err(|error| failed(&error))?;
    for (number, series) in series.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = shown(&series.points);
        let name = series.name.clone();
        chart
            .draw_series(
                points
                    .iter()
                    .map(|&point| Circle::new(point, 4, color.filled())),
            )
            .map_err(|error| failed(&error))?
            .label(name)
            .legend(move |at| Circle::new((at.0 + 8, at.1), 4, color.filled()));
        if let (Some(fitted), Some(first), Some(last)) =
            (series.fitted, points.first(), points.last())
        {
            let step = (last.0 / first.0).powf(1.0 / f64::from(CURVE_SEGMENTS));
            let line = (0..=CURVE_SEGMENTS).map(|number| first.0 * step.powi(number.cast_signed()));
            let line = shown(&line.map(|at| (at, fitted.at(at))).collect::<Vec<_>>());
            chart
                .draw_series(LineSeries::new(line, color))
                .map_err(|error| failed(&error))?;
        }
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::UpperLeft)
        .draw()
        .map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
