//! A day as its file says it.

use std::collections::BTreeMap;
use std::time::Duration;

use pintally::interface::{Role, Settings};
use pintally_cells::CellsFile;
use pintally_config::form::{Document, Form};
use pintally_config::{read_rules, ConfigError, NodeSettings, STORAGE_FAULTS};

use crate::faults;

/// The most nodes of a day on one machine.
pub const MAX_NODES: usize = 1024;

/// A scripted day.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The seed that is used when none is given.
    pub seed: u64,
    /// How long clients come.
    pub length: Duration,
    /// How long the day may go on after the last client has come.
    pub settle: Duration,
    /// The zones.
    pub zones: Vec<String>,
    /// Racks over all zones.
    pub racks: u64,
    /// Nodes, spread over the zones in turn.
    pub nodes: usize,
    /// The last of the nodes run in another shape already: how many, and the settings of the core there.
    pub moved: Option<(usize, Settings)>,
    /// Each node is a process of its own, with a relay on every link between two of them.
    pub processes: bool,
    /// Disks that lie, by node.
    pub disks: BTreeMap<usize, String>,
    /// What node's files share, as it stands in the day's.
    pub shared: String,
    /// Word of the fleet reaches nodes so much later.
    pub list_delay: Duration,
    /// The front layer goes on sending to a dead node for so long.
    pub front_delay: Duration,
    /// New work may go on for so long after a drain was notified.
    pub drain_grace: Duration,
    /// What the measuring may add to each time.
    pub slack: Duration,
    /// The settings that all nodes share; name, number, zone and addresses are the runner's.
    pub settings: NodeSettings,
    /// The cells with which the day begins, if the fleet is divided.
    pub cells: Option<CellsFile>,
    /// The engines.
    pub engines: Vec<EngineGroup>,
    /// What clients send.
    pub traffic: Traffic,
    /// The troubles, in the order of the file.
    pub faults: Vec<Fault>,
}

/// Engines of one kind.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct EngineGroup {
    pub kind: String,
    /// The cell that the list gives them to.
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

/// What clients send.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Requests a second.
    pub per_second: f64,
    /// Clients try again so often by themselves.
    pub retries: u32,
    /// They wait so long before it where no time is given.
    pub retry_wait: Duration,
    /// Share of the clients that heed a time to come back.
    pub heed: f64,
    /// Share of the requests whose answers stream.
    pub streamed: f64,
    /// How many shared beginnings there are, by falling popularity.
    pub shared: u64,
    /// Each tenant has so many of its own, rather than all of them the same.
    pub own_texts: bool,
    /// Tokens of a shared beginning.
    pub shared_tokens: (u64, u64),
    /// The classes.
    pub classes: Vec<ClassTraffic>,
    /// Each tenant's part of the requests.
    pub tenants: Vec<(String, f64)>,
}

impl Traffic {
    /// A tenant's part of the requests, from 0 to 1.
    pub fn share_of(&self, tenant: &str) -> f64 {
        let all: f64 = self.tenants.iter().map(|t| t.1).sum();
        self.tenants.iter().find(|t| t.0 == tenant).map_or(0.0, |t| t.1 / all.max(f64::MIN_POSITIVE))
    }
}

/// The requests of one class.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct ClassTraffic {
    pub name: String,
    /// Its part of the requests.
    pub share: f64,
    /// Turns of a session.
    pub turns: (u64, u64),
    /// Tokens that each turn adds.
    pub adds: (u64, u64),
    /// The most tokens of an answer.
    pub answer: (u64, u64),
    /// Share of the sessions that begin with a shared text.
    pub shared: f64,
    /// Clients wait this part of the class's patience, drawn between the two.
    pub patience: (f64, f64),
}

/// A kind of trouble.
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

/// One trouble of a day.
#[derive(Clone, Debug)]
pub struct Fault {
    /// What kind.
    pub kind: FaultKind,
    /// When it begins.
    pub start: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// The share of the engines or nodes that it strikes, drawn from the seed.
    pub fraction: f64,
    /// Only engines of this kind, if given.
    pub engine_kind: Option<String>,
    /// Only engines of this cell, if given; where a tenant moves, the cell that it moves to.
    pub cell: Option<String>,
    /// These engines and no others, if given.
    pub engines: Vec<String>,
    /// The zone or tenant that it strikes, drawn if not given.
    pub zone_or_tenant: Option<String>,
    /// How hard: a factor, a share or milliseconds, by kind.
    pub magnitude: f64,
    /// How many at a time, where it goes from one to the next.
    pub batch_size: usize,
}

/// The last node sees a version of the file of cells so long after the first.
pub const CELLS_FILE_SPREAD: Duration = Duration::from_secs(5);

impl Scenario {
    /// The settings of one node, without the addresses and files that its surroundings give it.
    pub fn node(&self, number: usize) -> NodeSettings {
        let mut settings = self.settings.clone();
        if let Some((_, core)) = self.moved.as_ref().filter(|_| self.is_moved(number)) {
            settings.core = core.clone();
        }
        settings.name = format!("n{number}");
        settings.core.zone = self.zones[number % self.zones.len()].clone();
        settings.core.node_index = number as u32;
        settings.core.node_count = self.nodes as u32;
        settings
    }

    /// Whether a node runs in the shape to which the day moves.
    pub fn is_moved(&self, number: usize) -> bool {
        self.moved.as_ref().is_some_and(|(many, _)| number + many >= self.nodes)
    }

    /// How long after a version of the file of cells was written a node sees it.
    pub fn cells_file_delay(&self, node: usize) -> Duration {
        self.list_delay + CELLS_FILE_SPREAD * node as u32 / self.nodes.saturating_sub(1).max(1) as u32
    }

    /// Reads and checks a day. `file` is used in errors only.
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
            return Err(root.error("a day needs a zone"));
        }
        let nodes = root.required_form("nodes")?;
        let count = nodes.count(1, MAX_NODES as u64)? as usize;
        let own = Document::parse("", "(node (engines \"\"))")?;
        let cells_form = root.optional_form("cells")?;
        let settings = NodeSettings::read(&root, &own.only_form("node")?)?;
        let moved = match nodes.optional_form("moved")? {
            None => None,
            Some(form) => {
                let mut core = settings.core.clone();
                let many = form.count(0, count as u64)? as usize;
                read_rules(&form, &mut core)?;
                form.finish()?;
                Some((many, core))
            }
        };
        let span = |ms: u64| Duration::from_micros(ms);
        let cells = cells_form.map(|form| CellsFile::read(&form, &settings.core)).transpose()?;
        let mut engines = Vec::new();
        for form in root.forms_named("engines")? {
            engines.push(engines_of(&form, &settings, cells.as_ref())?);
        }
        if engines.is_empty() {
            return Err(root.error("a day needs `(engines ...)`"));
        }
        let traffic = traffic_of(&root.required_form("traffic")?, &settings)?;
        let mut list = Vec::new();
        for form in root.forms_named("fault")? {
            list.push(faults::parse(&form, &zones, &settings, cells.as_ref())?);
        }
        let mut disks = BTreeMap::new();
        for form in root.forms_named("disk")? {
            let (node, storage_fault) = (form.count(0, count as u64 - 1)? as usize, form.text()?);
            form.finish()?;
            if !STORAGE_FAULTS.contains(&storage_fault.as_str()) {
                return Err(form.error(format!(
                    "`{storage_fault}` is no kind of lying disk; there are {}",
                    STORAGE_FAULTS.join(", ")
                )));
            }
            disks.insert(node, storage_fault);
        }
        let processes = nodes.boolean_or("processes", false)?;
        if !processes && (settings.membership.is_some() || !disks.is_empty()) {
            return Err(nodes.error("peers and disks need `(processes yes)`: each node is a process then"));
        }
        if processes && (cells.is_some() || moved.is_some()) {
            return Err(nodes.error("nodes that are processes have no cells and no second shape yet"));
        }
        let day = Scenario {
            processes,
            disks,
            shared: root.inner_source(&["rules", "limits", "class", "tenant", "kind"]).join("\n  "),
            name: root.text_or("name", "day")?,
            seed: root.count_or("seed", 1, 0, 1 << 53)?,
            length: Duration::from_secs_f64(root.number_or("seconds", 30.0, 0.1, 86_400.0)?),
            settle: Duration::from_secs_f64(root.number_or("settle-seconds", 20.0, 0.1, 3600.0)?),
            zones,
            racks: root.count_or("racks", 2, 1, 10_000)?,
            nodes: count,
            moved,
            list_delay: span(nodes.millis_or("notice-ms", 500.0, 0.0, 60_000.0)?),
            front_delay: span(nodes.millis_or("front-ms", 1000.0, 0.0, 60_000.0)?),
            drain_grace: span(root.millis_or("drain-grace-ms", 1000.0, 0.0, 60_000.0)?),
            slack: span(root.millis_or("slack-ms", 100.0, 0.0, 60_000.0)?),
            settings,
            cells,
            engines,
            traffic,
            faults: list,
        };
        nodes.finish()?;
        root.finish()?;
        Ok(day)
    }
}

fn range(form: &Form, key: &str, default: (u64, u64), most: u64) -> Result<(u64, u64), ConfigError> {
    let Some(inner) = form.optional_form(key)? else { return Ok(default) };
    let (least, largest) = (inner.count(0, most)?, inner.count(0, most)?);
    inner.finish()?;
    if least > largest {
        return Err(inner.error(format!("`{key}` goes from {least} down to {largest}")));
    }
    Ok((least, largest))
}

fn engines_of(
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
    let span = |us: u64| Duration::from_micros(us);
    let group = EngineGroup {
        cell,
        role: engine_kind.role,
        count: form.count_or("count", 1, 0, 10_000)? as usize,
        slots: settings.slots[index].max(1) as usize,
        queue: form.count_or("queue", 32, 0, 1 << 20)? as usize,
        memory_tokens: if engine_kind.memory_tokens > 0 { engine_kind.memory_tokens } else { 200_000 },
        read_tokens_per_s: form.number_or("read-per-s", 15_000.0, 1.0, 1e9)?,
        token_gap: span(form.millis_or("token-gap-ms", 20.0, 0.01, 10_000.0)?),
        link_tokens_per_s: form.number_or("link-per-s", 300_000.0, 1.0, 1e9)?,
        report_interval: span(form.millis_or("report-ms", 200.0, 0.0, 60_000.0)?),
        kind,
    };
    form.finish()?;
    Ok(group)
}

fn traffic_of(form: &Form, settings: &NodeSettings) -> Result<Traffic, ConfigError> {
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
            adds: range(&inner, "adds", (50, 200), 1 << 20)?,
            answer: range(&inner, "answer", (20, 60), 1 << 16)?,
            shared: inner.number_or("shared", 0.8, 0.0, 1.0)?,
            patience: (least as f64 / 100.0, most as f64 / 100.0),
        };
        if class.answer.0 == 0 || class.turns.0 == 0 || least == 0 {
            return Err(inner.error("`answer`, `turns` and `patience-percent` begin at 1"));
        }
        inner.finish()?;
        classes.push(class);
    }
    if classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
        return Err(form.error("`traffic` needs a class with a share over 0"));
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
        heed: form.number_or("heed", 0.7, 0.0, 1.0)?,
        streamed: form.number_or("streamed", 0.8, 0.0, 1.0)?,
        shared: form.count_or("shared-texts", 12, 1, 1 << 20)?,
        own_texts: form.count_or("own-texts", 0, 0, 1)? == 1,
        shared_tokens: range(form, "shared-tokens", (200, 800), 1 << 20)?,
        classes,
        tenants: tenants.into_iter().filter(|(_, share)| *share > 0.0).collect(),
    };
    form.finish()?;
    Ok(traffic)
}
