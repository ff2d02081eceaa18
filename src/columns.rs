//! Aligned text tables, for output that people read.

/// Aligns rows into columns: one line for each row, each column as wide as its widest cell.
pub(crate) fn columns(rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = Vec::new();
    for row in rows {
        widths.resize(widths.len().max(row.len()), 0);
        row.iter()
            .zip(&mut widths)
            .for_each(|(cell, width)| *width = (*width).max(cell.chars().count()));
    }
    let mut text = String::new();
    for row in rows {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}
