//! The settings of one node.

use std::net::{IpAddr, SocketAddr};

use pintally::interface::{EngineKind, Micros, Role, Settings, Tenant};

use crate::form::{Document, Form};
use crate::{
    check, class, consensus, failover, limits, membership, outlier_detection, quota, recovery, router,
    ClassSettings, ConfigError, ConsensusSettings, FailoverSettings, Limits, MembershipSettings,
    QuotaSettings, RecoverySettings,
};

/// The maximum length of the name of a node.
const MAX_NODE_NAME_BYTES: usize = 64;

/// All settings of one node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's name, used in request ids and logs.
    pub name: String,
    /// The address and port on which the node accepts clients.
    pub listen: SocketAddr,
    /// The local address of connections to engines; chosen by the operating system if `None`.
    pub source: Option<IpAddr>,
    /// The name of the served model.
    pub model: String,
    /// The path of the endpoint list, which is watched for changes.
    pub engines_file: String,
    /// The time between two reads of the endpoint list, in microseconds.
    pub engines_poll_interval: Micros,
    /// The file in which the last valid endpoint list is cached for a restart, if any.
    pub cached_list_file: Option<String>,
    /// The path of the cells file, which is watched for changes; without it all engines serve all requests.
    pub cells_file: Option<String>,
    /// The file in which the last valid cells file is cached for a restart, if any.
    pub cached_cells_file: Option<String>,
    /// Membership in a fleet; `None` if the node has no peers.
    pub membership: Option<MembershipSettings>,
    /// Recovery after a start; without it the node admits all requests immediately.
    pub recovery: Option<RecoverySettings>,
    /// The replicas of the fleet's key-value store; `None` if the fleet has none.
    pub consensus: Option<ConsensusSettings>,
    /// Limits that apply to the whole fleet.
    pub quotas: Option<QuotaSettings>,
    /// Outlier detection by all nodes together; `None` if each node detects outliers on its own.
    pub outlier_detection: Option<pintally_outlier_detection::Settings>,
    /// Failover between zones by a common plan; `None` if the engines of all zones serve all requests.
    pub failover: Option<FailoverSettings>,
    /// Limits on connections, requests and their sizes, and timeouts.
    pub limits: Limits,
    /// Settings of the routing core.
    pub core: Settings,
    /// Further settings of the core's classes, in the order of the core's settings.
    pub classes: Vec<ClassSettings>,
    /// The slots of one engine of each kind, in the order of the core's engine kinds; 0 if not given.
    pub slots: Vec<u64>,
}

impl NodeSettings {
    /// Reads and checks the text of a file. `file` is the name of the file in errors.
    ///
    /// # Errors
    ///
    /// Fails at the first error, with its position and the rule that the setting would violate.
    pub fn parse(file: &str, text: &str) -> Result<NodeSettings, ConfigError> {
        let document = Document::parse(file, text)?;
        let root = document.only_form("pintally")?;
        let settings = NodeSettings::read(&root, &root.required_form("node")?)?;
        root.finish()?;
        Ok(settings)
    }

    /// Reads the settings of a node from its own form and from the form that holds all other settings. The
    /// latter may hold further forms, so the caller finishes it.
    ///
    /// # Errors
    ///
    /// Fails at the first error, with its position and the rule that the setting would violate.
    pub fn read(root: &Form, node: &Form) -> Result<NodeSettings, ConfigError> {
        let name = node_name(node)?;
        let listen = listen_address(node)?;
        let source = source_address(node)?;
        let (engines_file, engines_poll_interval) = endpoint_list_file(node)?;
        let cached_list_file = optional_path(node, "kept-list")?;
        let cells_file = optional_path(node, "cells")?;
        let cached_cells_file = optional_path(node, "kept-cells")?;
        let mut core = router::read(root, node)?;
        let classes = class::read(root, &mut core)?;
        core.tenants = tenants(root)?;
        let slots = engine_kinds(root, &mut core)?;
        check::kinds(root, &core)?;
        let membership = membership::read(root)?;
        let recovery = recovery::read(root)?;
        let consensus = consensus::read(root)?;
        let quotas = quota::read(root)?;
        let outlier_detection = outlier_detection::read(root)?;
        let limits = limits::read(root)?;
        core.connect_timeout = limits.connect_timeout;
        let mut settings = NodeSettings {
            name,
            listen,
            source,
            model: node.text_or("model", "default")?,
            engines_file,
            engines_poll_interval,
            cached_list_file,
            cells_file,
            cached_cells_file,
            membership,
            recovery,
            consensus,
            quotas,
            outlier_detection,
            failover: failover::read(root)?,
            limits,
            core,
            classes,
            slots,
        };
        node.finish()?;
        settings.check(root)?;
        Ok(settings)
    }

    /// Checks that the settings are consistent with each other, and sets those that are derived from others.
    fn check(&mut self, root: &Form) -> Result<(), ConfigError> {
        check::check(root, self)?;
        recovery::check(root, self)?;
        consensus::check(root, self)?;
        outlier_detection::check(root, self)?;
        quota::check(root, self)?;
        failover::check(root, self)
    }
}

fn node_name(node: &Form) -> Result<String, ConfigError> {
    let name = node.text_or("name", "node")?;
    let valid_characters = name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
    if name.is_empty() || name.len() > MAX_NODE_NAME_BYTES || !valid_characters {
        return Err(node.error("`node.name`: must have 1 to 64 letters, digits and dashes"));
    }
    Ok(name)
}

fn listen_address(node: &Form) -> Result<SocketAddr, ConfigError> {
    let listen = node.text_or("listen", "127.0.0.1:8080")?;
    listen
        .parse()
        .map_err(|_| node.error(format!("`node.listen`: must be an address and port, not `{listen}`")))
}

fn source_address(node: &Form) -> Result<Option<IpAddr>, ConfigError> {
    let source = node.text_or("source", "")?;
    if source.is_empty() {
        return Ok(None);
    }
    let address = source.parse();
    address.map(Some).map_err(|_| node.error(format!("`node.source`: must be an IP address, not `{source}`")))
}

/// The path of the endpoint list and the time between two reads.
fn endpoint_list_file(node: &Form) -> Result<(String, Micros), ConfigError> {
    let engines = node.required_form("engines")?;
    let file = engines.text()?;
    let interval = engines.millis_or("every-ms", 100.0, 1.0, 60_000.0)?;
    engines.finish()?;
    Ok((file, interval))
}

fn optional_path(node: &Form, key: &str) -> Result<Option<String>, ConfigError> {
    Ok(Some(node.text_or(key, "")?).filter(|path| !path.is_empty()))
}

fn tenants(root: &Form) -> Result<Vec<Tenant>, ConfigError> {
    let mut tenants: Vec<Tenant> = Vec::new();
    for form in root.forms_named("tenant")? {
        let name = form.text()?;
        if tenants.iter().any(|tenant| tenant.name == name) {
            return Err(form.error(format!("`tenant`: the name `{name}` must not be used twice")));
        }
        let quota_per_s = form.number_or("quota-per-s", 0.0, 0.0, 1e9)?;
        form.finish()?;
        tenants.push(Tenant { name, quota_per_s });
    }
    Ok(tenants)
}

/// Reads the engine kinds into the core's settings; returns the slots of each.
fn engine_kinds(root: &Form, core: &mut Settings) -> Result<Vec<u64>, ConfigError> {
    let mut slots = Vec::new();
    for form in root.forms_named("kind")? {
        let name = form.text()?;
        if core.engine_kinds.iter().any(|kind| kind.name == name) {
            return Err(form.error(format!("`kind`: the name `{name}` must not be used twice")));
        }
        let role = role(&form)?;
        let memory_tokens = form.count_or("memory-tokens", 0, 0, 1 << 40)?;
        slots.push(form.count_or("slots", 0, 0, 1 << 20)?);
        form.finish()?;
        core.engine_kinds.push(EngineKind { name, role, memory_tokens });
    }
    Ok(slots)
}

fn role(kind: &Form) -> Result<Role, ConfigError> {
    match kind.text_or("role", "")?.as_str() {
        "reader" => Ok(Role::Reader),
        "writer" => Ok(Role::Writer),
        "mixed" => Ok(Role::Mixed),
        other => Err(kind.error(format!("`kind.role`: must be reader, writer or mixed, not `{other}`"))),
    }
}
