//! Linear least-squares fits of measured points.

/// A quantity measured at several sizes, for example memory by the number of nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// Name of the quantity.
    pub name: &'static str,
    /// What the size counts, in the singular.
    pub per: &'static str,
    /// Unit of the quantity.
    pub unit: &'static str,
    /// Measured points, as `(size, quantity)`.
    pub points: Vec<(f64, f64)>,
}

/// A straight line fitted to points by least squares.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinearFit {
    /// Quantity at size zero.
    pub intercept: f64,
    /// Increase of the quantity per unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Coefficient of determination: the fraction of the variance that the line explains.
    pub r_squared: f64,
}

impl Series {
    /// Creates a series without points.
    pub fn new(name: &'static str, unit: &'static str, per: &'static str) -> Self {
        Self {
            name,
            per,
            unit,
            points: Vec::new(),
        }
    }

    /// Adds a measured point.
    pub fn push(&mut self, size: f64, quantity: f64) {
        self.points.push((size, quantity));
    }

    /// Fits a line to the points.
    pub fn fit(&self) -> LinearFit {
        LinearFit::of(&self.points)
    }

    /// Estimates the quantity at a size, with its error: from the fitted line if its slope is
    /// positive, otherwise the mean and the standard deviation of the points.
    pub fn estimate_at(&self, size: f64) -> (f64, f64) {
        let fit = self.fit();
        if fit.slope > 0.0 {
            return (fit.value_at(size), fit.error_at(size));
        }
        let count = self.points.len() as f64;
        let mean = sum(&self.points, |_, y| y) / count;
        let variance = sum(&self.points, |_, y| (y - mean).powi(2)) / (count - 1.0);
        (mean, variance.sqrt())
    }

    /// Formats the points and the fit as a row of a Markdown table.
    pub fn to_row(&self) -> String {
        let fit = self.fit();
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(size, quantity)| format!("{size:.0}: {}", format_significant(*quantity)))
            .collect();
        format!(
            "| {} | {} | {} | {} ± {} {} per {} | {:.3} |",
            self.name,
            points.join(", "),
            format_significant(fit.intercept),
            format_significant(fit.slope),
            format_significant(fit.slope_error),
            self.unit,
            self.per,
            fit.r_squared
        )
    }
}

impl LinearFit {
    /// Fits a line to `(size, quantity)` points; the slope's error needs at least three.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;

        let xx = sum(points, |x, _| (x - mean_x).powi(2));
        let xy = sum(points, |x, y| (x - mean_x) * (y - mean_y));
        let yy = sum(points, |_, y| (y - mean_y).powi(2));
        let slope = xy / xx;
        let intercept = mean_y - slope * mean_x;
        let residual = sum(points, |x, y| (y - intercept - slope * x).powi(2));
        Self {
            intercept,
            slope,
            slope_error: (residual / (count - 2.0) / xx).sqrt(),
            r_squared: if yy > 0.0 { 1.0 - residual / yy } else { 1.0 },
        }
    }

    /// Quantity that the line gives for a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Standard error of the part that the slope adds at a size.
    pub fn error_at(&self, size: f64) -> f64 {
        self.slope_error * size
    }
}

fn sum(points: &[(f64, f64)], term: impl Fn(f64, f64) -> f64) -> f64 {
    points.iter().map(|(x, y)| term(*x, *y)).sum()
}

/// Formats a number with about three significant digits.
pub fn format_significant(value: f64) -> String {
    let magnitude = value.abs();
    match magnitude {
        _ if magnitude == 0.0 => "0".into(),
        _ if magnitude >= 100.0 => format!("{value:.0}"),
        _ if magnitude >= 10.0 => format!("{value:.1}"),
        _ if magnitude >= 1.0 => format!("{value:.2}"),
        _ if magnitude >= 0.001 => format!("{value:.4}"),
        _ => format!("{value:.1e}"),
    }
}
