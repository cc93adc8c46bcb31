//! The stages: what ends each, and that nobody waits in a circle, by exhaustive search.

use std::collections::HashSet;

use pintally::interface::EngineId;
use pintally_recovery::{
    Admission, Answer, ClassPriority, Input, Micros, Output, Recovery, RememberedState, Settings, Stage,
};

const SECOND: Micros = 1_000_000;

fn settings(expected: usize) -> Settings {
    Settings {
        expected_nodes: expected,
        peers: expected > 1,
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
    Answer { stage: Stage::Serving, list: Some((4, 0)), carried: 80.0, heard: Vec::new() }
}

#[test]
fn a_node_that_restarts_alone_serves_at_once() {
    let mut out = Vec::new();
    let mut node = Recovery::new(settings(3), 0, SECOND);
    node.handle(1000, Input::Peers(3, vec![1, 2]), &mut out);
    node.handle(2000, Input::StateLoaded(RememberedState::default()), &mut out);
    assert_eq!(out, [Output::Stage(Stage::Asking), Output::QueryPeer(1), Output::QueryPeer(2)]);
    node.handle(3000, Input::PeerAnswered(2, serving()), &mut out);
    assert_eq!(node.stage(), Stage::Serving);
    assert_eq!(node.admit(3001, Some(1)), Admission::Admit);
    assert!(!out.contains(&Output::TreatEnginesAsCold), "engines are as warm as the others know them");
}

#[test]
fn with_all_silent_it_serves_within_the_stated_time() {
    let within = SECOND;
    let mut node = Recovery::new(settings(5), 0, within);
    let bound = node.first_within(within);
    let (mut out, mut now) = (Vec::new(), 0);
    node.handle(0, Input::EndpointsListed(engines(10), true), &mut out);
    while node.stage() < Stage::Careful {
        now = node.next_wake().expect("it waits for something");
        node.tick(now, &mut out);
    }
    assert!(now <= bound, "{now} of {bound}");
    assert_eq!(node.admit(now, Some(1)), Admission::Admit);
    assert!(out.contains(&Output::TreatEnginesAsCold));
    // And in full at the latest when the careful stage must end.
    while let Some(wake) = node.next_wake() {
        now = wake;
        node.tick(now, &mut out);
    }
    assert!(now <= bound + settings(5).max_slow_start + SECOND);
}

/// Guards against a fleet that takes in what it took before the loss while its engines are cold.
#[test]
fn a_cold_fleet_lets_in_what_it_can_carry() {
    let memory = || RememberedState { carried: 100.0, issues: Vec::new() };
    let mut nodes: Vec<Recovery> = (0..4).map(|_| Recovery::new(settings(4), 0, SECOND)).collect();
    let mut out = Vec::new();
    for node in &mut nodes {
        node.handle(0, Input::Peers(4, vec![1, 2, 3]), &mut out);
        node.handle(0, Input::EndpointsListed(engines(10), true), &mut out);
        node.handle(0, Input::StateLoaded(memory()), &mut out);
        while node.stage() < Stage::Careful {
            let wake = node.next_wake().unwrap();
            node.tick(wake, &mut out);
        }
        for n in 0..10 {
            node.handle(SECOND, Input::EngineAnswered(EngineId(format!("e{n}").as_str().into())), &mut out);
        }
    }
    // Cold, without texts, all four nodes together: 100 x 0.3 x 0.5 a second, growing to 100 x 1 x 0.7.
    let mut per_second = Vec::new();
    for second in 1..9u64 {
        let mut admitted = 0;
        for n in 0..400 {
            let now = second * SECOND + n * 2_500;
            for node in &mut nodes {
                while node.next_wake().is_some_and(|w| w <= now) {
                    node.tick(now, &mut out);
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
fn unsafe_requests_wait_for_a_list_from_its_source() {
    let mut out = Vec::new();
    let mut node = Recovery::new(settings(1), 0, SECOND);
    node.handle(0, Input::StateLoaded(RememberedState { carried: 1000.0, issues: Vec::new() }), &mut out);
    node.handle(0, Input::EndpointsListed(engines(4), false), &mut out);
    assert_eq!(node.stage(), Stage::Careful);
    assert_eq!(node.admit(1, Some(0)), Admission::Admit);
    assert!(matches!(node.admit(2, Some(1)), Admission::Reject(Some(_))));
    node.handle(3, Input::EndpointsListed(engines(4), true), &mut out);
    assert_eq!(node.admit(200_000, Some(1)), Admission::Admit);
}

/// Guards against one disk or one peer that remembers nonsense and opens the gate wide.
#[test]
fn one_wrong_memory_does_not_open_the_gate() {
    let mut out = Vec::new();
    let mut node = Recovery::new(settings(3), 0, SECOND);
    node.handle(0, Input::Peers(3, vec![1, 2]), &mut out);
    node.handle(0, Input::EndpointsListed(engines(10), true), &mut out);
    node.handle(0, Input::StateLoaded(RememberedState { carried: 1e12, issues: Vec::new() }), &mut out);
    let told = |carried| Answer { stage: Stage::Careful, list: Some((1, 0)), carried, heard: vec![u64::MAX] };
    node.handle(1, Input::PeerAnswered(1, told(60.0)), &mut out);
    node.handle(2, Input::PeerAnswered(2, told(f64::INFINITY)), &mut out);
    assert_eq!(node.stage(), Stage::Careful);
    let rate = node.gate().plan().max_rate.unwrap();
    assert!(rate <= 60.0 * 0.3, "{rate}");
}

/// A small fleet as a whole: what is on its way, and who has started.
#[derive(Clone)]
struct World {
    now: Micros,
    nodes: Vec<Option<Recovery>>,
    /// Questions (from, to) and answers (from, to) on their way.
    questions: Vec<(usize, usize)>,
    answers: Vec<(usize, usize, Answer)>,
    losses: u32,
    kills: u32,
}

impl World {
    fn key(&self) -> String {
        let stage = |n: &Option<Recovery>| {
            n.as_ref().map(|n| (n.stage(), n.next_wake().map(|w| w.saturating_sub(self.now))))
        };
        let nodes: Vec<_> = self.nodes.iter().map(stage).collect();
        let answers: Vec<_> = self.answers.iter().map(|a| (a.0, a.1, a.2.stage)).collect();
        format!("{nodes:?} {:?} {answers:?} {} {}", self.questions, self.losses, self.kills)
    }

    fn start(&mut self, n: usize) {
        let others: Vec<u64> = (0..self.nodes.len()).filter(|o| *o != n).map(|o| o as u64).collect();
        let mut node = Recovery::new(settings(self.nodes.len()), self.now, 300_000);
        let mut out = Vec::new();
        node.handle(self.now, Input::Peers(1, others), &mut out);
        node.handle(self.now, Input::EndpointsListed(engines(4), true), &mut out);
        self.nodes[n] = Some(node);
        self.carry(n, out);
    }

    fn carry(&mut self, n: usize, out: Vec<Output>) {
        for one in out {
            if let Output::QueryPeer(peer) = one {
                if !self.questions.contains(&(n, peer as usize)) {
                    self.questions.push((n, peer as usize));
                }
            }
        }
    }

    /// Every next world.
    fn next(&self) -> Vec<World> {
        let mut all = Vec::new();
        for n in 0..self.nodes.len() {
            let mut world = self.clone();
            match &self.nodes[n] {
                None => world.start(n),
                Some(node) if node.stage() == Stage::Reading => {
                    let mut out = Vec::new();
                    let node = world.nodes[n].as_mut().unwrap();
                    node.handle(self.now, Input::StateLoaded(RememberedState::default()), &mut out);
                    world.carry(n, out);
                }
                Some(_) if self.kills > 0 => {
                    world.kills -= 1;
                    world.nodes[n] = None;
                    world.questions.retain(|q| q.0 != n && q.1 != n);
                    world.answers.retain(|a| a.0 != n && a.1 != n);
                }
                Some(_) => continue,
            }
            all.push(world);
        }
        for (i, &(from, to)) in self.questions.iter().enumerate() {
            let mut world = self.clone();
            world.questions.remove(i);
            if let Some(node) = &self.nodes[to] {
                world.answers.push((to, from, node.answer(self.now, Some((1, 0)))));
            }
            all.push(world);
            if self.losses > 0 {
                let mut world = self.clone();
                world.questions.remove(i);
                world.losses -= 1;
                all.push(world);
            }
        }
        for i in 0..self.answers.len() {
            let mut world = self.clone();
            let (from, to, answer) = world.answers.remove(i);
            let mut out = Vec::new();
            if let Some(node) = &mut world.nodes[to] {
                node.handle(self.now, Input::PeerAnswered(from as u64, answer), &mut out);
            }
            world.carry(to, out);
            all.push(world);
        }
        // Time goes on to whatever is due first.
        let due = self.nodes.iter().flatten().filter_map(Recovery::next_wake).min();
        if let Some(due) = due {
            let mut world = self.clone();
            world.now = due.max(self.now);
            for n in 0..world.nodes.len() {
                let mut out = Vec::new();
                if let Some(node) = &mut world.nodes[n] {
                    node.tick(world.now, &mut out);
                }
                world.carry(n, out);
            }
            all.push(world);
        }
        all
    }
}

/// All ways in which two or three nodes start, ask, answer, lose what is on its way and die once more:
/// in each a node that has started either serves or has a time at which it goes on, and is past asking
/// within its stated time, whatever the others do.
#[test]
fn nobody_waits_in_a_circle() {
    for (nodes, losses, kills, depth) in [(2, 2, 1, 16), (3, 1, 0, 9)] {
        let world = World {
            now: 0,
            nodes: vec![None; nodes],
            questions: Vec::new(),
            answers: Vec::new(),
            losses,
            kills,
        };
        let mut seen = HashSet::new();
        let mut front = vec![world];
        for _ in 0..depth {
            let mut next = Vec::new();
            for world in front {
                for node in world.nodes.iter().flatten() {
                    assert!(node.stage() == Stage::Serving || node.next_wake().is_some(), "stuck");
                    if node.stage() < Stage::Careful {
                        let status = node.status(world.now);
                        let most = node.first_within(300_000) / 1000;
                        assert!(status.for_ms <= most, "{status:?} waits for longer than {most} ms");
                    }
                }
                if seen.insert(world.key()) {
                    next.extend(world.next());
                }
            }
            front = next;
        }
        println!("{nodes} nodes, {losses} losses, {kills} kills, depth {depth}: {} states", seen.len());
        assert!(seen.len() > 1000);
    }
}
