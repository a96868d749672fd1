use std::fmt;

/// A straight line through measured points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Rise for each unit.
    pub slope: f64,
    /// Value at zero.
    pub intercept: f64,
    /// Largest distance of a point from the line, as a part of the largest value.
    pub residual: f64,
}

impl LineFit {
    /// Fits a line; `None` if there are fewer than two different points.
    #[must_use]
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |part: fn(&(f64, f64)) -> f64| points.iter().map(part).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let distance = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs();
        let worst = points.iter().map(distance).fold(0.0, f64::max);
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        Some(Self { slope, intercept, residual: worst / largest })
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
