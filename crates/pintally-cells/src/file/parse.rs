//! Parsing and validation of a cells file.

use pintally::interface::{Class, Idempotency, IdempotencyScope, Settings};
use pintally_config::form::{Document, Form};
use pintally_config::ConfigError;

use super::{CellSpec, CellsFile, HomeCells, RequiredEngines, TenantHome};
use crate::tenant_move::{MovePhase, TenantMove};
use crate::CellName;

/// The rule that classes with an idempotency key could violate.
const NO_DUPLICATE_EFFECTS: &str = "no effect happens twice";

/// The maximum length of a cell's name.
const MAX_NAME_BYTES: usize = 64;
/// The maximum number of engines of one role that a cell may need.
const MAX_ENGINES_PER_ROLE: u64 = 100_000;
/// The maximum number of cells that one tenant gets by hash.
const MAX_SHARDS: u64 = 10_000;
/// The maximum weight of a cell.
const MAX_WEIGHT: f64 = 1e6;
/// The maximum version or time. Numbers up to this one are exact in every form, also as a floating-point number.
const MAX_NUMBER: u64 = 1 << 52;
/// Time until all sessions have moved if the file does not set `over-ms`, in milliseconds.
const DEFAULT_MOVE_TIME_MS: u64 = 30_000;
/// The maximum of `over-ms`: one day.
const MAX_MOVE_TIME_MS: u64 = 86_400_000;

impl CellsFile {
    /// Parses and validates a file. `file` names it in errors; `core` has the tenants and classes.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the file, the line and the fault.
    pub fn parse(file: &str, text: &str, core: &Settings) -> Result<CellsFile, ConfigError> {
        let document = Document::parse(file, text)?;
        CellsFile::read(&document.only_form("cells")?, core)
    }

    /// Reads and validates the form `(cells ...)` of any document.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the file, the line and the fault.
    pub fn read(root: &Form, core: &Settings) -> Result<CellsFile, ConfigError> {
        let version = root.required_form("version")?;
        let mut file = CellsFile { version: version.count(0, MAX_NUMBER)?, ..CellsFile::default() };
        version.finish()?;
        for form in root.forms_named("cell")? {
            file.read_cell(&form)?;
        }
        if file.cells.is_empty() {
            return Err(root.error("`cells` lacks `(cell ...)`"));
        }
        for form in root.forms_named("cell")? {
            file.check_fallback(&form)?;
        }
        for form in root.forms_named("tenant")? {
            file.read_tenant(&form, core)?;
        }
        for form in root.forms_named("move")? {
            file.read_move(&form, core)?;
        }
        file.check_weights(root, core)?;
        root.finish()?;
        file.check_idempotency_scopes(root, core)?;
        Ok(file)
    }

    fn read_cell(&mut self, form: &Form) -> Result<(), ConfigError> {
        let name = form.text()?;
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(form.error("a cell's name must have 1 to 64 bytes"));
        }
        if self.has_cell(&name) {
            return Err(form.error(format!("cell `{name}` is given twice")));
        }
        let required_engines = RequiredEngines {
            readers: form.count_or("readers", 1, 0, MAX_ENGINES_PER_ROLE)? as usize,
            writers: form.count_or("writers", 1, 0, MAX_ENGINES_PER_ROLE)? as usize,
        };
        if required_engines.readers == 0 || required_engines.writers == 0 {
            let lacks = if required_engines.readers == 0 { "readers" } else { "writers" };
            return Err(
                form.error(format!("cell `{name}` is configured without {lacks}: it could serve no request"))
            );
        }
        let fallback = form.text_or("fallback", "")?;
        self.cells.push(CellSpec {
            name: name.as_str().into(),
            weight: form.number_or("weight", 1.0, 0.0, MAX_WEIGHT)?,
            required_engines,
            fallback: (!fallback.is_empty()).then(|| fallback.as_str().into()),
        });
        form.finish()
    }

    fn has_cell(&self, name: &str) -> bool {
        self.cells.iter().any(|cell| *cell.name.0 == *name)
    }

    /// Checks that the fallback of a cell is another cell of the file.
    fn check_fallback(&self, form: &Form) -> Result<(), ConfigError> {
        let cell = form.text()?;
        let Some(fallback) = form.optional_form("fallback")? else { return Ok(()) };
        let name = fallback.text()?;
        if name == cell || !self.has_cell(&name) {
            return Err(fallback.error(format!("no other cell is named `{name}`")));
        }
        Ok(())
    }

    fn read_cell_names(&self, form: &Form) -> Result<Vec<CellName>, ConfigError> {
        let mut names = Vec::new();
        while let Some(name) = form.optional_text()? {
            let Some(cell) = self.cells.iter().find(|cell| *cell.name.0 == *name) else {
                return Err(form.error(format!("no cell is named `{name}`")));
            };
            if names.contains(&cell.name) {
                return Err(form.error(format!("cell `{name}` is named twice")));
            }
            names.push(cell.name.clone());
        }
        if names.is_empty() {
            return Err(
                form.error("at least one cell must be named: a tenant without a cell cannot be served")
            );
        }
        form.finish()?;
        Ok(names)
    }

    fn read_tenant(&mut self, form: &Form, core: &Settings) -> Result<(), ConfigError> {
        let tenant = read_known_tenant(form, core)?;
        if self.tenants.iter().any(|known| known.tenant == tenant) {
            return Err(form.error(format!("tenant `{tenant}` is given twice")));
        }
        let pinned = form.optional_form("cells")?.map(|cells| self.read_cell_names(&cells)).transpose()?;
        let shards = form.count_or("shards", 0, 0, MAX_SHARDS)? as usize;
        let home = match (pinned, shards) {
            (Some(_), 1..) => return Err(form.error("a tenant has either `cells` or `shards`, not both")),
            (Some(cells), 0) => HomeCells::Pinned(cells),
            (None, 0) => {
                return Err(form.error(format!("tenant `{tenant}` has neither `cells` nor `shards`")))
            }
            (None, shards) => HomeCells::Shards(shards),
        };
        form.finish()?;
        self.tenants.push(TenantHome { tenant, home });
        Ok(())
    }

    fn read_move(&mut self, form: &Form, core: &Settings) -> Result<(), ConfigError> {
        let tenant = read_known_tenant(form, core)?;
        if self.moves.iter().any(|known| known.tenant == tenant) {
            return Err(form.error(format!("tenant `{tenant}` has more than one `move`")));
        }
        let to = self.read_cell_names(&form.required_form("to")?)?;
        let over_ms = form.count_or("over-ms", DEFAULT_MOVE_TIME_MS, 1, MAX_MOVE_TIME_MS)?;
        let phase = read_phase(form)?;
        form.finish()?;
        self.moves.push(TenantMove { tenant, to, over_ms, phase });
        Ok(())
    }

    /// Checks that each tenant has a cell, and that requests without a tenant have one.
    fn check_weights(&self, root: &Form, core: &Settings) -> Result<(), ConfigError> {
        if self.cells.iter().any(|cell| cell.weight > 0.0) {
            return Ok(());
        }
        let has_home = |tenant: &str| self.tenants.iter().any(|known| known.tenant == tenant);
        let without_cell = match core.tenants.iter().find(|tenant| !has_home(&tenant.name)) {
            Some(tenant) => format!("tenant `{}`", tenant.name),
            None => "requests without a tenant".to_string(),
        };
        Err(root.error(format!("{without_cell} would be in no cell: no cell has a `weight` above 0")))
    }

    /// Checks that idempotency keys have the scope of the whole fleet. Engines drop a repeated request with the same
    /// key only within the scope of the key. With the scope of a zone or a rack, a request that ran in one cell could
    /// be repeated in another: if a zone has engines of several cells, the repeat may reach engines that the tenant's
    /// own cell does not use; and while a tenant moves, the repeat of a request that ran in the old cell would run in
    /// the new one.
    fn check_idempotency_scopes(&self, root: &Form, core: &Settings) -> Result<(), ConfigError> {
        if self.cells.len() < 2 {
            return Ok(());
        }
        let Some(class) = core.classes.iter().find(|class| has_narrow_scope(class)) else { return Ok(()) };
        Err(root.rule_error(
            NO_DUPLICATE_EFFECTS,
            format!(
                "repeats of class `{}` are dropped within a zone or rack only, but its tenants may move between \
                 cells: only the group `all` spans cells",
                class.name
            ),
        ))
    }
}

fn has_narrow_scope(class: &Class) -> bool {
    matches!(class.idempotency, Idempotency::WithKey(IdempotencyScope::Zone | IdempotencyScope::Rack, _))
}

fn read_known_tenant(form: &Form, core: &Settings) -> Result<String, ConfigError> {
    let tenant = form.text()?;
    if core.tenants.iter().any(|known| known.name == tenant) {
        Ok(tenant)
    } else {
        Err(form.error(format!("no tenant is named `{tenant}` in the settings")))
    }
}

/// Reads the phase of a move, called `step` in the file, and its times; 0 means that a time is not given.
fn read_phase(form: &Form) -> Result<MovePhase, ConfigError> {
    let since = form.count_or("since-unix-ms", 0, 0, MAX_NUMBER)?;
    let at = form.count_or("back-unix-ms", 0, 0, MAX_NUMBER)?;
    let phase = form.text_or("step", "prepare")?;
    match (phase.as_str(), since, at) {
        ("prepare", 0, 0) => Ok(MovePhase::Prepare),
        ("both", 1.., 0) => Ok(MovePhase::Both { since }),
        ("done", 1.., 0) => Ok(MovePhase::Done { since }),
        ("back", 0, 1..) => Ok(MovePhase::Back { since: at, at }),
        ("back", _, 1..) if at >= since => Ok(MovePhase::Back { since, at }),
        ("prepare" | "both" | "done" | "back", ..) => Err(form.error(
            "`prepare` has no times, `both` and `done` have `since-unix-ms`, `back` has `back-unix-ms`, \
             not before `since-unix-ms` if that is given",
        )),
        (other, ..) => Err(form.error(format!("`step` is `{other}`, not prepare, both, done or back"))),
    }
}
