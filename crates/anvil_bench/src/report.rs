//! Reports of experiments: figures, and goals that some figures have to meet.

use serde_json::{
    Map,
    Value, //
};

/// Format in which a report is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Readable text, with one figure per line.
    Text,
    /// One JSON object in the last line of the output.
    Json,
}

/// Goal for a figure. Both limits are inclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// The figure has to be at least this.
    AtLeast(f64),
    /// The figure has to be at most this.
    AtMost(f64),
}

impl Bound {
    fn is_met_by(self, value: f64) -> bool {
        match self {
            Self::AtLeast(limit) => value >= limit,
            Self::AtMost(limit) => value <= limit,
        }
    }
}

/// Figures of one run of an experiment, and the goals that they missed.
#[derive(Debug)]
pub struct Report {
    experiment: &'static str,
    figures: Map<String, Value>,
    missed_goals: Vec<String>,
}

impl Report {
    /// Creates a report that holds only the name of the experiment and the seed.
    pub fn new(experiment: &'static str, seed: u64) -> Self {
        let mut figures = Map::new();
        figures.insert("experiment".to_owned(), experiment.into());
        figures.insert("seed".to_owned(), seed.into());
        Self {
            experiment,
            figures,
            missed_goals: Vec::new(),
        }
    }

    /// Adds a figure without a goal. A figure of the same name is replaced.
    pub fn add_figure(&mut self, name: impl Into<String>, value: impl Into<Value>) {
        self.figures.insert(name.into(), value.into());
    }

    /// Adds a figure and checks it against a goal.
    pub fn add_goal(&mut self, name: impl Into<String>, value: f64, bound: Bound) {
        let name = name.into();
        if !bound.is_met_by(value) {
            self.missed_goals
                .push(format!("{name} = {value:.4}, goal {bound:?}"));
        }
        self.figures.insert(name, value.into());
    }

    /// Returns whether every goal was met.
    pub fn goals_met(&self) -> bool {
        self.missed_goals.is_empty()
    }

    /// Prints the report to standard output.
    pub fn print(&self, output: OutputFormat) {
        if output == OutputFormat::Text {
            println!("{}", self.experiment);
            for (name, value) in &self.figures {
                println!("  {name:<40} {value}");
            }
        }
        for goal in &self.missed_goals {
            println!("goal missed: {goal}");
        }
        if output == OutputFormat::Json {
            let mut object = self.figures.clone();
            object.insert("missed".to_owned(), self.missed_goals.clone().into());
            println!("{}", Value::Object(object));
        }
    }
}

/// Prints the progress of a run to standard error.
pub fn print_progress(message: impl std::fmt::Display) {
    eprintln!("… {message}");
}
