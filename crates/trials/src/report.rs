//! Renders the result of a scenario as one self-contained HTML page with plots.

use crate::driver::Sample;
use crate::figures::Figures;
use plotters::prelude::*;
use std::error::Error;
use std::fmt::Write;

const PLOT_SIZE_PIXELS: (u32, u32) = (860, 360);
/// Longest prompt that counts as short in the plots.
const SHORT_TOKENS: u64 = 8_000;
/// Width of the bins in which request rates are counted.
const BIN_SECONDS: f64 = 0.5;
/// Shortest time plotted, because a logarithmic axis cannot start at zero.
const MIN_MILLIS: f64 = 1.0;
const COLOURS: [RGBColor; 4] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
];

/// The samples of each run, with the name of the run.
pub type RunSamples = Vec<(Box<str>, Vec<Sample>)>;

type Plot = Result<String, Box<dyn Error>>;
type PlotLine = (String, Vec<(f64, f64)>);

/// Renders the page: plots if there are samples, then tables of bounds and figures.
pub fn html_report(figures: &Figures) -> Result<String, Box<dyn Error>> {
    let mut page = format!(
        "<!doctype html><meta charset=utf-8><title>{0}</title>\
         <style>body{{font:15px sans-serif;margin:2em}}td{{padding:0 1em}}</style>\
         <h1>{0}, seed {1}</h1>",
        figures.scenario, figures.seed
    );
    if !figures.runs.is_empty() {
        page += &first_token_by_length(&figures.runs)?;
        page += &short_first_token_over_time(&figures.runs)?;
        page += &request_rates(&figures.runs)?;
    }
    page += "<h2>Bounds</h2><table>";
    for bound in &figures.bounds {
        let verdict = if bound.holds { "holds" } else { "FAILS" };
        let limit = bound.at_most.or(bound.at_least).unwrap_or_default();
        let name = &bound.name;
        write!(
            page,
            "<tr><td>{verdict}<td>{name}<td>{}<td>{limit}",
            bound.value
        )?;
    }
    page += "</table><h2>Figures</h2><table>";
    for (name, value) in &figures.figures {
        write!(page, "<tr><td>{name}<td>{value}")?;
    }
    page += "</table>";
    Ok(page)
}

fn first_token_by_length(runs: &RunSamples) -> Plot {
    let points = |samples: &[Sample]| {
        let whole = samples.iter().filter_map(|sample| {
            let tokens = sample.arrival.prompt_tokens as f64;
            Some((tokens, first_token_millis(sample)?))
        });
        whole.collect()
    };
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let lines = lines(runs, points);
        let mut chart = ChartBuilder::on(&area)
            .caption(
                "Time to first token (ms) by prompt tokens",
                ("sans-serif", 18),
            )
            .margin(12)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(
                (500.0..1_200_000.0).log_scale(),
                (MIN_MILLIS..y_axis_end(&lines)).log_scale(),
            )?;
        chart.configure_mesh().draw()?;
        for (index, (name, points)) in lines.into_iter().enumerate() {
            let colour = COLOURS[index % COLOURS.len()];
            let dots = points
                .into_iter()
                .map(|point| Circle::new(point, 2, colour.filled()));
            chart
                .draw_series(dots)?
                .label(name)
                .legend(move |at| Circle::new(at, 4, colour.filled()));
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
        area.present()?;
    }
    Ok(svg)
}

fn short_first_token_over_time(runs: &RunSamples) -> Plot {
    let points = |samples: &[Sample]| {
        let short = samples
            .iter()
            .filter(|sample| sample.arrival.prompt_tokens <= SHORT_TOKENS);
        let times = short.filter_map(|sample| {
            let at = sample.arrival.at.as_secs_f64();
            Some((at, first_token_millis(sample)?))
        });
        times.collect()
    };
    over_time(
        "Time to first token of short prompts (ms) over time (s)",
        lines(runs, points),
    )
}

fn request_rates(runs: &RunSamples) -> Plot {
    let mut lines = Vec::new();
    for (name, samples) in runs {
        for (end, whole) in [("whole", true), ("refused or failed", false)] {
            let chosen = samples
                .iter()
                .filter(|sample| sample.outcome.end.is_whole() == whole);
            let times = chosen.map(|sample| sample.arrival.at.as_secs_f64());
            lines.push((format!("{name}: {end}"), rates_by_bin(times)));
        }
    }
    over_time(
        "Requests a second by what became of them, over time (s)",
        lines,
    )
}

fn rates_by_bin(times: impl Iterator<Item = f64>) -> Vec<(f64, f64)> {
    let mut counts = Vec::new();
    for time in times {
        let bin = (time / BIN_SECONDS) as usize;
        if counts.len() <= bin {
            counts.resize(bin + 1, 0.0);
        }
        counts[bin] += 1.0 / BIN_SECONDS;
    }
    let bins = counts.into_iter().enumerate();
    bins.map(|(bin, rate)| (bin as f64 * BIN_SECONDS, rate))
        .collect()
}

fn over_time(caption: &str, lines: Vec<PlotLine>) -> Plot {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let all = lines.iter().flat_map(|(_, points)| points);
        let end = all.map(|(at, _)| *at).fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..end, 0.0..y_axis_end(&lines))?;
        chart.configure_mesh().draw()?;
        for (index, (name, points)) in lines.into_iter().enumerate() {
            let colour = COLOURS[index % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(points, &colour))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
        area.present()?;
    }
    Ok(svg)
}

fn lines(runs: &RunSamples, points: impl Fn(&[Sample]) -> Vec<(f64, f64)>) -> Vec<PlotLine> {
    let line = |(name, samples): &(Box<str>, Vec<Sample>)| (name.to_string(), points(samples));
    runs.iter().map(line).collect()
}

fn y_axis_end(lines: &[PlotLine]) -> f64 {
    let all = lines.iter().flat_map(|(_, points)| points);
    all.map(|(_, value)| value * 1.1)
        .fold(MIN_MILLIS * 2.0, f64::max)
}

fn first_token_millis(sample: &Sample) -> Option<f64> {
    let first = sample.outcome.first_byte?;
    let whole = sample.outcome.end.is_whole();
    whole.then(|| (first.as_secs_f64() * 1e3).max(MIN_MILLIS))
}
