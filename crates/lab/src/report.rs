//! Formats results as a Markdown table and an SVG chart.

use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

/// Counts of one second of a run.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Second {
    /// Queries that ended in this second: answered, refused, failed, lost.
    pub ends: [u64; 4],
    /// Run stores that were up at the end of the second.
    pub up: u64,
}

/// Formats a Markdown table.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let line =
        |cells: &mut dyn Iterator<Item = &str>| format!("| {} |\n", cells.collect::<Vec<_>>().join(" | "));
    let mut text = line(&mut head.iter().copied());
    text += &line(&mut head.iter().map(|_| "---"));
    rows.iter().for_each(|row| text += &line(&mut row.iter().map(String::as_str)));
    text
}

/// Draws an SVG line chart of values by second, with one named line for each row.
///
/// # Errors
/// If the file cannot be written.
pub fn chart(path: &Path, title: &str, unit: &str, rows: &[(&str, Vec<f64>)]) -> Result<(), String> {
    let failed = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let root = SVGBackend::new(path, (960, 400)).into_drawing_area();
    root.fill(&WHITE).map_err(|error| failed(&error))?;
    let most = rows.iter().flat_map(|(_, row)| row).copied().fold(1.0, f64::max);
    let seconds = rows.iter().map(|(_, row)| row.len()).max().unwrap_or(1).max(1);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0..seconds, 0.0..most * 1.1)
        .map_err(|error| failed(&error))?;
    chart.configure_mesh().x_desc("second").y_desc(unit).draw().map_err(|error| failed(&error))?;
    let colours = [RGBColor(34, 120, 60), RGBColor(200, 130, 0), RGBColor(190, 30, 30), RGBColor(90, 90, 90)];
    for ((name, row), colour) in rows.iter().zip(colours) {
        let line = row.iter().copied().enumerate();
        chart
            .draw_series(LineSeries::new(line, &colour))
            .map_err(|error| failed(&error))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|error| failed(&error))?;
    root.present().map_err(|error| failed(&error))
}
