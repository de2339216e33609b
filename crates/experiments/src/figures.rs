//! Measured figures, their targets and the report that lists them.

use serde::Serialize;
use statrs::statistics::{Data, OrderStatistics};
use std::fmt;

/// The bound that the value of a figure is compared with.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The greatest value that meets the target.
    AtMost(f64),
    /// The smallest value that meets the target.
    AtLeast(f64),
    /// No bound: the figure helps to explain the others.
    None,
}

/// One figure: the median of its rounds as `value`, and the smallest and largest value of a round.
#[derive(Debug, Serialize)]
pub struct Figure {
    name: String,
    unit: &'static str,
    value: f64,
    least: f64,
    most: f64,
    rounds: usize,
    target: Target,
    met: bool,
}

/// All figures measured for one subsystem.
#[derive(Debug, Serialize)]
pub struct Report {
    measure: &'static str,
    quick: bool,
    figures: Vec<Figure>,
}

/// Returns the median, or NaN if there are no values.
pub fn median(values: &[f64]) -> f64 {
    Data::new(values.to_vec()).median()
}

impl Report {
    /// Creates a report without figures for the subsystem `measure`.
    pub fn new(measure: &'static str, quick: bool) -> Report {
        Report {
            measure,
            quick,
            figures: Vec::new(),
        }
    }

    /// Adds a figure with the value of each round, and compares their median with the target.
    pub fn add(&mut self, name: &str, unit: &'static str, rounds: &[f64], target: Target) {
        let value = median(rounds);
        let met = match target {
            Target::AtMost(most) => value <= most,
            Target::AtLeast(least) => value >= least,
            Target::None => true,
        };
        let (least, most) = rounds
            .iter()
            .fold((f64::MAX, f64::MIN), |(least, most), round| {
                (least.min(*round), most.max(*round))
            });
        let (name, rounds) = (name.to_owned(), rounds.len());
        self.figures.push(Figure {
            name,
            unit,
            value,
            least,
            most,
            rounds,
            target,
            met,
        });
    }

    /// Returns whether every figure meets its target.
    pub fn is_met(&self) -> bool {
        self.figures.iter().all(|figure| figure.met)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(
            f,
            "{:<52} {:>10} {:<8} {:>23} {:>3}  aim",
            "figure", "median", "", "least to most", "n"
        )?;
        for figure in &self.figures {
            let target = match figure.target {
                Target::AtMost(most) => format!("at most {most}"),
                Target::AtLeast(least) => format!("at least {least}"),
                Target::None => String::new(),
            };
            let spread = format!("{:.3} to {:.3}", figure.least, figure.most);
            let missed = if figure.met { "" } else { "  MISSED" };
            writeln!(
                f,
                "{:<52} {:>10.3} {:<8} {spread:>23} {:>3}  {target}{missed}",
                figure.name, figure.value, figure.unit, figure.rounds
            )?;
        }
        Ok(())
    }
}
