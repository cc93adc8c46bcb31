//! The settings of one node: types, defaults, and how they are read from a file.

use std::net::{IpAddr, SocketAddr};

use pintally::interface::{
    Class, DiscoveryMode, EngineKind, Idempotency, IdempotencyScope, LoadReporting, Micros, Role, Settings,
    Tenant,
};

use crate::form::{Document, Form};
use crate::{
    check, fleet, regions, shared, ConfigError, ConsensusSettings, FailoverSettings, MembershipSettings,
    QuotaSettings, RecoverySettings,
};

/// Everything that one node is told.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's name, used in request ids and logs.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The address from which it connects to engines; the system's choice if not told.
    pub source: Option<IpAddr>,
    /// The name of the model that it serves.
    pub model: String,
    /// The watched list of engines.
    pub engines_file: String,
    /// How often the list is looked at.
    pub engines_poll_interval: Micros,
    /// Where the last good list is kept over a restart, if anywhere.
    pub cached_list_file: Option<String>,
    /// The watched file of cells; without one all engines serve everyone.
    pub cells_file: Option<String>,
    /// Where the last good file of cells is kept over a restart, if anywhere.
    pub cached_cells_file: Option<String>,
    /// The other nodes of its fleet; none where it knows of no others.
    pub membership: Option<MembershipSettings>,
    /// How it comes back after a start; none takes whatever comes from the first second.
    pub recovery: Option<RecoverySettings>,
    /// The keepers of the fleet's register; none where nothing is agreed on.
    pub consensus: Option<ConsensusSettings>,
    /// Limits that hold for the whole fleet.
    pub quotas: Option<QuotaSettings>,
    /// Verdicts of the whole fleet on engines; none where each node judges alone.
    pub outlier_detection: Option<pintally_outlier_detection::Settings>,
    /// Zones and regions between which work goes by a common plan; none where all serve everyone.
    pub failover: Option<FailoverSettings>,
    /// Bounds on what clients and engines may use.
    pub limits: Limits,
    /// What the decision core is told.
    pub core: Settings,
    /// Further settings of the core's classes, in the same order.
    pub classes: Vec<ClassSettings>,
    /// Slots of one engine of each kind, 0 if not told; in the order of the core's kinds.
    pub slots: Vec<u64>,
}

/// What the node needs to know of a class beside what the core does.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// The time that its clients wait when a request does not say.
    pub default_client_timeout: Micros,
    /// The most tokens of an answer when a request does not say.
    pub max_tokens: u64,
}

/// Bounds on what clients and engines may use.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Client connections at once.
    pub max_connections: usize,
    /// Requests held at once; more are refused at the door.
    pub max_open_requests: usize,
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Bytes of all requests' bodies together; who would go over it is turned away.
    pub max_total_body_bytes: usize,
    /// Time for a head and body to come in.
    pub receive_timeout: Micros,
    /// Time for a client to take what is written to it before it counts as gone.
    pub write_timeout: Micros,
    /// Time after which an idle client connection is closed.
    pub idle_timeout: Micros,
    /// Time to connect to an engine.
    pub connect_timeout: Micros,
    /// Time after which an idle engine connection is closed.
    pub keep_alive: Micros,
    /// Attempts at one engine at once from this node.
    pub max_streams_per_engine: usize,
    /// Time for a probe or a release.
    pub background_call_timeout: Micros,
    /// Probes and releases that are out at once, each with a connection.
    pub max_background_calls: usize,
    /// A silence inside a running answer that ends it.
    pub stall_timeout: Micros,
    /// Answers leave this long before the client's time is up.
    pub answer_margin: Micros,
    /// Shutting down takes this long at most.
    pub shutdown_timeout: Micros,
}

impl NodeSettings {
    /// Reads and checks a file's text. `file` is used in errors only.
    pub fn parse(file: &str, text: &str) -> Result<NodeSettings, ConfigError> {
        let document = Document::parse(file, text)?;
        let root = document.only("pintally")?;
        let settings = NodeSettings::read(&root, &root.need("node")?)?;
        root.finish()?;
        Ok(settings)
    }

    /// Reads the settings of a node out of its own form and a form that holds the rest, which may
    /// hold more than that.
    pub fn read(root: &Form, node: &Form) -> Result<NodeSettings, ConfigError> {
        let name = node.text_or("name", "node")?;
        if name.is_empty() || name.len() > 64 || !name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-')
        {
            return Err(node.error("`name` must be 1 to 64 letters, digits and dashes"));
        }
        let listen = node.text_or("listen", "127.0.0.1:8080")?;
        let listen = listen
            .parse()
            .map_err(|_| node.error(format!("`listen` is `{listen}`, not an address and port")))?;
        let source = node.text_or("source", "")?;
        let source = match source.as_str() {
            "" => None,
            text => {
                Some(text.parse().map_err(|_| node.error(format!("`source` is `{text}`, not an address")))?)
            }
        };
        let engines = node.need("engines")?;
        let engines_file = engines.text()?;
        let engines_every = engines.millis_or("every-ms", 100.0, 1.0, 60_000.0)?;
        engines.finish()?;
        let path = |key: &str| -> Result<Option<String>, ConfigError> {
            Ok(Some(node.text_or(key, "")?).filter(|t| !t.is_empty()))
        };
        let (kept_list, cells_file, kept_cells) = (path("kept-list")?, path("cells")?, path("kept-cells")?);
        let mut core = router(root, node)?;
        let mut classes = Vec::new();
        for form in root.all("class")? {
            let (class, more) = class(&form)?;
            if core.classes.iter().any(|c| c.name == class.name) {
                return Err(form.error(format!("class `{}` is given twice", class.name)));
            }
            check::class(&form, &core, &class, &more)?;
            core.classes.push(class);
            classes.push(more);
        }
        if classes.is_empty() {
            return Err(root.error("`pintally` lacks `(class ...)`"));
        }
        for form in root.all("tenant")? {
            let name = form.text()?;
            if core.tenants.iter().any(|t| t.name == name) {
                return Err(form.error(format!("tenant `{name}` is given twice")));
            }
            let quota_per_s = form.number_or("quota-per-s", 0.0, 0.0, 1e9)?;
            form.finish()?;
            core.tenants.push(Tenant { name, quota_per_s });
        }
        let mut slots = Vec::new();
        for form in root.all("kind")? {
            let name = form.text()?;
            if core.kinds.iter().any(|k| k.name == name) {
                return Err(form.error(format!("kind `{name}` is given twice")));
            }
            let role = match form.text_or("role", "")?.as_str() {
                "reader" => Role::Reader,
                "writer" => Role::Writer,
                "mixed" => Role::Mixed,
                other => return Err(form.error(format!("`role` is `{other}`, not reader, writer or mixed"))),
            };
            let memory_tokens = form.count_or("memory-tokens", 0, 0, 1 << 40)?;
            slots.push(form.count_or("slots", 0, 0, 1 << 20)?);
            form.finish()?;
            core.kinds.push(EngineKind { name, role, memory_tokens });
        }
        check::kinds(root, &core)?;
        let (peers, recovery) = fleet::read(root)?;
        let (keepers, shared_limits, verdicts) = shared::read(root)?;
        let limits = limits(root)?;
        core.connect_timeout = limits.connect_timeout;
        let mut settings = NodeSettings {
            name,
            listen,
            source,
            model: node.text_or("model", "default")?,
            engines_file,
            engines_poll_interval: engines_every,
            cached_list_file: kept_list,
            cells_file,
            cached_cells_file: kept_cells,
            membership: peers,
            recovery,
            consensus: keepers,
            quotas: shared_limits,
            outlier_detection: verdicts,
            failover: regions::read(root)?,
            limits,
            core,
            classes,
            slots,
        };
        node.finish()?;
        check::check(root, &settings)?;
        fleet::check(root, &settings)?;
        shared::check(root, &mut settings)?;
        regions::check(root, &settings)?;
        Ok(settings)
    }
}

fn limits(root: &Form) -> Result<Limits, ConfigError> {
    let empty = Document::parse("", "(limits)")?;
    let form = match root.maybe("limits")? {
        Some(form) => form,
        None => return limits_of(&empty.only("limits")?),
    };
    limits_of(&form)
}

fn limits_of(f: &Form) -> Result<Limits, ConfigError> {
    let limits = Limits {
        max_connections: f.count_or("connections", 16_384, 1, 1 << 20)? as usize,
        max_open_requests: f.count_or("held", 12_288, 1, 1 << 20)? as usize,
        max_head_bytes: f.count_or("head-bytes", 16_384, 256, 1 << 20)? as usize,
        max_body_bytes: f.count_or("body-bytes", 4 << 20, 1, 1 << 30)? as usize,
        max_total_body_bytes: f.count_or("bodies-bytes", 512 << 20, 1, 1 << 40)? as usize,
        receive_timeout: f.millis_or("receive-ms", 10_000.0, 1.0, 600_000.0)?,
        write_timeout: f.millis_or("write-ms", 10_000.0, 1.0, 600_000.0)?,
        idle_timeout: f.millis_or("idle-ms", 60_000.0, 1.0, 3_600_000.0)?,
        connect_timeout: f.millis_or("connect-ms", 250.0, 1.0, 60_000.0)?,
        keep_alive: f.millis_or("keep-alive-ms", 15_000.0, 0.0, 3_600_000.0)?,
        max_streams_per_engine: f.count_or("streams", 1024, 1, 1 << 20)? as usize,
        background_call_timeout: f.millis_or("errand-ms", 250.0, 1.0, 60_000.0)?,
        max_background_calls: f.count_or("errands", 256, 1, 16_384)? as usize,
        stall_timeout: f.millis_or("stall-ms", 30_000.0, 1.0, 3_600_000.0)?,
        answer_margin: f.millis_or("answer-margin-ms", 50.0, 0.0, 60_000.0)?,
        shutdown_timeout: f.millis_or("stop-ms", 10_000.0, 1.0, 600_000.0)?,
    };
    f.finish()?;
    Ok(limits)
}

/// What the core is told, without classes, tenants and kinds.
fn router(root: &Form, node: &Form) -> Result<Settings, ConfigError> {
    let nodes = node.count_or("of", 1, 1, 100_000)? as u32;
    let number = node.count_or("number", 0, 0, 100_000)? as u32;
    if number >= nodes {
        return Err(node.error(format!("`number` is {number}, but there are {nodes} nodes, counted from 0")));
    }
    let mut settings = Settings {
        zone: node.text_or("zone", "")?,
        node: number,
        nodes,
        classes: Vec::new(),
        tenants: Vec::new(),
        kinds: Vec::new(),
        discovery: DiscoveryMode::Push,
        reports: LoadReporting::Inline,
        weights: true,
        writers_read_prompts: false,
        cancellation_allowed: true,
        health_checks_allowed: true,
        health_check_price: 0.0,
        clients_honour_retry_after: true,
        max_retry_after: 2_000_000,
        max_attempts: 6,
        slow_start_min_capacity: 0.3,
        slow_start_duration: 14_000_000,
        overload_factor: 2.5,
        overload_window: 2_000_000,
        connect_timeout: 250_000,
        release_deadline: 500_000,
        max_poll_interval: 0,
        remembered_service_rates: [0.0; 3],
    };
    let empty = Document::parse("", "(rules)")?;
    let rules = match root.maybe("rules")? {
        Some(form) => form,
        None => empty.only("rules")?,
    };
    shape(&rules, &mut settings)?;
    rules.finish()?;
    Ok(settings)
}

/// Reads what a form tells of the shape of a deployment over what the settings say; what it leaves out
/// stays. The caller finishes the form, which may hold more.
pub fn shape(form: &Form, s: &mut Settings) -> Result<(), ConfigError> {
    let ms = |span: Micros| span as f64 / 1e3;
    let reports = match s.reports {
        LoadReporting::Inline => "inline",
        LoadReporting::OnHealthCheck => "on-probe",
        LoadReporting::Off => "off",
    };
    s.reports = match form.text_or("reports", reports)?.as_str() {
        "inline" => LoadReporting::Inline,
        "on-probe" => LoadReporting::OnHealthCheck,
        "off" => LoadReporting::Off,
        other => return Err(form.error(format!("`reports` is `{other}`, not inline, on-probe or off"))),
    };
    s.weights = form.yes_or("weights", s.weights)?;
    s.writers_read_prompts = form.yes_or("writers-read", s.writers_read_prompts)?;
    s.cancellation_allowed = form.yes_or("cancel", s.cancellation_allowed)?;
    s.health_checks_allowed = form.yes_or("probes", s.health_checks_allowed)?;
    s.health_check_price = form.number_or("probe-price", s.health_check_price, 0.0, 100.0)?;
    s.clients_honour_retry_after = form.yes_or("retry-after", s.clients_honour_retry_after)?;
    s.max_retry_after = form.millis_or("retry-after-most-ms", ms(s.max_retry_after), 0.0, 600_000.0)?;
    s.max_attempts = form.count_or("attempts", s.max_attempts.into(), 1, 100)? as u32;
    s.slow_start_min_capacity = form.number_or("cold-from", s.slow_start_min_capacity, 0.001, 1.0)?;
    s.slow_start_duration = form.millis_or("warm-after-ms", ms(s.slow_start_duration), 0.0, 3_600_000.0)?;
    s.overload_factor = form.number_or("tip-multiple", s.overload_factor, 0.1, 1000.0)?;
    s.overload_window = form.millis_or("tip-window-ms", ms(s.overload_window), 1.0, 600_000.0)?;
    s.release_deadline = form.millis_or("release-within-ms", ms(s.release_deadline), 1.0, 600_000.0)?;
    check::rules(form, s)
}

fn class(form: &Form) -> Result<(Class, ClassSettings), ConfigError> {
    let name = form.text()?;
    let effect = form.need("effect")?;
    let kind = effect.text()?;
    let keyed = |f: &Form| -> Result<Idempotency, ConfigError> {
        let group = match f.text_or("group", "")?.as_str() {
            "all" => IdempotencyScope::All,
            "zone" => IdempotencyScope::Zone,
            "rack" => IdempotencyScope::Rack,
            other => return Err(f.error(format!("`group` is `{other}`, not all, zone or rack"))),
        };
        Ok(Idempotency::WithKey(group, f.millis_or("window-ms", 0.0, 1.0, 86_400_000.0)?))
    };
    let effect_value = match kind.as_str() {
        "safe" => Idempotency::Idempotent,
        "unsafe" => Idempotency::NotIdempotent,
        "keyed" => keyed(&effect)?,
        other => return Err(effect.error(format!("`effect` is `{other}`, not safe, keyed or unsafe"))),
    };
    effect.finish()?;
    let class = Class {
        name,
        effect: effect_value,
        latency_objective: form.millis_or("aim-ms", 1000.0, 1.0, 3_600_000.0)?,
        latency_objective_per_1000_tokens: form.millis_or("aim-per-1000-tokens-ms", 0.0, 0.0, 600_000.0)?,
        token_interval_objective: form.millis_or("token-aim-ms", 0.0, 0.0, 60_000.0)?,
        priority_weight: form.number_or("worth", 1.0, 0.0, 1e9)?,
        late_weight_fraction: form.number_or("late-share", 0.0, 0.0, 1.0)?,
    };
    let more = ClassSettings {
        default_client_timeout: form.millis_or("patience-ms", 5000.0, 1.0, 3_600_000.0)?,
        max_tokens: form.count_or("max-tokens", 256, 1, 1 << 20)?,
    };
    check::class_form(form)?;
    form.finish()?;
    Ok((class, more))
}
