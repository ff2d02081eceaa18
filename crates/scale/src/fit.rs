//! Least-squares fits of a constant and one growing term.

/// How a quantity may grow with the size n.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// a + b·n.
    Linear,
    /// a + b·n·log2 n.
    LogLinear,
    /// a + b·n².
    Quadratic,
}

impl Form {
    /// All forms, the simplest first.
    pub const ALL: [Form; 3] = [Form::Linear, Form::LogLinear, Form::Quadratic];

    /// Name of the form in a results file.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Form::Linear => "constant+linear",
            Form::LogLinear => "constant+n log n",
            Form::Quadratic => "constant+quadratic",
        }
    }

    /// The growing term at size n, without its coefficient.
    #[must_use]
    pub fn term(self, n: f64) -> f64 {
        match self {
            Form::Linear => n,
            Form::LogLinear => n * n.max(1.0).log2(),
            Form::Quadratic => n * n,
        }
    }
}

/// A curve fitted to points, and its residuals.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fitted {
    /// Form of the growing term.
    pub form: Form,
    /// The constant term, a.
    pub constant: f64,
    /// Coefficient of the growing term, b.
    pub slope: f64,
    /// Root mean square of the residuals.
    pub rms: f64,
    /// Residual with the largest absolute value, with its sign.
    pub worst: f64,
}

impl Fitted {
    /// The fitted value at size n.
    #[must_use]
    pub fn at(&self, n: f64) -> f64 {
        self.constant + self.slope * self.form.term(n)
    }
}

/// Fits a curve of this form by least squares; none for fewer than two different sizes.
#[must_use]
pub fn fit(form: Form, points: &[(f64, f64)]) -> Option<Fitted> {
    let count = points.len() as f64;
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_term, mean_value) = (mean(&|point| form.term(point.0)), mean(&|point| point.1));
    let squared_deviations: f64 = points
        .iter()
        .map(|point| (form.term(point.0) - mean_term).powi(2))
        .sum();
    if points.len() < 2 || squared_deviations <= 0.0 {
        return None;
    }
    let codeviations: f64 = points
        .iter()
        .map(|point| (form.term(point.0) - mean_term) * (point.1 - mean_value))
        .sum();
    let slope = codeviations / squared_deviations;
    let mut fitted = Fitted {
        form,
        constant: mean_value - slope * mean_term,
        slope,
        rms: 0.0,
        worst: 0.0,
    };
    let residuals: Vec<f64> = points
        .iter()
        .map(|point| point.1 - fitted.at(point.0))
        .collect();
    fitted.rms = (residuals
        .iter()
        .map(|residual| residual * residual)
        .sum::<f64>()
        / count)
        .sqrt();
    fitted.worst = residuals.into_iter().fold(0.0, |worst: f64, residual| {
        if residual.abs() > worst.abs() {
            residual
        } else {
            worst
        }
    });
    Some(fitted)
}

/// A more complex form replaces a simpler one only if its residuals are below this fraction of the simpler one's,
/// because other load on the machine makes even a quantity that grows linearly deviate from a line.
const MAX_RESIDUAL_RATIO: f64 = 0.5;

/// Fits all forms and returns the simplest one, or a more complex one if it fits clearly better (see
/// `MAX_RESIDUAL_RATIO`); none for fewer than two different sizes.
#[must_use]
pub fn best(points: &[(f64, f64)]) -> Option<Fitted> {
    let fitted = Form::ALL.into_iter().filter_map(|form| fit(form, points));
    fitted.reduce(|simpler, next| {
        if next.rms < simpler.rms * MAX_RESIDUAL_RATIO {
            next
        } else {
            simpler
        }
    })
}
