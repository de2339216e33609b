//! Figures beside their aims.

use serde::Serialize;
use statrs::statistics::{Data, OrderStatistics};
use std::fmt;

/// What a figure should be.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Aim {
    AtMost(f64),
    AtLeast(f64),
    /// There is none: it explains the others.
    None,
}

/// One figure: the median of its rounds, and the spread between the least and the most.
#[derive(Debug, Serialize)]
pub struct Figure {
    name: String,
    unit: &'static str,
    value: f64,
    least: f64,
    most: f64,
    rounds: usize,
    target: Aim,
    met: bool,
}

/// All figures of one subsystem.
#[derive(Debug, Serialize)]
pub struct Report {
    measure: &'static str,
    quick: bool,
    figures: Vec<Figure>,
}

/// The middle value; not a number, if there is none.
pub fn median(values: &[f64]) -> f64 {
    Data::new(values.to_vec()).median()
}

impl Report {
    pub fn new(measure: &'static str, quick: bool) -> Report {
        Report {
            measure,
            quick,
            figures: Vec::new(),
        }
    }

    /// Adds a figure with the values of its rounds.
    pub fn add(&mut self, name: &str, unit: &'static str, rounds: &[f64], target: Aim) {
        let value = median(rounds);
        let met = match target {
            Aim::AtMost(most) => value <= most,
            Aim::AtLeast(least) => value >= least,
            Aim::None => true,
        };
        let (least, most) = rounds
            .iter()
            .fold((f64::MAX, f64::MIN), |(a, b), v| (a.min(*v), b.max(*v)));
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

    pub fn is_met(&self) -> bool {
        self.figures.iter().all(|f| f.met)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(
            f,
            "{:<52} {:>10} {:<8} {:>23} {:>3}  aim",
            "figure", "median", "", "least to most", "n"
        )?;
        for x in &self.figures {
            let target = match x.target {
                Aim::AtMost(most) => format!("at most {most}"),
                Aim::AtLeast(least) => format!("at least {least}"),
                Aim::None => String::new(),
            };
            let spread = format!("{:.3} to {:.3}", x.least, x.most);
            let missed = if x.met { "" } else { "  MISSED" };
            writeln!(
                f,
                "{:<52} {:>10.3} {:<8} {spread:>23} {:>3}  {target}{missed}",
                x.name, x.value, x.unit, x.rounds
            )?;
        }
        Ok(())
    }
}
