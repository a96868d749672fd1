use std::fmt;

/// A straight line fitted to measured points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Slope of the line.
    pub slope: f64,
    /// Value of the line at `x = 0`.
    pub intercept: f64,
    /// Largest vertical distance of a point from the line, as a fraction of the largest absolute
    /// value.
    pub residual: f64,
}

impl LineFit {
    /// Fits a line; returns `None` if the points have fewer than two different `x` values.
    #[must_use]
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean =
            |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let squared_deviations: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || squared_deviations == 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>()
            / squared_deviations;
        let intercept = mean_y - slope * mean_x;
        let residual_at = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs();
        let largest_residual = points.iter().map(residual_at).fold(0.0, f64::max);
        let largest_value = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        Some(Self { slope, intercept, residual: largest_residual / largest_value })
    }
}

impl fmt::Display for LineFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.4} + {:.6} x, residual {:.1}%",
            self.intercept,
            self.slope,
            self.residual * 100.0
        )
    }
}
