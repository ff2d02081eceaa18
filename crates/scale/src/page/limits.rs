//! Renders the table of budgets that are exceeded as the plan grows, the smallest size first.

use super::data::Data;
use super::format::{amount, digits, table};
use super::roles;
use super::rows::Row;
use super::shard_map;
use super::stored;

/// Budgets that hold beyond this multiple of the plan are left out of the table.
const MAX_SHARE: f64 = 10.0;

/// Renders a table of the figures that exceed their budget before the plan has grown to [`MAX_SHARE`] times its size,
/// with the size up to which each stays within its budget.
pub(super) fn limit_table(data: &Data) -> String {
    let roles: [(&str, Vec<Row>); 9] = [
        ("data path", roles::path(data)),
        ("control part", roles::control(data)),
        ("coordinator", roles::coordinator(data)),
        ("between", roles::session_proxies(data)),
        ("shard map", shard_map::rows(data)),
        ("discovery", roles::discovery(data)),
        ("journal", stored::journal(data)),
        ("dead letters", stored::dead_letters(data)),
        ("figures", stored::metrics(data)),
    ];
    let mut found: Vec<(f64, Vec<String>)> = Vec::new();
    for (role, rows) in &roles {
        for row in rows.iter().filter(|row| row.scales_with.1 > 0.0) {
            let Some(share) = row.max_share_within_budget() else {
                continue;
            };
            if share > MAX_SHARE {
                continue;
            }
            let (plan_figure, full_size) = row.scales_with;
            let cells = vec![
                format!("{} %", digits(share * 100.0)),
                format!(
                    "{} {plan_figure}",
                    amount((share * full_size + 1e-6).floor(), "")
                ),
                role.to_string(),
                row.name().to_string(),
                row.budget_text(),
                row.source_text(),
            ];
            found.push((share, cells));
        }
    }
    found.sort_by(|a, b| a.0.total_cmp(&b.0));
    let rows: Vec<Vec<String>> = found.into_iter().map(|(_, cells)| cells).collect();
    table(
        &[
            "share of the plan",
            "at",
            "role",
            "what breaks",
            "its budget",
            "behind it",
        ],
        &rows,
    )
}
