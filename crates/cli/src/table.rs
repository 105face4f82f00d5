//! Tables with aligned columns.

/// A table with a head; the last column is not padded.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these column names.
    pub(crate) fn new(head: &[&str]) -> Table {
        let head = head.iter().map(|name| (*name).to_owned()).collect();
        Table { rows: vec![head] }
    }

    /// Adds a row with one value for each column.
    pub(crate) fn row(&mut self, values: impl IntoIterator<Item = String>) {
        self.rows.push(values.into_iter().collect());
    }

    /// The text of the table, a line each row.
    pub(crate) fn text(&self) -> String {
        let columns = self.rows[0].len();
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            text += cells.join("  ").trim_end();
            text.push('\n');
        }
        text
    }

    fn width(&self, column: usize) -> usize {
        let lengths = self.rows.iter().map(|row| row[column].chars().count());
        lengths.max().unwrap_or_default()
    }
}
