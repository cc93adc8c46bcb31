//! The cells file: cells, what they need, who belongs where, and the moves under way.

use std::collections::BTreeSet;
use std::fmt::Write;

use pintally::interface::{Idempotency, IdempotencyScope, Settings};
use pintally_config::form::{quoted, Document, Form};
use pintally_config::ConfigError;

use crate::assign::{cells_of, number};
use crate::moves::{Move, Step};
use crate::CellName;

const TWICE: &str = "no effect happens twice";

/// Everything that the cells file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellsFile {
    /// Grows with each change.
    pub version: u64,
    /// The cells.
    pub cells: Vec<CellSpec>,
    /// Tenants whose home the operator has chosen, in part or whole.
    pub tenants: Vec<TenantHome>,
    /// The moves under way.
    pub moves: Vec<Move>,
}

/// A cell.
#[derive(Clone, Debug, PartialEq)]
pub struct CellSpec {
    /// Its name.
    pub name: CellName,
    /// Its part of whatever is divided by hash: tenants, keys, places at the node.
    pub weight: f64,
    /// The engines that it is built for.
    pub needs: Needs,
    /// The cell that takes what it can of this one's tenants while this one is lost.
    pub fallback: Option<CellName>,
}

/// Engines that a cell is built for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Needs {
    /// Engines that read, mixed ones counted with the role that lacks them.
    pub readers: usize,
    /// Engines that write.
    pub writers: usize,
}

/// A tenant's home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantHome {
    /// The tenant.
    pub tenant: String,
    /// Where it lives.
    pub home: Home,
}

/// Where a tenant lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Home {
    /// In these cells.
    Pinned(Vec<CellName>),
    /// In so many cells, by hash.
    Shards(usize),
}

/// What an operator wants of a tenant's move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveCommand {
    /// Announce a move.
    Begin {
        /// Where to.
        to: Vec<CellName>,
        /// Time until all sessions are over, in milliseconds.
        over_ms: u64,
    },
    /// Let sessions go over from now on.
    Go,
    /// All sessions are over.
    Done,
    /// Let them return.
    Back,
    /// Make the place to which it came the tenant's home, and the move a thing of the past.
    Settle,
}

impl CellsFile {
    /// Reads and checks a file. `file` is used in errors only; `core` names tenants and classes.
    pub fn parse(file: &str, text: &str, core: &Settings) -> Result<CellsFile, ConfigError> {
        let document = Document::parse(file, text)?;
        CellsFile::read(&document.only("cells")?, core)
    }

    /// Reads and checks the form `(cells ...)`, wherever it stands.
    pub fn read(root: &Form, core: &Settings) -> Result<CellsFile, ConfigError> {
        let version = root.need("version")?;
        let mut out = CellsFile { version: version.count(0, 1 << 52)?, ..CellsFile::default() };
        version.finish()?;
        for form in root.all("cell")? {
            out.cell(&form)?;
        }
        if out.cells.is_empty() {
            return Err(root.error("`cells` lacks `(cell ...)`"));
        }
        for form in root.all("cell")? {
            let own = CellName::from(form.text()?.as_str());
            if let Some(inner) = form.maybe("fallback")? {
                let name = inner.text()?;
                let known = out.cells.iter().any(|c| *c.name.0 == *name);
                if !known || *own.0 == *name {
                    return Err(inner.error(format!("no other cell is named `{name}`")));
                }
            }
        }
        for form in root.all("tenant")? {
            out.tenant(&form, core)?;
        }
        for form in root.all("move")? {
            out.one_move(&form, core)?;
        }
        if out.cells.iter().all(|c| c.weight <= 0.0) {
            let homeless = core.tenants.iter().find(|t| !out.tenants.iter().any(|h| h.tenant == t.name));
            let who =
                homeless.map_or("requests without a tenant".to_string(), |t| format!("tenant `{}`", t.name));
            return Err(root.error(format!("{who} would be in no cell: none has a weight over 0")));
        }
        root.finish()?;
        out.keyed_groups(root, core)?;
        Ok(out)
    }

    /// The file's text; [`CellsFile::parse`] reads it back.
    pub fn render(&self) -> String {
        let names = |cells: &[CellName]| cells.iter().map(|c| quoted(&c.0)).collect::<Vec<_>>().join(" ");
        let mut out = format!("(cells (version {})", self.version);
        for c in &self.cells {
            let Needs { readers, writers } = c.needs;
            let name = quoted(&c.name.0);
            let _ =
                write!(out, "\n  (cell {name} (weight {}) (readers {readers}) (writers {writers})", c.weight);
            if let Some(other) = &c.fallback {
                let _ = write!(out, " (fallback {})", quoted(&other.0));
            }
            out.push(')');
        }
        for t in &self.tenants {
            let home = match &t.home {
                Home::Pinned(cells) => format!("(cells {})", names(cells)),
                Home::Shards(many) => format!("(shards {many})"),
            };
            let _ = write!(out, "\n  (tenant {} {home})", quoted(&t.tenant));
        }
        for m in &self.moves {
            let step = match m.step {
                Step::Prepare => "(step prepare)".to_string(),
                Step::Both { since } => format!("(step both) (since-unix-ms {since})"),
                Step::Done { since } => format!("(step done) (since-unix-ms {since})"),
                Step::Back { since, at } => {
                    format!("(step back) (since-unix-ms {since}) (back-unix-ms {at})")
                }
            };
            let (tenant, to) = (quoted(&m.tenant), names(&m.to));
            let _ = write!(out, "\n  (move {tenant} (to {to}) (over-ms {}) {step})", m.over_ms);
        }
        out.push_str(")\n");
        out
    }

    fn cell(&mut self, form: &Form) -> Result<(), ConfigError> {
        let name = form.text()?;
        if name.is_empty() || name.len() > 64 {
            return Err(form.error("a cell's name must have 1 to 64 bytes"));
        }
        if self.cells.iter().any(|c| *c.name.0 == *name) {
            return Err(form.error(format!("cell `{name}` is given twice")));
        }
        let needs = Needs {
            readers: form.count_or("readers", 1, 0, 100_000)? as usize,
            writers: form.count_or("writers", 1, 0, 100_000)? as usize,
        };
        if needs.readers == 0 || needs.writers == 0 {
            let lacks = if needs.readers == 0 { "readers" } else { "writers" };
            return Err(form.error(format!("cell `{name}` is built without {lacks}: it could serve nobody")));
        }
        let fallback = form.text_or("fallback", "")?;
        self.cells.push(CellSpec {
            name: name.as_str().into(),
            weight: form.number_or("weight", 1.0, 0.0, 1e6)?,
            needs,
            fallback: (!fallback.is_empty()).then(|| fallback.as_str().into()),
        });
        form.finish()
    }

    fn names(&self, form: &Form) -> Result<Vec<CellName>, ConfigError> {
        let mut names = Vec::new();
        while let Some(name) = form.optional_text()? {
            let Some(cell) = self.cells.iter().find(|c| *c.name.0 == *name) else {
                return Err(form.error(format!("no cell is named `{name}`")));
            };
            if names.contains(&cell.name) {
                return Err(form.error(format!("cell `{name}` is named twice")));
            }
            names.push(cell.name.clone());
        }
        if names.is_empty() {
            return Err(form.error("at least one cell must be named: a tenant in none cannot be served"));
        }
        form.finish()?;
        Ok(names)
    }

    fn known_tenant(form: &Form, core: &Settings) -> Result<String, ConfigError> {
        let tenant = form.text()?;
        match core.tenants.iter().any(|t| t.name == tenant) {
            true => Ok(tenant),
            false => Err(form.error(format!("no tenant is named `{tenant}` in the settings"))),
        }
    }

    fn tenant(&mut self, form: &Form, core: &Settings) -> Result<(), ConfigError> {
        let tenant = Self::known_tenant(form, core)?;
        if self.tenants.iter().any(|t| t.tenant == tenant) {
            return Err(form.error(format!("tenant `{tenant}` is given twice")));
        }
        let pinned = form.maybe("cells")?.map(|f| self.names(&f)).transpose()?;
        let shards = form.count_or("shards", 0, 0, 10_000)? as usize;
        let home = match (pinned, shards) {
            (Some(_), 1..) => return Err(form.error("a tenant has `cells` or `shards`, not both")),
            (Some(cells), 0) => Home::Pinned(cells),
            (None, 0) => {
                return Err(form.error(format!("tenant `{tenant}` has neither `cells` nor `shards`")))
            }
            (None, many) => Home::Shards(many),
        };
        form.finish()?;
        self.tenants.push(TenantHome { tenant, home });
        Ok(())
    }

    fn one_move(&mut self, form: &Form, core: &Settings) -> Result<(), ConfigError> {
        let tenant = Self::known_tenant(form, core)?;
        if self.moves.iter().any(|m| m.tenant == tenant) {
            return Err(form.error(format!("tenant `{tenant}` has two moves at once")));
        }
        let to = self.names(&form.need("to")?)?;
        let over_ms = form.count_or("over-ms", 30_000, 1, 86_400_000)?;
        let since = form.count_or("since-unix-ms", 0, 0, 1 << 52)?;
        let at = form.count_or("back-unix-ms", 0, 0, 1 << 52)?;
        let step = match (form.text_or("step", "prepare")?.as_str(), since, at) {
            ("prepare", 0, 0) => Step::Prepare,
            ("both", 1.., 0) => Step::Both { since },
            ("done", 1.., 0) => Step::Done { since },
            ("back", _, 1..) if at >= since => Step::Back { since: if since == 0 { at } else { since }, at },
            ("prepare" | "both" | "done" | "back", ..) => return Err(form.error(
                "`prepare` has no times, `both` and `done` have `since-unix-ms`, `back` has `back-unix-ms` \
                     behind it as well",
            )),
            (other, ..) => {
                return Err(form.error(format!("`step` is `{other}`, not prepare, both, done or back")))
            }
        };
        form.finish()?;
        self.moves.push(Move { tenant, to, over_ms, step });
        Ok(())
    }

    /// Repeats of a keyed class are dropped inside a group of engines. A zone that lies in several
    /// cells would let a repeat of one tenant reach engines that its own cell never sees; while a
    /// tenant moves, the repeat of a request that ran in the old cell would run in the new one.
    fn keyed_groups(&self, root: &Form, core: &Settings) -> Result<(), ConfigError> {
        if self.cells.len() < 2 {
            return Ok(());
        }
        let narrow = |c: &&pintally::interface::Class| {
            matches!(c.effect, Idempotency::WithKey(IdempotencyScope::Zone | IdempotencyScope::Rack, _))
        };
        match core.classes.iter().find(narrow) {
            None => Ok(()),
            Some(class) => Err(root.rule_error(
                TWICE,
                format!(
                    "the repeats of class `{}` are dropped inside a zone or rack, but its tenants may be in \
                     several cells one after the other: only the group `all` spans cells",
                    class.name
                ),
            )),
        }
    }

    /// The cells in which a tenant lives when nothing moves.
    pub fn home(&self, tenant: &str) -> Vec<CellName> {
        match self.tenants.iter().find(|t| t.tenant == tenant).map(|t| &t.home) {
            Some(Home::Pinned(cells)) => cells.clone(),
            Some(Home::Shards(many)) => cells_of(&self.cells, number(tenant), *many),
            None => cells_of(&self.cells, number(tenant), 1),
        }
    }

    /// The cell in which a request belongs at a time.
    pub fn belongs(&self, tenant: Option<&str>, session: u64, unix_ms: u64) -> Option<CellName> {
        self.belongs_at(tenant, session, |m| m.share(unix_ms))
    }

    /// The cell in which a request belongs when a move has come as far as `share` says.
    pub fn belongs_at(
        &self,
        tenant: Option<&str>,
        session: u64,
        share: impl FnOnce(&Move) -> f64,
    ) -> Option<CellName> {
        let Some(tenant) = tenant else {
            return cells_of(&self.cells, session, 1).into_iter().next();
        };
        let moving = self.moves.iter().find(|m| m.tenant == tenant);
        let among = match moving.filter(|m| m.is_over_at(session, share(m))) {
            Some(over) => over.to.clone(),
            None => self.home(tenant),
        };
        crate::assign::pick(&among, session)
    }

    /// The next version, in which a tenant's move takes a step; an error says why it may not.
    pub fn step(&self, tenant: &str, turn: MoveCommand, unix_ms: u64) -> Result<CellsFile, String> {
        let mut next = CellsFile { version: self.version + 1, ..self.clone() };
        let at = next.moves.iter().position(|m| m.tenant == tenant);
        let Some(at) = at else {
            let MoveCommand::Begin { to, over_ms } = turn else {
                return Err(format!("tenant `{tenant}` is not on the move"));
            };
            if let Some(cell) = to.iter().find(|c| self.cell_named(c).is_none()) {
                return Err(format!("no cell is named `{cell}`"));
            }
            if to.is_empty() || to == self.home(tenant) {
                return Err(format!("tenant `{tenant}` is there already"));
            }
            let (tenant, over_ms) = (tenant.to_string(), over_ms.max(1));
            next.moves.push(Move { tenant, to, over_ms, step: Step::Prepare });
            return Ok(next);
        };
        let old = next.moves[at].clone();
        let one = &mut next.moves[at];
        one.step = match (turn, old.step) {
            (MoveCommand::Begin { .. }, _) => {
                return Err(format!("tenant `{tenant}` is on the move already"))
            }
            (MoveCommand::Go, Step::Prepare) => Step::Both { since: unix_ms },
            (MoveCommand::Done, Step::Both { since }) if old.share(unix_ms) >= 1.0 => Step::Done { since },
            (MoveCommand::Done, Step::Both { .. }) => {
                return Err(format!("only {:.0}% of the sessions are over", old.share(unix_ms) * 100.0))
            }
            (MoveCommand::Back, Step::Prepare) => Step::Back { since: unix_ms, at: unix_ms },
            (MoveCommand::Back, Step::Both { since } | Step::Done { since }) => {
                Step::Back { since, at: unix_ms }
            }
            (MoveCommand::Settle, Step::Done { .. }) => {
                next.moves.remove(at);
                let home = Home::Pinned(old.to);
                match next.tenants.iter_mut().find(|t| t.tenant == tenant) {
                    Some(known) => known.home = home,
                    None => next.tenants.push(TenantHome { tenant: tenant.to_string(), home }),
                }
                return Ok(next);
            }
            (MoveCommand::Settle, Step::Back { .. }) if old.share(unix_ms) <= 0.0 => {
                next.moves.remove(at);
                return Ok(next);
            }
            (turn, step) => {
                return Err(format!("a move that stands at {step:?} cannot take the turn {turn:?}"))
            }
        };
        debug_assert!(next.moves[at].may_follow(&old));
        Ok(next)
    }

    /// A cell by its name.
    pub fn cell_named(&self, name: &CellName) -> Option<&CellSpec> {
        self.cells.iter().find(|c| c.name == *name)
    }

    /// What in this version cannot follow the one before it, if anything: a move that changes its
    /// mind. Moves that end by leaving the file may do so at any step.
    pub fn conflict(&self, before: &CellsFile) -> Option<String> {
        let cells: BTreeSet<&CellName> = self.cells.iter().map(|c| &c.name).collect();
        for old in &before.moves {
            match self.moves.iter().find(|m| m.tenant == old.tenant) {
                Some(new) if !new.may_follow(old) => {
                    return Some(format!(
                        "the move of tenant `{}` goes from {:?} to {:?}",
                        old.tenant, old.step, new.step
                    ));
                }
                None if old.to.iter().any(|c| !cells.contains(c))
                    && matches!(old.step, Step::Done { .. }) =>
                {
                    return Some(format!("tenant `{}` has moved to a cell that is gone", old.tenant));
                }
                _ => {}
            }
        }
        None
    }
}
