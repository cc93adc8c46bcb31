//! The text of a cells file.

use pintally_config::form::quoted;

use super::{CellSpec, CellsFile, HomeCells, TenantHome};
use crate::tenant_move::{MovePhase, TenantMove};
use crate::CellName;

impl CellsFile {
    /// The text of the file; [`CellsFile::parse`] parses it to the same file.
    pub fn render(&self) -> String {
        let cells = self.cells.iter().map(cell_form);
        let tenants = self.tenants.iter().map(tenant_form);
        let moves = self.moves.iter().map(move_form);
        let lines: Vec<String> = std::iter::once(format!("(cells (version {})", self.version))
            .chain(cells.chain(tenants).chain(moves).map(|form| format!("  {form}")))
            .collect();
        lines.join("\n") + ")\n"
    }
}

fn quoted_names(cells: &[CellName]) -> String {
    cells.iter().map(|cell| quoted(&cell.0)).collect::<Vec<_>>().join(" ")
}

fn cell_form(cell: &CellSpec) -> String {
    let fallback = cell.fallback.as_ref().map_or_else(String::new, |fallback| {
        let fallback = quoted(&fallback.0);
        format!(" (fallback {fallback})")
    });
    format!(
        "(cell {} (weight {}) (readers {}) (writers {}){fallback})",
        quoted(&cell.name.0),
        cell.weight,
        cell.required_engines.readers,
        cell.required_engines.writers
    )
}

fn tenant_form(tenant: &TenantHome) -> String {
    let home = match &tenant.home {
        HomeCells::Pinned(cells) => format!("(cells {})", quoted_names(cells)),
        HomeCells::Shards(count) => format!("(shards {count})"),
    };
    format!("(tenant {} {home})", quoted(&tenant.tenant))
}

fn move_form(tenant_move: &TenantMove) -> String {
    let step = match tenant_move.phase {
        MovePhase::Prepare => "(step prepare)".to_string(),
        MovePhase::Both { since } => format!("(step both) (since-unix-ms {since})"),
        MovePhase::Done { since } => format!("(step done) (since-unix-ms {since})"),
        MovePhase::Back { since, at } => {
            format!("(step back) (since-unix-ms {since}) (back-unix-ms {at})")
        }
    };
    let tenant = quoted(&tenant_move.tenant);
    let to = quoted_names(&tenant_move.to);
    format!("(move {tenant} (to {to}) (over-ms {}) {step})", tenant_move.over_ms)
}
