//! Text tables with aligned columns.

/// A table whose first row holds the headings.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these headings, which are printed in upper case.
    pub fn new(headings: &[&str]) -> Self {
        let headings = headings
            .iter()
            .map(|heading| heading.to_uppercase())
            .collect();
        Self {
            rows: vec![headings],
        }
    }

    /// Appends a row, with its cells in the order of the headings.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<_> = (0..columns)
            .map(|column| {
                let cells = self.rows.iter().filter_map(|row| row.get(column));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            })
            .collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
