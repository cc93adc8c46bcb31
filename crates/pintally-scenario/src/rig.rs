//! A small rig for tests and measurements: one node, a few mock engines, and attempts made one by one.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use pintally::interface::{EndpointState, Role};
use pintally_audit::{audit, AuditEvent, EngineLocation, Report};
use pintally_config::NodeSettings;
use pintally_kserve_node::Node;
use pintally_mock_engine::{self as mock_engine, Engine, EngineSpec, Fleet, Port, Recorder};
use tempfile::TempDir;

use crate::client::{Client, ClientAttempt};
use crate::publish::Publisher;
use crate::run::{with_figures, RunError};

/// Source address of the rig's node.
const NODE_SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1));

/// One node and its engines.
pub struct Rig {
    /// The engines and the shared record.
    pub fleet: Arc<Fleet>,
    /// Makes attempts.
    pub client: Client,
    settings: Arc<NodeSettings>,
    node: Option<Node>,
    publisher: Publisher,
    address: SocketAddr,
    /// Reserves the node's port while the node is down.
    _port: Port,
    folder: TempDir,
}

impl Rig {
    /// Starts engines and a node. `settings` is the text of a settings file; the rig replaces the listening
    /// address, the source address and the list files in it.
    pub fn new(settings: &str, engines: Vec<EngineSpec>) -> Result<Rig, RunError> {
        crate::cpus::limit_cpus();
        let fail = |e: &dyn std::fmt::Display| RunError(e.to_string());
        let mut settings = NodeSettings::parse("rig", settings).map_err(|e| fail(&e))?;
        let folder = tempfile::tempdir().map_err(|e| fail(&e))?;
        let recorder = Recorder::default();
        let fleet = Fleet::new(recorder.clone());
        fleet.name_node(NODE_SOURCE, "n0", "a");
        let mut publisher = Publisher::new(folder.path(), 1);
        for spec in engines {
            let engine = fleet.add(spec, false).map_err(|e| fail(&e))?;
            publisher.set_entry(&engine, EndpointState::Serving, false);
        }
        let reserved = Port::hold().and_then(|p| Ok((p.address()?, p)));
        let (address, port) = reserved.map_err(|e| fail(&e))?;
        settings.listen = address;
        settings.source = Some(NODE_SOURCE);
        settings.engines_file = publisher.list_file(0).to_string_lossy().into_owned();
        settings.cached_list_file =
            Some(publisher.list_file(0).with_extension("kept").to_string_lossy().into_owned());
        let client = Client { recorder };
        let (settings, node) = (Arc::new(settings), None);
        let mut rig = Rig { fleet, client, settings, node, publisher, address, _port: port, folder };
        rig.publish()?;
        rig.start_node()?;
        Ok(rig)
    }

    /// Default settings of an engine.
    pub fn spec(id: &str, role: Role) -> EngineSpec {
        let (kind, role) = match role {
            Role::Reader => ("prefill", mock_engine::Role::Reader),
            Role::Writer => ("decode", mock_engine::Role::Writer),
            Role::Mixed => ("mixed", mock_engine::Role::Mixed),
        };
        EngineSpec {
            id: id.to_string(),
            kind: kind.to_string(),
            role,
            zone: "a".to_string(),
            rack: 0,
            cell: None,
            slots: 32,
            queue: 32,
            memory_tokens: 200_000,
            read_tokens_per_s: 20_000.0,
            token_gap: Duration::from_millis(2),
            link_tokens_per_s: 1_000_000.0,
            initial_capacity: 0.3,
            warm_up: Duration::from_secs(5),
            overload_factor: 2.5,
            overload_window: Duration::from_secs(2),
            report_interval: Duration::from_millis(50),
            state_ttl: Duration::from_secs(60),
        }
    }

    /// An attempt with default values, which the caller may change.
    pub fn new_attempt(&self, id: &str, class: &str) -> ClientAttempt {
        ClientAttempt {
            id: id.to_string(),
            node: "n0".to_string(),
            address: self.address(),
            class: class.to_string(),
            tenant: None,
            session: 1,
            prefix: None,
            prefix_tokens: 0,
            prompt: format!("{id} ").repeat(200),
            max_tokens: 16,
            patience: Duration::from_secs(4),
            streamed: true,
            leaves_after: None,
        }
    }

    /// The node's listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The node, if it runs.
    pub fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    /// Returns an engine by its id.
    pub fn engine(&self, id: &str) -> Result<Arc<Engine>, RunError> {
        self.fleet.engine(id).ok_or_else(|| RunError(format!("no engine `{id}`")))
    }

    /// The endpoint list file that the node watches.
    pub fn list_file(&self) -> PathBuf {
        self.publisher.list_file(0)
    }

    /// Changes an engine's state in the endpoint list and writes the list.
    pub fn list(&mut self, id: &str, listing: EndpointState, started: bool) -> Result<(), RunError> {
        let engine = self.engine(id)?;
        self.publisher.set_entry(&engine, listing, started);
        self.publish()
    }

    /// Writes the current list as a new version.
    pub fn publish(&mut self) -> Result<(), RunError> {
        let version = self.publisher.new_version();
        let list = self.publisher.next_list(0, version);
        let written = list.map_or(Ok(()), |list| list.write(&self.fleet.recorder));
        written.map_err(|e| RunError(e.to_string()))
    }

    /// Starts the node, always on the same address, and waits until it has a serving engine.
    pub fn start_node(&mut self) -> Result<(), RunError> {
        let node = Node::start(self.settings.clone(), 7).map_err(|e| RunError(e.to_string()))?;
        self.fleet.recorder.note(AuditEvent::NodeUp { node: "n0".into() });
        let deadline = std::time::Instant::now() + Duration::from_secs(10);
        while node.serving_engines() == 0 {
            if std::time::Instant::now() > deadline {
                return Err(RunError("the node has not loaded the endpoint list".into()));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        self.node = Some(node);
        Ok(())
    }

    /// Kills the node.
    pub fn kill_node(&mut self) {
        if let Some(node) = self.node.take() {
            self.fleet.recorder.note(AuditEvent::NodeDown { node: "n0".into() });
            node.kill();
        }
    }

    /// Shuts the node down gracefully and audits the record.
    pub fn finish(mut self) -> Result<Report, RunError> {
        if let Some(node) = self.node.take() {
            node.stop();
        }
        let engines = self.fleet.engines();
        let figures = engines.iter().map(|e| EngineLocation {
            engine: e.spec.id.clone(),
            zone: e.spec.zone.clone(),
            rack: e.spec.rack,
        });
        let record = with_figures(
            &self.settings,
            (1_000_000, 800_000),
            figures.collect(),
            self.fleet.recorder.snapshot(),
        );
        self.fleet.shut_down();
        drop(self.folder);
        audit(&record).map_err(|e| RunError(e.to_string()))
    }
}
