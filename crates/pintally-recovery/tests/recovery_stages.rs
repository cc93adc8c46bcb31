//! The stages of recovery: what ends each stage, and an exhaustive search for deadlocks between nodes.

use std::collections::HashSet;

use pintally::interface::EngineId;
use pintally_recovery::{
    Admission, Answer, ClassPriority, Input, Micros, Output, Recovery, RememberedState, Settings, Stage,
};

const SECOND: Micros = 1_000_000;

fn settings(expected: usize) -> Settings {
    Settings {
        expected_nodes: expected,
        has_peers: expected > 1,
        peers_queried: 2,
        answer_timeout: 200_000,
        query_rounds: 2,
        max_slow_start: 20 * SECOND,
        slow_start_min_capacity: 0.3,
        slow_start_duration: 8 * SECOND,
        requests_per_second_per_engine: 5.0,
        uncached_capacity_fraction: 0.5,
        max_retry_after: 2 * SECOND,
        classes: vec![
            ClassPriority { priority_weight: 1.0, at_most_once: false },
            ClassPriority { priority_weight: 3.0, at_most_once: true },
        ],
    }
}

fn engines(n: usize) -> Vec<EngineId> {
    (0..n).map(|n| EngineId(format!("e{n}").as_str().into())).collect()
}

fn serving() -> Answer {
    Answer { stage: Stage::Serving, list: Some((4, 0)), fleet_rate: 80.0, engine_reports: Vec::new() }
}

#[test]
fn restart_in_serving_fleet_serves_at_once() {
    let mut outputs = Vec::new();
    let mut node = Recovery::new(settings(3), 0, SECOND);
    node.handle(1000, Input::PeersChanged(3, vec![1, 2]), &mut outputs);
    node.handle(2000, Input::StateLoaded(RememberedState::default()), &mut outputs);
    assert_eq!(
        outputs,
        [Output::StageEntered(Stage::QueryingPeers), Output::QueryPeer(1), Output::QueryPeer(2)]
    );
    node.handle(3000, Input::PeerAnswered(2, serving()), &mut outputs);
    assert_eq!(node.stage(), Stage::Serving);
    assert_eq!(node.admit(3001, Some(1)), Admission::Admit);
    assert!(
        !outputs.contains(&Output::TreatEnginesAsCold),
        "a serving peer shows that the engines are not cold"
    );
}

#[test]
fn admits_within_bound_without_answers() {
    let load_timeout = SECOND;
    let mut node = Recovery::new(settings(5), 0, load_timeout);
    let bound = node.max_time_to_first_admission(load_timeout);
    let (mut outputs, mut now) = (Vec::new(), 0);
    node.handle(0, Input::EndpointsListed(engines(10), true), &mut outputs);
    while node.stage() < Stage::SlowStart {
        now = node.next_wake().expect("the node waits for something");
        node.tick(now, &mut outputs);
    }
    assert!(now <= bound, "{now} of {bound}");
    assert_eq!(node.admit(now, Some(1)), Admission::Admit);
    assert!(outputs.contains(&Output::TreatEnginesAsCold));
    // All requests are admitted at the latest when slow start reaches its limit.
    while let Some(wake) = node.next_wake() {
        now = wake;
        node.tick(now, &mut outputs);
    }
    assert!(now <= bound + settings(5).max_slow_start + SECOND);
}

/// Guards against a fleet that admits the rate from before a power loss while its engines are cold.
#[test]
fn cold_fleet_admits_what_engines_can_serve() {
    let remembered = || RememberedState { fleet_rate: 100.0, issues: Vec::new() };
    let mut nodes: Vec<Recovery> = (0..4).map(|_| Recovery::new(settings(4), 0, SECOND)).collect();
    let mut outputs = Vec::new();
    for node in &mut nodes {
        node.handle(0, Input::PeersChanged(4, vec![1, 2, 3]), &mut outputs);
        node.handle(0, Input::EndpointsListed(engines(10), true), &mut outputs);
        node.handle(0, Input::StateLoaded(remembered()), &mut outputs);
        while node.stage() < Stage::SlowStart {
            let wake = node.next_wake().unwrap();
            node.tick(wake, &mut outputs);
        }
        for n in 0..10 {
            node.handle(
                SECOND,
                Input::EngineAnswered(EngineId(format!("e{n}").as_str().into())),
                &mut outputs,
            );
        }
    }
    // All four nodes together admit 100 x 0.3 x 0.5 requests per second with cold engines and empty caches,
    // growing to 100 x 1 x 0.7.
    let mut per_second = Vec::new();
    for second in 1..9u64 {
        let mut admitted = 0;
        for n in 0..400 {
            let now = second * SECOND + n * 2_500;
            for node in &mut nodes {
                while node.next_wake().is_some_and(|w| w <= now) {
                    node.tick(now, &mut outputs);
                }
                admitted += u32::from(node.admit(now, Some(0)) == Admission::Admit);
            }
        }
        per_second.push(admitted);
    }
    assert!((12..=26).contains(&per_second[0]), "{per_second:?}");
    assert!(per_second.windows(2).all(|w| w[1] + 4 >= w[0]), "{per_second:?}");
    assert!(per_second[7] <= 75, "{per_second:?}");
}

#[test]
fn at_most_once_requests_wait_for_confirmed_list() {
    let mut outputs = Vec::new();
    let mut node = Recovery::new(settings(1), 0, SECOND);
    node.handle(
        0,
        Input::StateLoaded(RememberedState { fleet_rate: 1000.0, issues: Vec::new() }),
        &mut outputs,
    );
    node.handle(0, Input::EndpointsListed(engines(4), false), &mut outputs);
    assert_eq!(node.stage(), Stage::SlowStart);
    assert_eq!(node.admit(1, Some(0)), Admission::Admit);
    assert!(matches!(node.admit(2, Some(1)), Admission::Reject(Some(_))));
    node.handle(3, Input::EndpointsListed(engines(4), true), &mut outputs);
    assert_eq!(node.admit(200_000, Some(1)), Admission::Admit);
}

/// Guards against one disk or one peer that remembers a wrong rate, with which the gate would admit too much.
#[test]
fn one_wrong_remembered_rate_is_outvoted() {
    let mut outputs = Vec::new();
    let mut node = Recovery::new(settings(3), 0, SECOND);
    node.handle(0, Input::PeersChanged(3, vec![1, 2]), &mut outputs);
    node.handle(0, Input::EndpointsListed(engines(10), true), &mut outputs);
    node.handle(
        0,
        Input::StateLoaded(RememberedState { fleet_rate: 1e12, issues: Vec::new() }),
        &mut outputs,
    );
    let answer = |fleet_rate| Answer {
        stage: Stage::SlowStart,
        list: Some((1, 0)),
        fleet_rate,
        engine_reports: vec![u64::MAX],
    };
    node.handle(1, Input::PeerAnswered(1, answer(60.0)), &mut outputs);
    node.handle(2, Input::PeerAnswered(2, answer(f64::INFINITY)), &mut outputs);
    assert_eq!(node.stage(), Stage::SlowStart);
    let rate = node.gate().plan().max_rate.unwrap();
    assert!(rate <= 60.0 * 0.3, "{rate}");
}

/// The state of a small fleet: its nodes, and the messages in transit.
#[derive(Clone)]
struct FleetState {
    now: Micros,
    nodes: Vec<Option<Recovery>>,
    /// Queries in transit, with their sender and receiver.
    queries: Vec<(usize, usize)>,
    /// Answers in transit, with their sender and receiver.
    answers: Vec<(usize, usize, Answer)>,
    /// Messages that may still be lost.
    losses: u32,
    /// Nodes that may still die.
    kills: u32,
}

impl FleetState {
    /// Identifies equal states of the search.
    fn fingerprint(&self) -> String {
        let stage = |n: &Option<Recovery>| {
            n.as_ref().map(|n| (n.stage(), n.next_wake().map(|w| w.saturating_sub(self.now))))
        };
        let nodes: Vec<_> = self.nodes.iter().map(stage).collect();
        let answers: Vec<_> = self.answers.iter().map(|a| (a.0, a.1, a.2.stage)).collect();
        format!("{nodes:?} {:?} {answers:?} {} {}", self.queries, self.losses, self.kills)
    }

    fn start(&mut self, n: usize) {
        let others: Vec<u64> = (0..self.nodes.len()).filter(|o| *o != n).map(|o| o as u64).collect();
        let mut node = Recovery::new(settings(self.nodes.len()), self.now, 300_000);
        let mut outputs = Vec::new();
        node.handle(self.now, Input::PeersChanged(1, others), &mut outputs);
        node.handle(self.now, Input::EndpointsListed(engines(4), true), &mut outputs);
        self.nodes[n] = Some(node);
        self.send_queries(n, outputs);
    }

    fn send_queries(&mut self, n: usize, outputs: Vec<Output>) {
        for output in outputs {
            if let Output::QueryPeer(peer) = output {
                if !self.queries.contains(&(n, peer as usize)) {
                    self.queries.push((n, peer as usize));
                }
            }
        }
    }

    /// All successor states.
    fn successors(&self) -> Vec<FleetState> {
        let mut all = Vec::new();
        all.extend((0..self.nodes.len()).filter_map(|n| self.after_node_event(n)));
        for query in 0..self.queries.len() {
            all.push(self.after_query_delivered(query));
            all.extend(self.after_query_lost(query));
        }
        all.extend((0..self.answers.len()).map(|answer| self.after_answer_delivered(answer)));
        all.extend(self.after_next_deadline());
        all
    }

    /// A node starts, loads its state or dies.
    fn after_node_event(&self, n: usize) -> Option<FleetState> {
        let mut state = self.clone();
        match &self.nodes[n] {
            None => state.start(n),
            Some(node) if node.stage() == Stage::LoadingState => {
                let mut outputs = Vec::new();
                let node = state.nodes[n].as_mut().unwrap();
                node.handle(self.now, Input::StateLoaded(RememberedState::default()), &mut outputs);
                state.send_queries(n, outputs);
            }
            Some(_) if self.kills > 0 => {
                state.kills -= 1;
                state.nodes[n] = None;
                state.queries.retain(|q| q.0 != n && q.1 != n);
                state.answers.retain(|a| a.0 != n && a.1 != n);
            }
            Some(_) => return None,
        }
        Some(state)
    }

    fn after_query_delivered(&self, query: usize) -> FleetState {
        let mut state = self.clone();
        let (from, to) = state.queries.remove(query);
        if let Some(node) = &self.nodes[to] {
            state.answers.push((to, from, node.answer(self.now, Some((1, 0)))));
        }
        state
    }

    fn after_query_lost(&self, query: usize) -> Option<FleetState> {
        let mut state = self.clone();
        state.queries.remove(query);
        state.losses = state.losses.checked_sub(1)?;
        Some(state)
    }

    fn after_answer_delivered(&self, answer: usize) -> FleetState {
        let mut state = self.clone();
        let (from, to, answer) = state.answers.remove(answer);
        let mut outputs = Vec::new();
        if let Some(node) = &mut state.nodes[to] {
            node.handle(self.now, Input::PeerAnswered(from as u64, answer), &mut outputs);
        }
        state.send_queries(to, outputs);
        state
    }

    /// Time advances to the earliest deadline.
    fn after_next_deadline(&self) -> Option<FleetState> {
        let deadline = self.nodes.iter().flatten().filter_map(Recovery::next_wake).min()?;
        let mut state = self.clone();
        state.now = deadline.max(self.now);
        for n in 0..state.nodes.len() {
            let mut outputs = Vec::new();
            if let Some(node) = &mut state.nodes[n] {
                node.tick(state.now, &mut outputs);
            }
            state.send_queries(n, outputs);
        }
        Some(state)
    }
}

/// Searches all orders of events up to a fixed depth in which two or three nodes start, query, answer, lose
/// messages and die (with two nodes one dies at most once, with three none dies). In each state a node that
/// has started either serves or has a deadline, and it leaves the query stage within its bound, whatever the
/// other nodes do.
#[test]
fn nodes_never_deadlock_waiting_for_each_other() {
    for (nodes, losses, kills, depth) in [(2, 2, 1, 16), (3, 1, 0, 9)] {
        let state = FleetState {
            now: 0,
            nodes: vec![None; nodes],
            queries: Vec::new(),
            answers: Vec::new(),
            losses,
            kills,
        };
        let mut seen = HashSet::new();
        let mut frontier = vec![state];
        for _ in 0..depth {
            let mut next = Vec::new();
            for state in frontier {
                for node in state.nodes.iter().flatten() {
                    assert!(node.stage() == Stage::Serving || node.next_wake().is_some(), "stuck");
                    if node.stage() < Stage::SlowStart {
                        let status = node.status(state.now);
                        let bound = node.max_time_to_first_admission(300_000) / 1000;
                        assert!(status.for_ms <= bound, "{status:?} waits for longer than {bound} ms");
                    }
                }
                if seen.insert(state.fingerprint()) {
                    next.extend(state.successors());
                }
            }
            frontier = next;
        }
        println!("{nodes} nodes, {losses} losses, {kills} kills, depth {depth}: {} states", seen.len());
        assert!(seen.len() > 1000);
    }
}
