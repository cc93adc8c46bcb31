//! Converts a day of the simulation bench, as the bench prints it, into a scenario file for real nodes.
//!
//! Each feature of the bench day that has no exact equivalent is listed in the notes; nothing is dropped
//! silently.

use std::fmt::Write;

use serde_json::Value;

use crate::spec::MAX_NODES;

/// Size of the scenario relative to the bench day.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Scales engines, nodes and requests per second.
    pub fleet: f64,
    /// Scales the tokens of prompts and answers.
    pub tokens: f64,
    /// Scales the times of the scenario and of its faults.
    pub time: f64,
}

/// A converted bench day.
#[derive(Clone, Debug)]
pub struct Converted {
    /// Text of the scenario file.
    pub text: String,
    /// Features with no equivalent, or only an approximate one.
    pub notes: Vec<String>,
}

/// Margin for the delays of sockets and threads, which the bench does not have.
const MARGIN_MS: u64 = 150;

struct Converter<'a> {
    day: &'a Value,
    scale: Scale,
    notes: Vec<String>,
    out: String,
    /// Engine id of each server, by its index in the bench day; `None` if scaling removed it.
    engine_names: Vec<Option<String>>,
    server_count: usize,
}

/// Converts a bench day.
pub fn from_bench(text: &str, scale: Scale) -> Result<Converted, String> {
    let day: Value = serde_json::from_str(text).map_err(|e| format!("not a bench day: {e}"))?;
    if day["family"] != "twostage" {
        return Err("not a bench day of readers and writers: `family` is not twostage".into());
    }
    for (name, value) in [("fleet", scale.fleet), ("tokens", scale.tokens), ("time", scale.time)] {
        if !(value > 0.0 && value <= 10.0) {
            return Err(format!("the scale of {name} is {value}; expected more than 0 and at most 10"));
        }
    }
    let (notes, out, engine_names) = (Vec::new(), String::new(), Vec::new());
    let mut converter = Converter { day: &day, scale, notes, out, engine_names, server_count: 0 };
    converter.convert()?;
    let Converter { notes, out, .. } = converter;
    let mut text = String::from("; Made from a bench day by `pintally day from-bench`.\n");
    notes.iter().for_each(|n| text.push_str(&format!("; {n}\n")));
    text.push_str(&out);
    Ok(Converted { text, notes })
}

fn number(value: &Value, what: &str) -> Result<f64, String> {
    value.as_f64().ok_or_else(|| format!("the bench day lacks the number `{what}`"))
}

fn list<'v>(value: &'v Value, what: &str) -> Result<&'v Vec<Value>, String> {
    value.as_array().ok_or_else(|| format!("the bench day lacks the list `{what}`"))
}

fn quoted(value: &Value) -> String {
    let text = value.as_str().unwrap_or("");
    format!("\"{}\"", text.replace(['"', '\\'], ""))
}

impl Converter<'_> {
    fn note(&mut self, what: impl Into<String>) {
        self.notes.push(what.into());
    }

    fn ms(&self, us: f64) -> u64 {
        (us / 1e3).round().max(0.0) as u64
    }

    fn seconds(&self, us: f64) -> f64 {
        (us / 1e6 * self.scale.time * 100.0).round() / 100.0
    }

    fn tokens(&self, tokens: f64) -> u64 {
        (tokens * self.scale.tokens).round().max(1.0) as u64
    }

    fn convert(&mut self) -> Result<(), String> {
        let day = self.day;
        let servers = list(&day["servers"], "servers")?;
        let nodes = list(&day["balancers"], "balancers")?.len();
        self.server_count = servers.len();
        let fleet = self.scale.fleet;
        let scaled = |n: usize, min: usize| ((n as f64 * fleet).round() as usize).max(min);
        let count = scaled(nodes, 1).min(MAX_NODES);
        if scaled(nodes, 1) > MAX_NODES {
            self.note(format!("limited to {MAX_NODES} nodes, the most of a scenario"));
        }
        if count != nodes {
            self.note(format!("{nodes} nodes scaled to {count}"));
        }
        let zones: Vec<String> = list(&day["zones"], "zones")?.iter().map(quoted).collect();
        let mut racks: Vec<u64> = servers.iter().filter_map(|s| s["cell"].as_u64()).collect();
        racks.sort_unstable();
        racks.dedup();
        let racks = scaled(racks.len(), zones.len());
        let duration = self.seconds(number(&day["length"], "length")?);
        let site = quoted(&day["site"]);
        let _ = writeln!(
            self.out,
            "(day (name {site}) (seconds {duration}) (settle-seconds 40) (slack-ms {MARGIN_MS})"
        );
        let _ = writeln!(self.out, "  (zones {}) (racks {racks})", zones.join(" "));
        let notice = self.ms(day["discovery"]["notice"].as_f64().unwrap_or(500_000.0));
        let front = self.ms(day["front_notice"].as_f64().unwrap_or(1_000_000.0));
        let _ = writeln!(self.out, "  (nodes {count} (notice-ms {notice}) (front-ms {front}))");
        let _ =
            writeln!(self.out, "  (drain-grace-ms {})", self.ms(number(&day["drain_grace"], "drain_grace")?));
        self.convert_rules()?;
        self.classes()?;
        self.tenants()?;
        self.convert_engines(servers)?;
        self.convert_traffic()?;
        self.convert_faults(&zones)?;
        self.out.push_str(")\n");
        Ok(())
    }

    fn convert_rules(&mut self) -> Result<(), String> {
        let (day, tier) = (self.day, &self.day["tiers"][0]);
        let allow = &day["allow"];
        let reports = match tier["report_how"].as_str() {
            Some("answers") => "inline",
            Some("probe") => "on-probe",
            _ => "off",
        };
        let yes = |v: &Value| if v.as_bool().unwrap_or(false) { "yes" } else { "no" };
        let attempts = allow["max_attempts"].as_u64().unwrap_or(6);
        let _ = writeln!(
            self.out,
            "  (rules (attempts {attempts}) (reports {reports}) (writers-read {}) (cancel {}) (probes {}) (probe-price {})\n    \
             (cold-from {}) (warm-after-ms {}) (tip-multiple {}) (tip-window-ms {}) (release-within-ms {})",
            yes(&day["fam"]["writers_read"]),
            yes(&allow["cancel"]),
            yes(&allow["probes"]),
            day["prices"]["probe"].as_f64().unwrap_or(0.0),
            tier["stated_cold_from"].as_f64().unwrap_or(0.3),
            self.ms(tier["stated_cold"].as_f64().unwrap_or(14e6)),
            number(&day["fall_multiple"], "fall_multiple")?,
            self.ms(number(&day["fall_for"], "fall_for")?),
            self.ms(day["fam"]["release"].as_f64().unwrap_or(500_000.0)),
        );
        let max_retry_after_ms = self.ms(day["clients"]["max_retry_after"].as_f64().unwrap_or(0.0));
        let sends_retry_after = allow["retry_after"].as_bool().unwrap_or(false) && max_retry_after_ms > 0;
        let _ = writeln!(
            self.out,
            "    (retry-after {}) (retry-after-most-ms {max_retry_after_ms}))\n  (limits (answer-margin-ms {MARGIN_MS}) (errand-ms 250))",
            if sends_retry_after { "yes" } else { "no" }
        );
        Ok(())
    }

    fn classes(&mut self) -> Result<(), String> {
        let dialogues = list(&self.day["fam"]["talks"], "fam.talks")?;
        for (class, dialogue) in list(&self.day["classes"], "classes")?.iter().zip(dialogues) {
            let patience = self.ms(number(&class["deadline"], "deadline")?);
            let effect = match class["effect"].as_str() {
                Some("keyed") => {
                    let group = class["group"].as_str().unwrap_or("all").replace("cell", "rack");
                    let window = self.ms(number(&class["window"], "window")?);
                    if window < patience {
                        let name = quoted(&class["name"]);
                        self.note(format!(
                            "the window of class {name}, {window} ms, was extended to its clients' patience"
                        ));
                    }
                    format!("keyed (group {group}) (window-ms {})", window.max(patience))
                }
                Some("unsafe") => "unsafe".into(),
                _ => "safe".to_string(),
            };
            let line = format!(
                "  (class {} (effect {effect}) (aim-ms {}) (aim-per-1000-tokens-ms {}) (token-aim-ms {})\n    \
                 (patience-ms {patience}) (worth {}) (late-share {}))",
                quoted(&class["name"]),
                self.ms(number(&class["aim"], "aim")?),
                dialogue["aim_ms_per_k"].as_f64().unwrap_or(0.0),
                dialogue["token_ms"].as_f64().unwrap_or(0.0),
                class["worth"].as_f64().unwrap_or(1.0),
                class["late_worth"].as_f64().unwrap_or(0.0),
            );
            let _ = writeln!(self.out, "{line}");
        }
        Ok(())
    }

    fn tenants(&mut self) -> Result<(), String> {
        let per_second = self.per_second()?;
        for tenant in list(&self.day["tenants"], "tenants")? {
            // The bench gives the quota as a share of the fleet's capacity.
            let quota = tenant["quota"].as_f64().unwrap_or(0.0) * per_second;
            let _ = writeln!(self.out, "  (tenant {} (quota-per-s {quota:.2}))", quoted(&tenant["name"]));
        }
        Ok(())
    }

    /// Requests per second that put the bench day's load on its servers, each of which does one second of
    /// work per second.
    fn per_second(&self) -> Result<f64, String> {
        let classes = list(&self.day["classes"], "classes")?;
        let shares: f64 = classes.iter().filter_map(|c| c["share"].as_f64()).sum();
        let work: f64 =
            classes.iter().filter_map(|c| Some(c["share"].as_f64()? * c["work"].as_f64()?)).sum::<f64>();
        if shares <= 0.0 || work <= 0.0 {
            return Err("the bench day's classes have no shares or no work".into());
        }
        let load = number(&self.day["traffic"]["load"], "traffic.load")?;
        Ok(load * self.server_count as f64 * 1e6 / (work / shares) * self.scale.fleet)
    }

    fn convert_engines(&mut self, servers: &[Value]) -> Result<(), String> {
        let roles = list(&self.day["fam"]["roles"], "fam.roles")?;
        let figures = list(&self.day["fam"]["engines"], "fam.engines")?;
        let kinds = list(&self.day["tiers"][0]["kinds"], "tiers.kinds")?;
        let link_rate = self.day["fam"]["near"].as_f64().unwrap_or(300_000.0);
        let mut counts = vec![0usize; kinds.len()];
        let mut bench_counts = vec![0usize; kinds.len()];
        for kind in servers.iter().filter_map(|s| s["kind"].as_u64()) {
            if let Some(count) = bench_counts.get_mut(kind as usize) {
                *count += 1;
            }
        }
        let max_counts: Vec<usize> = bench_counts
            .iter()
            .map(|n| if *n == 0 { 0 } else { ((*n as f64 * self.scale.fleet).round() as usize).max(1) })
            .collect();
        for server in servers {
            let kind = server["kind"].as_u64().unwrap_or(0) as usize;
            let (Some(count), Some(max_count)) = (counts.get_mut(kind), max_counts.get(kind)) else {
                return Err("a server has a kind that the bench day does not define".into());
            };
            let name = kinds[kind]["name"].as_str().unwrap_or("engine");
            self.engine_names.push((*count < *max_count).then(|| format!("{name}-{count}")));
            *count += 1;
        }
        let mut lines = Vec::new();
        for (index, kind) in kinds.iter().enumerate() {
            let engine =
                figures.get(index).or(figures.last()).ok_or("the bench day has no engine figures")?;
            let role = match roles.get(index).or(roles.last()).and_then(Value::as_str) {
                Some("read") => "reader",
                Some("write") => "writer",
                _ => "mixed",
            };
            let slots = engine["slots"].as_u64().unwrap_or(8);
            let token_gap_ms = engine["step_ms"].as_f64().unwrap_or(15.0)
                + engine["per_seq_ms"].as_f64().unwrap_or(0.0) * slots as f64 / 2.0;
            let name = quoted(&kind["name"]);
            lines.push(format!(
                "  (kind {name} (role {role}) (slots {slots}) (memory-tokens {}))\n  \
                 (engines {name} (count {}) (queue {}) (read-per-s {:.0}) (token-gap-ms {token_gap_ms:.2}) (link-per-s {:.0}) (report-ms {}))",
                self.tokens(engine["memory"].as_f64().unwrap_or(200_000.0)),
                max_counts[index],
                engine["queue"].as_u64().unwrap_or(16),
                engine["read_per_s"].as_f64().unwrap_or(15_000.0) * self.scale.tokens,
                link_rate * self.scale.tokens,
                self.ms(self.day["tiers"][0]["report_period"].as_f64().unwrap_or(200_000.0)),
            ));
        }
        lines.iter().for_each(|l| self.out.push_str(&format!("{l}\n")));
        let zones = "engines are assigned to racks and zones in turn, not as in the bench day";
        self.note(zones);
        Ok(())
    }

    fn convert_traffic(&mut self) -> Result<(), String> {
        let (day, clients) = (self.day, &self.day["clients"]);
        let dialogues = list(&day["fam"]["talks"], "fam.talks")?;
        let classes = list(&day["classes"], "classes")?;
        let obey_share = clients["honour"].as_f64().unwrap_or(0.0);
        let texts: u64 = dialogues.iter().filter_map(|t| t["prefixes"].as_u64()).sum();
        let max_prefix = dialogues.iter().filter_map(|t| t["prefix_tokens"].as_f64()).fold(0.0, f64::max);
        let min_prefix =
            dialogues.iter().filter_map(|t| t["prefix_tokens"].as_f64()).fold(f64::INFINITY, f64::min);
        let per_second = self.per_second()?;
        let wait = self.ms(clients["backoff_us"].as_f64().unwrap_or(0.0));
        let wait = if clients["backoff"] == "none" { 0 } else { wait };
        let _ = writeln!(
            self.out,
            "  (traffic (per-second {per_second:.2}) (retries {}) (retry-wait-ms {wait}) (heed {obey_share:.3})\n    \
             (shared-texts {}) (shared-tokens {} {})",
            clients["retries"].as_u64().unwrap_or(0),
            texts.max(1),
            self.tokens(min_prefix.min(max_prefix)),
            self.tokens(max_prefix),
        );
        let share = clients["try_share"].as_f64().unwrap_or(1.0).clamp(0.01, 1.0);
        for (class, dialogue) in classes.iter().zip(dialogues) {
            let turns = dialogue["turns"].as_f64().unwrap_or(2.0).max(1.0);
            let new = self.tokens(dialogue["new_tokens"].as_f64().unwrap_or(200.0));
            let out = self.tokens(dialogue["out_tokens"].as_f64().unwrap_or(100.0));
            let _ = writeln!(
                self.out,
                "    (class {} (share {:.3}) (turns 1 {}) (adds {} {}) (answer {} {}) (shared {:.3}) (patience-percent {} 100))",
                quoted(&class["name"]),
                class["share"].as_f64().unwrap_or(1.0),
                (turns * 2.0 - 1.0).round().max(1.0) as u64,
                (new / 2).max(1),
                new * 3 / 2,
                (out / 2).max(1),
                (out * 3 / 2).max(1),
                dialogue["prefix_share"].as_f64().unwrap_or(0.0),
                (share * 100.0).round() as u64,
            );
        }
        for tenant in list(&day["tenants"], "tenants")? {
            let part = tenant["traffic"].as_f64().unwrap_or(1.0);
            let _ = writeln!(self.out, "    (tenant {} (share {part:.3}))", quoted(&tenant["name"]));
        }
        self.out.push_str("    )\n");
        if list(&day["traffic"]["shape"], "traffic.shape").is_ok_and(|s| s.len() > 1) {
            self.note("the varying rate of the traffic was replaced by a constant rate");
        }
        Ok(())
    }

    fn convert_faults(&mut self, zones: &[String]) -> Result<(), String> {
        let tenants = list(&self.day["tenants"], "tenants")?;
        for bench_fault in list(&self.day["troubles"], "troubles")? {
            let kind = bench_fault["kind"].as_str().unwrap_or("").to_string();
            let at = self.seconds(number(&bench_fault["at"], "troubles.at")?);
            let duration = self.seconds(bench_fault["len"].as_f64().unwrap_or(0.0)).max(0.1);
            let size = bench_fault["size"].as_f64().unwrap_or(0.0);
            let extra = bench_fault["extra"].as_f64().unwrap_or(0.0);
            let affected = bench_fault["on"].as_array().cloned().unwrap_or_default();
            let nodes = list(&self.day["balancers"], "balancers")?.len();
            let affected_engines = self.affected_engines(&affected);
            let when = format!("(at {at}) (for {duration})");
            let which = bench_fault["which"].as_u64().unwrap_or(0) as usize;
            let mut note = None;
            let fault = match kind.as_str() {
                "crash" => format!("crash {when} {affected_engines}"),
                "slow" | "shared_slow" => format!("slow {when} {affected_engines} (size {size:.2})"),
                "hot_key" => format!("hot-text {when} (size {size:.3})"),
                "zone_cut" => format!("zone-cut {when} (zone {})", zones.get(which).unwrap_or(&zones[0])),
                "flush" => format!("forget {when} (part {size:.3})"),
                "origin_slow" => format!("slow-links {when} (part 1) (size {size:.2})"),
                "balancer_crash" => {
                    format!("node-kill {when} (part {:.3})", affected.len() as f64 / nodes.max(1) as f64)
                }
                "balancer_roll" => format!("node-roll {when} (size {:.0})", extra * 1e3),
                "deploy" => {
                    let steps = bench_fault["steps"].as_array().cloned().unwrap_or_default();
                    let replaced: usize =
                        steps.iter().filter_map(|s| s["stop"].as_array()).map(Vec::len).sum();
                    let batch =
                        steps.iter().filter_map(|s| s["stop"].as_array()).map(Vec::len).max().unwrap_or(1);
                    let batch = ((batch as f64 * self.scale.fleet).round() as usize).max(1);
                    let part = (replaced as f64 / self.server_count as f64).clamp(0.0, 1.0);
                    let drain = extra.clamp(0.5, 30.0) * 1e3;
                    format!("replace {when} (part {part:.3}) (batch {batch}) (size {drain:.0})")
                }
                "handshake_slow" => {
                    note = Some("its cost to engines is not modelled".to_string());
                    format!("slow-connect {when} {affected_engines} (size {size:.0})")
                }
                "give_up" => {
                    note = Some(
                        "clients leave before their patience ends instead of having less patience".into(),
                    );
                    format!("leave-early {when} (size {:.3})", size.min(1.0))
                }
                "retry_abuse" => {
                    note = Some(
                        "all clients ignore retry-after times and make two more retries than usual".into(),
                    );
                    format!("heedless-retries {when}")
                }
                "report_late" => {
                    note = Some("reports stay unchanged instead of only arriving late".into());
                    format!("stale-reports {when} {affected_engines}")
                }
                "throttle" if !tenants.is_empty() => {
                    let tenant = quoted(&tenants.get(which).unwrap_or(&tenants[0])["name"]);
                    note =
                        Some("all requests of the tenant are rejected, not only those above a rate".into());
                    format!("full-for-tenant {when} {affected_engines} (tenant {tenant})")
                }
                "neighbour" => {
                    note = Some("engines are slower all the time, not intermittently".into());
                    format!("slow {when} {affected_engines} (size {:.2})", extra.max(1.0))
                }
                "ageing" => {
                    note = Some("engines are slower at once instead of gradually, and do not crash".into());
                    format!("slow {when} {affected_engines} (size {:.2})", extra.max(1.0))
                }
                _ => {
                    self.note(format!("no equivalent: `{kind}` at {at} s for {duration} s"));
                    continue;
                }
            };
            if let Some(note) = note {
                self.note(format!("approximated: `{kind}` at {at} s: {note}"));
            }
            let _ = writeln!(self.out, "  (fault {fault})");
        }
        Ok(())
    }

    /// The engines that a fault affects: by name if scaling removed none of them, else by their share.
    fn affected_engines(&self, affected: &[Value]) -> String {
        let named: Option<Vec<String>> = affected
            .iter()
            .map(|i| self.engine_names.get(i.as_u64()? as usize)?.as_ref().map(|n| format!("\"{n}\"")))
            .collect();
        match named.filter(|n| !n.is_empty()) {
            Some(names) => format!("(engines {})", names.join(" ")),
            None => {
                format!("(part {:.3})", (affected.len() as f64 / self.server_count.max(1) as f64).min(1.0))
            }
        }
    }
}
