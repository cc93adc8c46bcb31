//! `pintally regions ...`: failover between zones and regions.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Subcommand;
use serde_json::{json, Value};

use super::operator::send_command;
use crate::status::{number, show, text};
use crate::Failure;

#[derive(clap::Args)]
pub(crate) struct Zones {
    #[command(subcommand)]
    command: ZonesCommand,
}

#[derive(Subcommand)]
enum ZonesCommand {
    /// Show the state of each zone, its share in use with the reason, and where its requests go.
    Status {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
        /// Print one line of JSON for each node.
        #[arg(long)]
        json: bool,
    },
    /// Dry run: where requests would go without a zone. Nothing is changed.
    Plan(Zone),
    /// Evacuate a zone until it is released.
    Order(Zone),
    /// Keep a zone in its present state, whatever the planner decides.
    Hold(Zone),
    /// Let the planner decide on a zone again.
    Release(Zone),
}

#[derive(clap::Args)]
struct Zone {
    /// The zone.
    zone: String,
    /// Where replicas listen for peers; the leader executes the command.
    #[arg(required = true, value_name = "KEEPERS")]
    replicas: Vec<SocketAddr>,
}

pub(crate) fn run(args: &Zones) -> Result<ExitCode, Failure> {
    let order =
        |zone: &Zone, state: &str| send_command(&zone.replicas, &json!({ "Zone": [zone.zone, state] }));
    match &args.command {
        ZonesCommand::Status { nodes, json } => {
            let header = [
                "node", "zone", "known", "nodes", "in use", "room", "comes", "takes", "fails", "goes", "why",
            ];
            show(nodes, "/pintally/regions", *json, &header, zone_rows)
        }
        ZonesCommand::Plan(zone) => send_command(&zone.replicas, &json!({ "Rehearse": zone.zone })),
        ZonesCommand::Order(zone) => order(zone, "out"),
        ZonesCommand::Hold(zone) => order(zone, "hold"),
        ZonesCommand::Release(zone) => order(zone, ""),
    }
}

fn zone_rows(node: SocketAddr, document: &Value) -> Vec<Vec<String>> {
    let destinations = |row: &Value| -> String {
        let share = |r: &Value| format!("{} {:.0}%", text(&r[0]), r[1].as_f64().unwrap_or(0.0) * 100.0);
        row.as_array().into_iter().flatten().map(share).collect::<Vec<_>>().join(", ")
    };
    let name = format!("{} ({node})", text(&document["node"]));
    if let Some(zones) = document["leads"]["zones"].as_array() {
        let row = |(n, z): (usize, &Value)| {
            vec![
                name.clone(),
                text(&z["zone"]),
                text(&z["known"]).to_lowercase(),
                text(&z["nodes"]),
                format!("{:.0}%", z["open"].as_f64().unwrap_or(0.0) * 100.0),
                number(&z["room"]),
                number(&z["offered"]),
                number(&z["takes"]),
                format!("{:.0}%", z["failing"].as_f64().unwrap_or(0.0) * 100.0),
                destinations(&document["leads"]["goes"][n]),
                text(&z["why"]),
            ]
        };
        return zones.iter().enumerate().map(row).collect();
    }
    let plan = &document["plan"];
    if plan.is_null() {
        return vec![vec![name, "no plan received: it prefers its own zone".into()]];
    }
    let names = document["names"].as_array().cloned().unwrap_or_default();
    let row = |(n, zone): (usize, &Value)| {
        let mut row =
            vec![name.clone(), text(zone), format!("plan {} of term {}", plan["number"], plan["term"])];
        row.extend(["".to_string(), format!("{:.0}%", plan["open"][n].as_f64().unwrap_or(0.0) / 2.55)]);
        row.extend(["", "", "", ""].map(String::from));
        row.push(destinations(&plan["rows"][n]));
        row
    };
    names.iter().enumerate().map(row).collect()
}
