//! What holds for the whole fleet: `pintally limits show|set`, `pintally keepers status|change`.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Subcommand;
use pintally_transport::send_command;
use serde_json::{json, Value};

use crate::told::{seconds, show, text};
use crate::Failure;

/// The number of orders on the link between nodes.
const ORDER: u8 = 128;

#[derive(clap::Args)]
pub(crate) struct Limits {
    #[command(subcommand)]
    command: LimitsCommand,
}

#[derive(Subcommand)]
enum LimitsCommand {
    /// How each limit stands at nodes, and what the lender has lent.
    Show {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
        /// Print one line of JSON for each node.
        #[arg(long)]
        json: bool,
    },
    /// Make a limit another one, for the whole fleet.
    Set {
        /// The limit's name.
        name: String,
        /// How much for the whole fleet.
        most: f64,
        /// Where keepers listen for peers; whichever leads takes it.
        #[arg(required = true)]
        keepers: Vec<SocketAddr>,
    },
}

#[derive(clap::Args)]
pub(crate) struct Keepers {
    #[command(subcommand)]
    command: KeepersCommand,
}

#[derive(Subcommand)]
enum KeepersCommand {
    /// Where keepers stand: who leads, who votes, who catches up and why.
    Status {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
        /// Print one line of JSON for each node.
        #[arg(long)]
        json: bool,
    },
    /// Make these the keepers: one more, or one fewer, than there are.
    Change {
        /// Names of nodes, with commas between them.
        #[arg(long, value_delimiter = ',', required = true)]
        to: Vec<String>,
        /// Where keepers listen for peers; whichever leads takes it.
        #[arg(required = true)]
        keepers: Vec<SocketAddr>,
    },
}

#[derive(clap::Args)]
pub(crate) struct Verdicts {
    #[command(subcommand)]
    command: VerdictsCommand,
}

#[derive(Subcommand)]
enum VerdictsCommand {
    /// Which engines are accused or held back, by whom, and how far it reaches.
    Show {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
        /// Print one line of JSON for each node.
        #[arg(long)]
        json: bool,
    },
    /// Call an engine well: what was said of it so far does not count any more.
    Clear {
        /// The engine's name.
        engine: String,
        /// Where a node listens for peers; it tells the others.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
    },
}

pub(crate) fn verdicts(args: &Verdicts) -> Result<ExitCode, Failure> {
    match &args.command {
        VerdictsCommand::Show { nodes, json } => {
            let heads =
                ["node", "engine", "what", "reaches", "who says so", "who not", "step", "held back", "for"];
            show(nodes, "/pintally/verdicts", *json, &heads, verdict_rows)
        }
        VerdictsCommand::Clear { engine, nodes } => give(nodes, &json!({ "Clear": engine })),
    }
}

#[derive(clap::Args)]
pub(crate) struct Regions {
    #[command(subcommand)]
    command: RegionsCommand,
}

#[derive(Subcommand)]
enum RegionsCommand {
    /// What is known of each zone, how much of it is in use and why, and where its requests go.
    Status {
        /// Where nodes listen for clients.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
        /// Print one line of JSON for each node.
        #[arg(long)]
        json: bool,
    },
    /// Rehearse: where requests would go without a zone. Nothing is changed.
    Plan(Zone),
    /// Give a zone up, and leave it so until it is released.
    Order(Zone),
    /// Leave a zone as it is, whatever the program wants.
    Hold(Zone),
    /// Let the program decide on a zone again.
    Release(Zone),
}

#[derive(clap::Args)]
struct Zone {
    /// The zone.
    zone: String,
    /// Where keepers listen for peers; whichever leads takes it.
    #[arg(required = true)]
    keepers: Vec<SocketAddr>,
}

pub(crate) fn regions(args: &Regions) -> Result<ExitCode, Failure> {
    let order = |zone: &Zone, word: &str| give(&zone.keepers, &json!({ "Zone": [zone.zone, word] }));
    match &args.command {
        RegionsCommand::Status { nodes, json } => {
            let heads = [
                "node", "zone", "known", "nodes", "in use", "room", "comes", "takes", "fails", "goes", "why",
            ];
            show(nodes, "/pintally/regions", *json, &heads, region_rows)
        }
        RegionsCommand::Plan(zone) => give(&zone.keepers, &json!({ "Rehearse": zone.zone })),
        RegionsCommand::Order(zone) => order(zone, "out"),
        RegionsCommand::Hold(zone) => order(zone, "hold"),
        RegionsCommand::Release(zone) => order(zone, ""),
    }
}

pub(crate) fn limits(args: &Limits) -> Result<ExitCode, Failure> {
    match &args.command {
        LimitsCommand::Show { nodes, json } => {
            let heads =
                ["node", "limit", "kind", "whole", "has", "floor", "wants", "owes or runs", "age", "refused"];
            show(nodes, "/pintally/limits", *json, &heads, limit_rows)
        }
        LimitsCommand::Set { name, most, keepers } => give(keepers, &json!({ "Limit": [name, most] })),
    }
}

pub(crate) fn keepers(args: &Keepers) -> Result<ExitCode, Failure> {
    match &args.command {
        KeepersCommand::Status { nodes, json } => {
            let heads =
                ["node", "keeper", "stands", "term", "leader", "agreed", "keepers", "lead lasts", "why"];
            show(nodes, "/pintally/keepers", *json, &heads, keeper_rows)
        }
        KeepersCommand::Change { to, keepers } => give(keepers, &json!({ "Keepers": to })),
    }
}

/// Gives an order to whichever of the keepers takes it.
fn give(keepers: &[SocketAddr], what: &Value) -> Result<ExitCode, Failure> {
    let mut last = String::new();
    for keeper in keepers {
        let told = send_command(*keeper, ORDER, what.to_string().as_bytes());
        let told: Value = match told.map(|bytes| serde_json::from_slice(&bytes)) {
            Ok(Ok(told)) => told,
            Ok(Err(e)) => json!({ "why": e.to_string() }),
            Err(e) => json!({ "why": e.to_string() }),
        };
        let why = told["why"].as_str().unwrap_or("").to_string();
        if told["done"] == true {
            println!("{keeper}: {why}");
            return Ok(ExitCode::SUCCESS);
        }
        last += &format!("\n  {keeper}: {why}");
    }
    Err(Failure::failed(format!("nobody took it:{last}")))
}

fn number(value: &Value) -> String {
    value.as_f64().map_or_else(String::new, |n| format!("{:.2}", n + 0.0))
}

fn limit_rows(node: SocketAddr, told: &Value) -> Vec<Vec<String>> {
    let name = format!("{} ({node})", text(&told["node"]));
    let mut rows: Vec<Vec<String>> = Vec::new();
    for l in told["limits"].as_array().into_iter().flatten() {
        let age = if l["age_ms"].is_null() { "never told".to_string() } else { seconds(&l["age_ms"]) };
        rows.push(vec![
            name.clone(),
            text(&l["name"]),
            format!("{} {}", text(&l["bound"]), text(&l["counts"])),
            number(&l["most"]),
            number(&l["has"]),
            number(&l["floor"]),
            number(&l["wants"]),
            number(&l["in_use"]),
            if l["leased"] == true { age } else { format!("{age}, lives on its floor") },
            text(&l["refused"]),
        ]);
    }
    for pool in told["lends"].as_array().into_iter().flatten() {
        let holders = pool["holders"].as_array().into_iter().flatten();
        let holders: Vec<String> = holders.map(|h| format!("{} {}", text(&h[0]), number(&h[1]))).collect();
        rows.push(vec![
            name.clone(),
            format!("lent of {}", number(&pool["most"])),
            number(&pool["lent"]),
            holders.join(", "),
        ]);
    }
    rows
}

fn keeper_rows(node: SocketAddr, told: &Value) -> Vec<Vec<String>> {
    let keepers: Vec<String> = told["keepers"].as_array().into_iter().flatten().map(text).collect();
    let joining = told["joining"].as_str().map_or(String::new(), |j| format!(" ({j} catches up)"));
    vec![vec![
        node.to_string(),
        text(&told["name"]),
        text(&told["standing"]),
        text(&told["term"]),
        text(&told["leader"]),
        format!("{} of {}", told["commit"], told["last"]),
        keepers.join(", ") + &joining,
        told["lead_ms"].as_u64().map_or(String::new(), |ms| format!("{ms} ms")),
        text(&told["why"]),
    ]]
}

fn verdict_rows(node: SocketAddr, told: &Value) -> Vec<Vec<String>> {
    let names = |v: &Value| v.as_array().into_iter().flatten().map(text).collect::<Vec<_>>().join(", ");
    let mut rows: Vec<Vec<String>> = Vec::new();
    for v in told["engines"].as_array().into_iter().flatten() {
        let reach = match &v["reach"] {
            Value::Object(zone) => format!("zone {}", zone.values().map(text).collect::<String>()),
            Value::Null => String::new(),
            other => text(other).to_lowercase(),
        };
        rows.push(vec![
            node.to_string(),
            text(&v["engine"]),
            text(&v["fault"]),
            reach,
            names(&v["accusers"]),
            names(&v["clear"]),
            text(&v["step"]),
            if v["held_back"] == true { "yes" } else { "no" }.into(),
            seconds(&v["for_ms"]),
        ]);
    }
    let unsound = names(&told["unsound"]);
    if !unsound.is_empty() {
        rows.push(vec![node.to_string(), format!("most of what they use fails: {unsound}")]);
    }
    for cut in told["cut"].as_array().into_iter().flatten() {
        rows.push(vec![node.to_string(), format!("zone {} cannot reach another zone", text(&cut[0]))]);
    }
    if rows.is_empty() {
        rows.push(vec![node.to_string(), "nobody accuses an engine".into()]);
    }
    rows
}

fn region_rows(node: SocketAddr, told: &Value) -> Vec<Vec<String>> {
    let goes = |row: &Value| -> String {
        let part = |r: &Value| format!("{} {:.0}%", text(&r[0]), r[1].as_f64().unwrap_or(0.0) * 100.0);
        row.as_array().into_iter().flatten().map(part).collect::<Vec<_>>().join(", ")
    };
    let name = format!("{} ({node})", text(&told["node"]));
    if let Some(zones) = told["leads"]["zones"].as_array() {
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
                goes(&told["leads"]["goes"][n]),
                text(&z["why"]),
            ]
        };
        return zones.iter().enumerate().map(row).collect();
    }
    let plan = &told["plan"];
    if plan.is_null() {
        return vec![vec![name, "no plan has been heard: it serves what is near".into()]];
    }
    let names = told["names"].as_array().cloned().unwrap_or_default();
    let row = |(n, zone): (usize, &Value)| {
        let mut row =
            vec![name.clone(), text(zone), format!("plan {} of term {}", plan["number"], plan["term"])];
        row.extend(["".to_string(), format!("{:.0}%", plan["open"][n].as_f64().unwrap_or(0.0) / 2.55)]);
        row.extend(["", "", "", ""].map(String::from));
        row.push(goes(&plan["rows"][n]));
        row
    };
    names.iter().enumerate().map(row).collect()
}
