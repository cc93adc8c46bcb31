//! A scenario as its file describes it. The form in the file is named `day`.

use std::collections::BTreeMap;
use std::time::Duration;

use pintally::interface::{Role, Settings};
use pintally_cells::CellsFile;
use pintally_config::form::{Document, Form};
use pintally_config::{read_rules, ConfigError, NodeSettings, STORAGE_FAULTS};

use crate::faults::parse as parse_fault;

/// Most nodes of a scenario on one machine.
pub const MAX_NODES: usize = 1024;

/// A scripted run of a fleet.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name.
    pub name: String,
    /// Seed used if the command line gives none.
    pub seed: u64,
    /// How long clients send requests.
    pub length: Duration,
    /// How long the run may continue after `length`, until the last request ends.
    pub settle: Duration,
    /// Zone names.
    pub zones: Vec<String>,
    /// Number of racks over all zones.
    pub racks: u64,
    /// Number of nodes, assigned to the zones in turn.
    pub nodes: usize,
    /// Nodes already migrated to another shape: how many of the last ones, and the core settings they use.
    pub migrated: Option<(usize, Settings)>,
    /// Whether each node runs as its own process, with a relay on every link between nodes.
    pub processes: bool,
    /// Injected storage faults, by node.
    pub storage_faults: BTreeMap<usize, String>,
    /// Source text of the settings that all nodes have in common.
    pub shared_settings: String,
    /// Delay after which a change of the endpoint list reaches the nodes.
    pub list_delay: Duration,
    /// Delay after which the front layer notices that a node went down or came up.
    pub front_delay: Duration,
    /// Time for which new work is allowed after a drain is announced.
    pub drain_grace: Duration,
    /// Tolerance for measurement delays, added to each time limit.
    pub slack: Duration,
    /// Settings that all nodes have in common; the runner sets name, number, zone and addresses.
    pub settings: NodeSettings,
    /// The cells at the start, if the fleet is divided into cells.
    pub cells: Option<CellsFile>,
    /// Groups of engines.
    pub engines: Vec<EngineGroup>,
    /// The clients' traffic.
    pub traffic: Traffic,
    /// Faults, in the order of the file.
    pub faults: Vec<Fault>,
}

/// Engines of one kind.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct EngineGroup {
    pub kind: String,
    /// The cell that the endpoint list assigns them to.
    pub cell: Option<String>,
    pub role: Role,
    pub count: usize,
    pub slots: usize,
    pub queue: usize,
    pub memory_tokens: u64,
    pub read_tokens_per_s: f64,
    pub token_gap: Duration,
    pub link_tokens_per_s: f64,
    pub report_interval: Duration,
}

/// The clients' traffic.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Requests per second.
    pub per_second: f64,
    /// Most retries of a client.
    pub retries: u32,
    /// Wait before a retry if the answer gives no retry-after time.
    pub retry_wait: Duration,
    /// Share of the clients that obey a retry-after time.
    pub obey_retry_after_share: f64,
    /// Share of the requests with streamed answers.
    pub streamed_share: f64,
    /// Number of shared prefixes, of falling popularity.
    pub shared_texts: u64,
    /// Whether each tenant has its own shared prefixes instead of all tenants using the same.
    pub texts_per_tenant: bool,
    /// Least and most tokens of a shared prefix.
    pub shared_tokens: (u64, u64),
    /// Traffic of each class.
    pub classes: Vec<ClassTraffic>,
    /// Relative share of the requests of each tenant.
    pub tenants: Vec<(String, f64)>,
}

impl Traffic {
    /// A tenant's share of the requests, from 0 to 1.
    pub fn share_of(&self, tenant: &str) -> f64 {
        let all: f64 = self.tenants.iter().map(|t| t.1).sum();
        self.tenants.iter().find(|t| t.0 == tenant).map_or(0.0, |t| t.1 / all.max(f64::MIN_POSITIVE))
    }
}

/// Traffic of one class; pairs are the least and most.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct ClassTraffic {
    pub name: String,
    /// Relative share of the requests.
    pub share: f64,
    /// Turns of a session.
    pub turns: (u64, u64),
    /// Tokens that each turn adds to the prompt.
    pub added_tokens: (u64, u64),
    /// The requested limit of answer tokens.
    pub answer_tokens: (u64, u64),
    /// Share of the sessions that begin with a shared prefix.
    pub shared_text_share: f64,
    /// Clients wait for this share of the class's patience.
    pub patience_share: (f64, f64),
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum FaultKind {
    Crash,
    Restart,
    Hang,
    Silent,
    Slow,
    Replace,
    Drain,
    Forget,
    SlowConnect,
    FullForTenant,
    SlowLinks,
    ZoneCut,
    LateList,
    StaleReports,
    LyingReports,
    NodeKill,
    NodeRoll,
    HeedlessRetries,
    LeaveEarly,
    Burst,
    HotText,
    TenantFlood,
    MoveTenant,
    BadRelease,
    Power,
    ZonePower,
    ZoneDark,
    NodePause,
    PeerCut,
    PeerOneWay,
    PeerSide,
    PeerStall,
    PeerLoss,
}

/// One fault of a scenario.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Kind.
    pub kind: FaultKind,
    /// When it begins.
    pub start: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Share of the engines or nodes that are affected; which ones is drawn from the seed.
    pub fraction: f64,
    /// Restricts the fault to engines of this kind.
    pub engine_kind: Option<String>,
    /// Restricts the fault to engines of this cell; for `move-tenant`, the cell that the tenant moves to.
    pub cell: Option<String>,
    /// Exactly these engines, if not empty.
    pub engines: Vec<String>,
    /// The affected zone or tenant; drawn from the seed if not given.
    pub zone_or_tenant: Option<String>,
    /// Severity: a factor, a share, a count or milliseconds, depending on the kind.
    pub magnitude: f64,
    /// Engines affected at a time by faults that proceed in batches.
    pub batch_size: usize,
}

/// Time from the first to the last node that sees a version of the cells file.
pub const CELLS_FILE_SPREAD: Duration = Duration::from_secs(5);

impl Scenario {
    /// Settings of one node, without addresses and files, which the runner sets.
    pub fn node(&self, number: usize) -> NodeSettings {
        let mut settings = self.settings.clone();
        if let Some((_, core)) = self.migrated.as_ref().filter(|_| self.is_migrated(number)) {
            settings.core = core.clone();
        }
        settings.name = format!("n{number}");
        settings.core.zone = self.zones[number % self.zones.len()].clone();
        settings.core.node_index = number as u32;
        settings.core.node_count = self.nodes as u32;
        settings
    }

    /// Whether a node runs in the new shape.
    pub fn is_migrated(&self, number: usize) -> bool {
        self.migrated.as_ref().is_some_and(|(count, _)| number + count >= self.nodes)
    }

    /// Delay after which a node sees a new version of the cells file.
    pub fn cells_file_delay(&self, node: usize) -> Duration {
        self.list_delay + CELLS_FILE_SPREAD * node as u32 / self.nodes.saturating_sub(1).max(1) as u32
    }

    /// Parses and validates a scenario. `file` is used in errors only.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ConfigError> {
        let document = Document::parse(file, text)?;
        let root = document.only_form("day")?;
        let zones = match root.optional_form("zones")? {
            None => vec!["a".to_string()],
            Some(form) => {
                let mut zones = Vec::new();
                while let Some(zone) = form.optional_text()? {
                    zones.push(zone);
                }
                form.finish()?;
                zones
            }
        };
        if zones.is_empty() {
            return Err(root.error("`zones` must name at least one zone"));
        }
        let nodes = root.required_form("nodes")?;
        let count = nodes.count(1, MAX_NODES as u64)? as usize;
        let placeholder = Document::parse("", "(node (engines \"\"))")?;
        let cells_form = root.optional_form("cells")?;
        let settings = NodeSettings::read(&root, &placeholder.only_form("node")?)?;
        let migrated = match nodes.optional_form("moved")? {
            None => None,
            Some(form) => {
                let mut core = settings.core.clone();
                let migrated_count = form.count(0, count as u64)? as usize;
                read_rules(&form, &mut core)?;
                form.finish()?;
                Some((migrated_count, core))
            }
        };
        let micros = |us: u64| Duration::from_micros(us);
        let cells = cells_form.map(|form| CellsFile::read(&form, &settings.core)).transpose()?;
        let mut engines = Vec::new();
        for form in root.forms_named("engines")? {
            engines.push(parse_engine_group(&form, &settings, cells.as_ref())?);
        }
        if engines.is_empty() {
            return Err(root.error("`day` needs at least one `(engines ...)`"));
        }
        let traffic = parse_traffic(&root.required_form("traffic")?, &settings)?;
        let mut faults = Vec::new();
        for form in root.forms_named("fault")? {
            faults.push(parse_fault(&form, &zones, &settings, cells.as_ref())?);
        }
        let mut storage_faults = BTreeMap::new();
        for form in root.forms_named("disk")? {
            let (node, storage_fault) = (form.count(0, count as u64 - 1)? as usize, form.text()?);
            form.finish()?;
            if !STORAGE_FAULTS.contains(&storage_fault.as_str()) {
                return Err(form.error(format!(
                    "unknown kind of disk fault `{storage_fault}`; expected one of {}",
                    STORAGE_FAULTS.join(", ")
                )));
            }
            storage_faults.insert(node, storage_fault);
        }
        let processes = nodes.boolean_or("processes", false)?;
        if !processes && (settings.membership.is_some() || !storage_faults.is_empty()) {
            return Err(
                nodes.error("`peers` and `disk` need `(processes yes)`, which runs each node as a process")
            );
        }
        if processes && (cells.is_some() || migrated.is_some()) {
            return Err(nodes.error("`(processes yes)` does not support `cells` or `moved`"));
        }
        let scenario = Scenario {
            processes,
            storage_faults,
            shared_settings: root.inner_source(&["rules", "limits", "class", "tenant", "kind"]).join("\n  "),
            name: root.text_or("name", "day")?,
            seed: root.count_or("seed", 1, 0, 1 << 53)?,
            length: Duration::from_secs_f64(root.number_or("seconds", 30.0, 0.1, 86_400.0)?),
            settle: Duration::from_secs_f64(root.number_or("settle-seconds", 20.0, 0.1, 3600.0)?),
            zones,
            racks: root.count_or("racks", 2, 1, 10_000)?,
            nodes: count,
            migrated,
            list_delay: micros(nodes.millis_or("notice-ms", 500.0, 0.0, 60_000.0)?),
            front_delay: micros(nodes.millis_or("front-ms", 1000.0, 0.0, 60_000.0)?),
            drain_grace: micros(root.millis_or("drain-grace-ms", 1000.0, 0.0, 60_000.0)?),
            slack: micros(root.millis_or("slack-ms", 100.0, 0.0, 60_000.0)?),
            settings,
            cells,
            engines,
            traffic,
            faults,
        };
        nodes.finish()?;
        root.finish()?;
        Ok(scenario)
    }
}

fn range(form: &Form, key: &str, default: (u64, u64), most: u64) -> Result<(u64, u64), ConfigError> {
    let Some(inner) = form.optional_form(key)? else { return Ok(default) };
    let (least, largest) = (inner.count(0, most)?, inner.count(0, most)?);
    inner.finish()?;
    if least > largest {
        return Err(
            inner.error(format!("`{key}` has a lower bound of {least}, above its upper bound of {largest}"))
        );
    }
    Ok((least, largest))
}

fn parse_engine_group(
    form: &Form,
    settings: &NodeSettings,
    cells: Option<&CellsFile>,
) -> Result<EngineGroup, ConfigError> {
    let kind = form.text()?;
    let Some(index) = settings.core.engine_kinds.iter().position(|k| k.name == kind) else {
        return Err(form.error(format!("no `kind` is named `{kind}`")));
    };
    let cell = Some(form.text_or("cell", "")?).filter(|c| !c.is_empty());
    if let Some(name) = &cell {
        if !cells.is_some_and(|f| f.cells.iter().any(|c| *c.name.0 == **name)) {
            return Err(form.error(format!("no cell is named `{name}`")));
        }
    }
    let engine_kind = &settings.core.engine_kinds[index];
    let micros = |us: u64| Duration::from_micros(us);
    let group = EngineGroup {
        cell,
        role: engine_kind.role,
        count: form.count_or("count", 1, 0, 10_000)? as usize,
        slots: settings.slots[index].max(1) as usize,
        queue: form.count_or("queue", 32, 0, 1 << 20)? as usize,
        memory_tokens: if engine_kind.memory_tokens > 0 { engine_kind.memory_tokens } else { 200_000 },
        read_tokens_per_s: form.number_or("read-per-s", 15_000.0, 1.0, 1e9)?,
        token_gap: micros(form.millis_or("token-gap-ms", 20.0, 0.01, 10_000.0)?),
        link_tokens_per_s: form.number_or("link-per-s", 300_000.0, 1.0, 1e9)?,
        report_interval: micros(form.millis_or("report-ms", 200.0, 0.0, 60_000.0)?),
        kind,
    };
    form.finish()?;
    Ok(group)
}

fn parse_traffic(form: &Form, settings: &NodeSettings) -> Result<Traffic, ConfigError> {
    let mut classes = Vec::new();
    for inner in form.forms_named("class")? {
        let name = inner.text()?;
        if !settings.core.classes.iter().any(|c| c.name == name) {
            return Err(inner.error(format!("no `class` is named `{name}`")));
        }
        let (least, most) = range(&inner, "patience-percent", (50, 100), 100)?;
        let class = ClassTraffic {
            name,
            share: inner.number_or("share", 1.0, 0.0, 1e6)?,
            turns: range(&inner, "turns", (1, 4), 1000)?,
            added_tokens: range(&inner, "adds", (50, 200), 1 << 20)?,
            answer_tokens: range(&inner, "answer", (20, 60), 1 << 16)?,
            shared_text_share: inner.number_or("shared", 0.8, 0.0, 1.0)?,
            patience_share: (least as f64 / 100.0, most as f64 / 100.0),
        };
        if class.answer_tokens.0 == 0 || class.turns.0 == 0 || least == 0 {
            return Err(inner.error("`answer`, `turns` and `patience-percent` must be at least 1"));
        }
        inner.finish()?;
        classes.push(class);
    }
    if classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
        return Err(form.error("`traffic` needs a `class` with a `share` above 0"));
    }
    let mut tenants: BTreeMap<String, f64> = BTreeMap::new();
    for inner in form.forms_named("tenant")? {
        let name = inner.text()?;
        if !settings.core.tenants.iter().any(|t| t.name == name) {
            return Err(inner.error(format!("no `tenant` is named `{name}`")));
        }
        tenants.insert(name, inner.number_or("share", 1.0, 0.0, 1e6)?);
        inner.finish()?;
    }
    let traffic = Traffic {
        per_second: form.number_or("per-second", 50.0, 0.01, 100_000.0)?,
        retries: form.count_or("retries", 1, 0, 100)? as u32,
        retry_wait: Duration::from_micros(form.millis_or("retry-wait-ms", 200.0, 0.0, 600_000.0)?),
        obey_retry_after_share: form.number_or("heed", 0.7, 0.0, 1.0)?,
        streamed_share: form.number_or("streamed", 0.8, 0.0, 1.0)?,
        shared_texts: form.count_or("shared-texts", 12, 1, 1 << 20)?,
        texts_per_tenant: form.count_or("own-texts", 0, 0, 1)? == 1,
        shared_tokens: range(form, "shared-tokens", (200, 800), 1 << 20)?,
        classes,
        tenants: tenants.into_iter().filter(|(_, share)| *share > 0.0).collect(),
    };
    form.finish()?;
    Ok(traffic)
}
