//! Text tables with aligned columns.

/// A table with a header row. The last column is not padded.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column names and no other rows.
    pub(crate) fn new(header: &[&str]) -> Table {
        let header = header.iter().map(|name| (*name).to_owned()).collect();
        Table { rows: vec![header] }
    }

    /// Adds a row. `values` must hold one value for each column.
    pub(crate) fn add_row(&mut self, values: impl IntoIterator<Item = String>) {
        self.rows.push(values.into_iter().collect());
    }

    /// Formats the table with one line for each row.
    pub(crate) fn render(&self) -> String {
        let columns = self.rows[0].len();
        let widths: Vec<usize> = (0..columns)
            .map(|column| self.column_width(column))
            .collect();
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

    fn column_width(&self, column: usize) -> usize {
        let lengths = self.rows.iter().map(|row| row[column].chars().count());
        lengths.max().unwrap_or_default()
    }
}
