//! `pintally check`: validates a file and reports the first error.

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

/// The bounds that hold for the fleet with these settings.
fn bounds(settings: &NodeSettings) -> String {
    let mut lines = String::new();
    let max_detection_time = settings.membership.as_ref().map(|peers| {
        let mut derived = pintally_membership::Settings::new("x", "x", "", peers.listen, Vec::new());
        (derived.probe_interval, derived.suspicion_multiplier) =
            (peers.probe_interval, peers.suspicion_multiplier);
        derived.max_failure_detection_time(settings.core.node_count as usize)
    });
    if let Some(within) = max_detection_time {
        lines += &format!(
            "\n  a dead peer is detected within {:.1} s if no message is lost ({} nodes)",
            within as f64 / 1e6,
            settings.core.node_count
        );
    }
    if let Some(recovery) = &settings.recovery {
        let silent_start = recovery.disk_read_timeout
            + if settings.membership.is_some() {
                recovery.answer_timeout * u64::from(recovery.query_rounds)
            } else {
                0
            };
        lines += &format!(
            "\n  after a start a node admits some requests within {:.2} s and all within {:.1} s, even if the store \
             and all peers are silent\
             \n  a power loss loses the records of the last {:.2} s and of the time of one commit",
            silent_start as f64 / 1e6,
            (silent_start + recovery.max_slow_start) as f64 / 1e6,
            recovery.commit_interval as f64 / 1e6
        );
        if let Some(detection) = max_detection_time.filter(|_| recovery.reservation_takeover_delay > 0) {
            let within = detection + recovery.reservation_takeover_delay;
            lines += &format!(
                "\n  read states held for a node that never returns are released within {:.1} s of its death, if one \
                 of two backup nodes is alive and no message is lost",
                within as f64 / 1e6
            );
        }
    }
    if let Some(consensus) = &settings.consensus {
        let derived = consensus.replica_settings(&settings.name);
        lines += &format!(
            "\n  {} keepers, of which {} may fail at the same time; no leader for at most {:.1} s while a majority is \
             connected\n  a leader's lease ends at the latest {:.2} s after its last acknowledged message",
            consensus.names.len(),
            (consensus.names.len() - 1) / 2,
            derived.max_election_duration() as f64 / 1e6,
            derived.leader_lease() as f64 / 1e6
        );
    }
    if let Some(verdicts) = &settings.outlier_detection {
        lines += &format!(
            "\n  a failing engine costs the fleet {} failed attempts, plus those sent while reports are in transit; no \
             node ejects more than {:.0}% of a kind\n    an ejection without new evidence expires within {:.0} s",
            verdicts.attempts_until_ejection(),
            verdicts.max_ejection_fraction * 100.0,
            verdicts.max_ejection_without_evidence() as f64 / 1e6
        );
    }
    if let Some(regions) = &settings.failover {
        let policy = &regions.policy;
        let detection_time = settings.membership.as_ref().map_or(0, |p| 2 * p.probe_interval);
        lines += &format!(
            "\n  {} zones: requests leave a failed zone within {:.1} s, and return {:.0} s after the end of the fault \
             if recovery never failed before, {:.0} s at the most\n    a node without a message from the keepers' \
             leader for {:.1} s prefers its own zone",
            policy.zones.zones.len(),
            policy.max_failover_time(detection_time) as f64 / 1e6,
            policy.max_recovery_time(0) as f64 / 1e6,
            policy.max_recovery_time(20) as f64 / 1e6,
            policy.plan_lifetime as f64 / 1e6
        );
    }
    for limit in settings.quotas.iter().flat_map(|l| &l.limits) {
        let derived = settings.quotas.as_ref().map(|l| l.allocation).unwrap_or_default();
        let bounds = derived.bounds(&limit.limit());
        lines += &format!(
            "\n  limit `{}` of {} {}: all nodes together hold at most {:.2}, and {:.3} more for each node beyond {}\
             \n    an isolated node keeps {:.3}; the allocation of a lost node is available again within {:.1} s",
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
    let summary = match name {
        "pintally" => NodeSettings::parse(file, &text).map(|s| {
            format!("settings of node `{}` with {} classes{}", s.name, s.core.classes.len(), bounds(&s))
        }),
        "engines" => EngineList::parse(file, &text)
            .map(|l| format!("list of {} engines, version {}", l.engines.len(), l.version)),
        "day" => Scenario::parse(file, &text).map(|d| {
            format!("day `{}` of {} s with {} faults", d.name, d.length.as_secs_f64(), d.faults.len())
        }),
        _ => {
            return Err(Failure::usage(format!(
                "{file}: no `(pintally ...)`, `(engines ...)` or `(day ...)`"
            )))
        }
    };
    println!("{file}: {}", summary.map_err(Failure::usage)?);
    Ok(ExitCode::SUCCESS)
}
