//! Measured series, the curves fitted to them, and figures computed from the fits.

use std::cell::RefCell;
use std::collections::BTreeSet;

use serde::Deserialize;

/// The curve that is fitted to a series.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Curve {
    /// `y = intercept + slope * x`.
    #[default]
    Line,
    /// `y = intercept + slope * x * x`.
    Square,
}

/// A series that one command measured.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// The name, which is unique.
    pub name: String,
    /// What `x` counts.
    pub x: String,
    /// The unit of `y`.
    pub unit: String,
    /// The command that produced the series.
    pub command: String,
    /// The conditions that were held fixed.
    pub fixed: String,
    /// The build that was measured.
    pub build: String,
    /// Pairs of `x` and `y`.
    pub points: Vec<[f64; 2]>,
    /// The curve that is fitted.
    #[serde(default)]
    pub curve: Curve,
}

/// A curve fitted to a series by least squares of relative residuals. Values span wide ranges, and relative residuals
/// give small values the same weight as large ones.
#[derive(Debug, Clone, PartialEq)]
pub struct Fit {
    /// The increase of `y` per unit of `x`, or of its square.
    pub slope: f64,
    /// The value at `x = 0`.
    pub intercept: f64,
    /// The root mean square of the relative residuals.
    pub rms: f64,
    /// The largest relative residual.
    pub max_error: f64,
    /// The range of `x` that was measured.
    pub range: (f64, f64),
    curve: Curve,
}

impl Series {
    /// Fits the curve.
    ///
    /// # Errors
    /// If a point is out of range or all points share one `x`.
    pub fn fit(&self) -> Result<Fit, String> {
        let invalid = |why: &str| Err(format!("series {}: {why}", self.name));
        let is_valid = |[x, y]: &[f64; 2]| x.is_finite() && y.is_finite() && *x >= 0.0 && *y > 0.0;
        if !self.points.iter().all(is_valid) {
            return invalid("each x must be 0 or more, and each y more than 0");
        }
        let xs = || self.points.iter().map(|[x, _]| *x);
        let range = (xs().fold(f64::INFINITY, f64::min), xs().fold(0.0, f64::max));
        if range.0 >= range.1 {
            return invalid("a line needs points at two values of x or more");
        }
        let form = |x: f64| match self.curve {
            Curve::Line => x,
            Curve::Square => x * x,
        };
        // Each point's equation is divided by its y: u * intercept + v * slope = 1.
        let rows = || self.points.iter().map(|[x, y]| (1.0 / y, form(*x) / y));
        let sum = |of: fn((f64, f64)) -> f64| rows().map(of).sum::<f64>();
        let (uu, uv, vv) = (sum(|(u, _)| u * u), sum(|(u, v)| u * v), sum(|(_, v)| v * v));
        let (u, v) = (sum(|(u, _)| u), sum(|(_, v)| v));
        let determinant = uu * vv - uv * uv;
        let (intercept, slope) = ((u * vv - v * uv) / determinant, (v * uu - u * uv) / determinant);
        let residuals = || rows().map(|(u, v)| (u * intercept + v * slope - 1.0).abs());
        let rms = (residuals().map(|one| one * one).sum::<f64>() / self.points.len() as f64).sqrt();
        Ok(Fit {
            slope,
            intercept,
            rms,
            max_error: residuals().fold(0.0, f64::max),
            range,
            curve: self.curve,
        })
    }
}

impl Fit {
    /// Returns the value of the fit at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept
            + self.slope
                * match self.curve {
                    Curve::Line => x,
                    Curve::Square => x * x,
                }
    }

    /// Returns the factor by which `x` lies beyond the measured range; 1 inside it.
    pub fn extrapolation(&self, x: f64) -> f64 {
        let (least, greatest) = self.range;
        (x / greatest).max(least / x.max(f64::MIN_POSITIVE)).max(1.0)
    }
}

/// The position of a figure relative to the measured range, with the error of the fit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Position {
    /// A measured point.
    Measured,
    /// Inside the range, with the root mean square error.
    Inside(f64),
    /// Beyond the range, with the factor of extrapolation and the root mean square error.
    Beyond(f64, f64),
}

/// A series that a figure was computed from.
#[derive(Debug, Clone, PartialEq)]
pub struct Basis {
    /// The name of the series.
    pub series: String,
    /// The position relative to the measured range.
    pub position: Position,
}

/// A figure and the series behind it; without series it is derived from assumptions alone.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Figure {
    /// The value.
    pub value: f64,
    /// The series behind the value.
    pub bases: Vec<Basis>,
}

impl Figure {
    /// Returns a figure that is derived from assumptions alone.
    pub fn assumed(value: f64) -> Self {
        Figure { value, bases: Vec::new() }
    }

    /// Returns the figure multiplied by a factor.
    pub fn times(&self, by: f64) -> Self {
        Figure { value: self.value * by, bases: self.bases.clone() }
    }

    /// Returns the sum of two figures, with the series of both.
    pub fn plus(&self, other: &Figure) -> Self {
        let bases = self.bases.iter().chain(&other.bases).cloned().collect();
        Figure { value: self.value + other.value, bases }
    }
}

/// All series with their fits, and the names of those that have been used.
pub struct Slopes {
    all: Vec<(Series, Fit)>,
    used: RefCell<BTreeSet<String>>,
}

impl Slopes {
    /// Fits all series.
    ///
    /// # Errors
    /// Names the series that is duplicated or cannot be fitted.
    pub fn new(series: Vec<Series>) -> Result<Self, String> {
        let mut all: Vec<(Series, Fit)> = Vec::new();
        for one in series {
            if all.iter().any(|(known, _)| known.name == one.name) {
                return Err(format!("series {}: there are two of that name", one.name));
            }
            let fit = one.fit()?;
            all.push((one, fit));
        }
        Ok(Slopes { all, used: RefCell::default() })
    }

    /// Returns the series that figures have used so far, in the order of the file.
    pub fn used(&self) -> Vec<&(Series, Fit)> {
        let used = self.used.borrow();
        self.all.iter().filter(|(series, _)| used.contains(&series.name)).collect()
    }

    /// Finds a series by name and marks it as used.
    fn find(&self, name: &str) -> Option<&(Series, Fit)> {
        let found = self.all.iter().find(|(series, _)| series.name == name)?;
        self.used.borrow_mut().insert(name.to_string());
        Some(found)
    }

    /// Returns the value of a series at `x`: the mean of the points measured there, else the fit; `None` if there is no
    /// series of that name.
    pub fn at(&self, name: &str, x: f64) -> Option<Figure> {
        let (series, fit) = self.find(name)?;
        let measured: Vec<f64> =
            series.points.iter().filter(|point| point[0] == x).map(|point| point[1]).collect();
        let (value, position) = match measured.len() {
            0 if fit.extrapolation(x) > 1.0 => (fit.at(x), Position::Beyond(fit.extrapolation(x), fit.rms)),
            0 => (fit.at(x), Position::Inside(fit.rms)),
            count => (measured.iter().sum::<f64>() / count as f64, Position::Measured),
        };
        Some(Figure { value, bases: vec![Basis { series: name.to_string(), position }] })
    }

    /// Returns the slope of a series, with its position relative to the measured range at `x`.
    pub fn slope_of(&self, name: &str, x: f64) -> Option<Figure> {
        let (_, fit) = self.find(name)?;
        let position = match fit.extrapolation(x) {
            extrapolation if extrapolation > 1.0 => Position::Beyond(extrapolation, fit.rms),
            _ => Position::Inside(fit.rms),
        };
        Some(Figure { value: fit.slope, bases: vec![Basis { series: name.to_string(), position }] })
    }
}
