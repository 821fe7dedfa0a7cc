//! Plots as SVG, which any browser shows.

use plotters::prelude::*;

/// One line of a plot: what it is called, and its points.
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// Draws lines over a common ground, as the text of an SVG.
///
/// Errors: what the drawing says.
pub fn lines(title: &str, x: &str, y: &str, drawn: &[Line]) -> Result<String, String> {
    let all = || drawn.iter().flat_map(|line| line.points.iter());
    let ends = |of: fn(&(f64, f64)) -> f64| {
        let (least, most) =
            all().map(of).fold((f64::INFINITY, f64::NEG_INFINITY), |(l, m), v| (l.min(v), m.max(v)));
        if least < most {
            (least, most)
        } else {
            (least.min(0.0), least.max(0.0) + 1.0)
        }
    };
    if all().next().is_none() {
        return Err("a plot of nothing".into());
    }
    let ((from, to), (_, top)) = (ends(|p| p.0), ends(|p| p.1));
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
        for (place, line) in drawn.iter().enumerate() {
            let colour = Palette99::pick(place).to_rgba();
            let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
            let told = chart.draw_series(series)?.label(line.name.clone());
            told.legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
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
