//! `pintally check`: loads a file and says what is wrong and why.

use std::process::ExitCode;

use pintally_config::form::Document;
use pintally_config::{EngineList, NodeSettings};
use pintally_scenario::Scenario;

use crate::{read, Failure};

#[derive(clap::Args)]
pub(crate) struct Args {
    /// A file of settings `(pintally ...)`, a list `(engines ...)` or a day `(day ...)`.
    file: String,
}

/// The bounds that hold for the fleet, with the settings' numbers put in.
fn bounds(settings: &NodeSettings) -> String {
    let mut lines = String::new();
    let death_known = settings.membership.as_ref().map(|peers| {
        let mut figures = pintally_membership::Settings::new("x", "x", "", peers.listen, Vec::new());
        (figures.probe_interval, figures.suspicion_multiplier) =
            (peers.probe_interval, peers.suspicion_multiplier);
        figures.max_failure_detection_time(settings.core.node_count as usize)
    });
    if let Some(within) = death_known {
        lines += &format!(
            "\n  a dead peer is known to be dead within {:.1} s while no message is lost ({} nodes)",
            within as f64 / 1e6,
            settings.core.node_count
        );
    }
    if let Some(recovery) = &settings.recovery {
        let silent = recovery.disk_read_timeout
            + if settings.membership.is_some() {
                recovery.answer_timeout * u64::from(recovery.query_rounds)
            } else {
                0
            };
        lines += &format!(
            "\n  after a start some are let in within {:.2} s, everybody within {:.1} s, whatever is silent\
             \n  a power loss costs what was learnt in the last {:.2} s and the time of one commit",
            silent as f64 / 1e6,
            (silent + recovery.max_slow_start) as f64 / 1e6,
            recovery.commit_interval as f64 / 1e6
        );
        if let Some(known) = death_known.filter(|_| recovery.reservation_takeover_delay > 0) {
            let within = known + recovery.reservation_takeover_delay;
            lines += &format!(
                "\n  what a node held that never returns is let go within {:.1} s of its death, while one of two \
                 peers lives and no message is lost",
                within as f64 / 1e6
            );
        }
    }
    if let Some(consensus) = &settings.consensus {
        let figures = consensus.replica_settings(&settings.name);
        lines += &format!(
            "\n  {} keepers, {} of them may fail at once; without a leader for {:.1} s at the most while a \
             majority hears each other\n  a lead surely ends {:.2} s after its last answered word",
            consensus.names.len(),
            (consensus.names.len() - 1) / 2,
            figures.max_election_duration() as f64 / 1e6,
            figures.leader_lease() as f64 / 1e6
        );
    }
    if let Some(verdicts) = &settings.outlier_detection {
        lines += &format!(
            "\n  a bad engine costs the fleet {} failed attempts, and what is sent while word is on its way; no node \
             holds back more than {:.0}% of a kind\n    a verdict without evidence dies within {:.0} s",
            verdicts.attempts_until_ejection(),
            verdicts.max_ejection_fraction * 100.0,
            verdicts.max_ejection_without_evidence() as f64 / 1e6
        );
    }
    if let Some(regions) = &settings.failover {
        let s = &regions.policy;
        let detection_time = settings.membership.as_ref().map_or(0, |p| 2 * p.probe_interval);
        lines += &format!(
            "\n  {} zones: work leaves a lost one within {:.1} s, and is back {:.0} s after the end of its trouble if \
             it was not tried before, {:.0} s at the most\n    without word of the keepers' leader for {:.1} s a node \
             serves what is near",
            s.zones.zones.len(),
            s.max_failover_time(detection_time) as f64 / 1e6,
            s.max_recovery_time(0) as f64 / 1e6,
            s.max_recovery_time(20) as f64 / 1e6,
            s.plan_lifetime as f64 / 1e6
        );
    }
    for limit in settings.quotas.iter().flat_map(|l| &l.limits) {
        let figures = settings.quotas.as_ref().map(|l| l.allocation).unwrap_or_default();
        let bounds = figures.bounds(&limit.limit());
        lines += &format!(
            "\n  limit `{}` of {} {}: all nodes together have {:.2} at the most, and {:.3} more for each node \
             beyond {}\n    a node that is cut off has {:.3}; what a lost node had returns within {:.1} s",
            limit.name,
            limit.limit,
            limit.unit.name(),
            bounds.max_total,
            bounds.per_additional_node,
            settings.core.node_count,
            bounds.floor,
            bounds.max_reallocation_delay as f64 / 1e6
        );
    }
    lines
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    let (file, text) = (&args.file, read(&args.file)?);
    let document = Document::parse(file, &text).map_err(Failure::usage)?;
    let forms = document.forms().map_err(Failure::usage)?;
    let name = forms.first().map_or("", |f| f.name());
    let what = match name {
        "pintally" => NodeSettings::parse(file, &text).map(|s| {
            format!("settings of node `{}` with {} classes{}", s.name, s.core.classes.len(), bounds(&s))
        }),
        "engines" => EngineList::parse(file, &text)
            .map(|l| format!("list of {} engines, version {}", l.engines.len(), l.version)),
        "day" => Scenario::parse(file, &text).map(|d| {
            format!("day `{}` of {} s with {} troubles", d.name, d.length.as_secs_f64(), d.faults.len())
        }),
        _ => {
            return Err(Failure::usage(format!(
                "{file}: no `(pintally ...)`, `(engines ...)` or `(day ...)`"
            )))
        }
    };
    println!("{file}: {}", what.map_err(Failure::usage)?);
    Ok(ExitCode::SUCCESS)
}
