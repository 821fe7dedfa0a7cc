//! Line plots as SVG.

use plotters::prelude::*;

/// Line of a plot: its name in the legend and its points.
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// Draws lines with common axes and returns the text of an SVG. `x` and `y` are the descriptions of the axes.
///
/// Returns an error if there are no points or if the drawing fails.
pub fn lines(title: &str, x: &str, y: &str, drawn: &[Line]) -> Result<String, String> {
    let points = || drawn.iter().flat_map(|line| line.points.iter());
    let range = |coordinate: fn(&(f64, f64)) -> f64| {
        let (min, max) = points()
            .map(coordinate)
            .fold((f64::INFINITY, f64::NEG_INFINITY), |(min, max), value| (min.min(value), max.max(value)));
        if min < max {
            (min, max)
        } else {
            (min.min(0.0), max.max(0.0) + 1.0)
        }
    };
    if points().next().is_none() {
        return Err("the plot has no points".into());
    }
    let ((from, to), (_, top)) = (range(|point| point.0), range(|point| point.1));
    let mut text = String::new();
    let draw = |text: &mut String| -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(text, (860, 480)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(from..to, 0.0..top * 1.05)?;
        chart.configure_mesh().x_desc(x).y_desc(y).light_line_style(WHITE).draw()?;
        for (index, line) in drawn.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
            let labelled = chart.draw_series(series)?.label(line.name.clone());
            labelled
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        area.present()?;
        Ok(())
    };
    draw(&mut text).map_err(|error| format!("drawing: {error}"))?;
    Ok(text)
}

#[cfg(test)]
mod tests;
