//! What a node would leave at engines, told to a few peers while it lives, so that they let go of it when it
//! is dead and does not come back.
//!
//! A name is one state's, so a needless call harms nothing, and nothing has to be taken back: a node tells
//! what it holds, again every while, and a guardian forgets what it has not been told for longer than that.
//! Words may be lost, doubled and late. A guardian waits for a while behind a death: whoever was only cut off, or
//! stood still, comes back and keeps what is its own; whoever starts again lets go of it by itself, and the
//! guardian's call is one too many.

use std::collections::{BTreeMap, HashMap};

use pintally::interface::{EngineId, Micros, RequestId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A state: the engine that holds it, and its name there.
pub type Held = (EngineId, RequestId);

/// So many peers are told.
const GUARDIANS: usize = 2;
/// What is held for less is not worth a word; what is held for longer is told again this often.
const SETTLED: Micros = 100_000;
const AGAIN: Micros = 500_000;
/// What was not told for so long is not held any more, or its node is dead.
const STALE: Micros = 2_000_000;
/// Bytes of one word, and words of one turn.
const WORD_BYTES: usize = 1_000;
const MAX_WORDS: usize = 8;
/// The most that is kept for one ward, and for all.
const MAX_WARD: usize = 4_096;
const MAX_ALL: usize = 65_536;

/// A word: the life that tells, and some of what it holds.
#[derive(Serialize, Deserialize)]
struct Word {
    life: u64,
    held: Vec<(String, String)>,
}

/// Tells guardians what a node holds.
#[derive(Debug, Default)]
pub struct ReservationPublisher {
    /// What is held: since when, and when it was told last.
    known: HashMap<Held, (Micros, Option<Micros>)>,
    guardians: Vec<String>,
}

impl ReservationPublisher {
    /// Who is told of a node's states, among the peers that are here: always the same ones, and others for others.
    pub fn backup_nodes<'a>(own: &str, here: impl Iterator<Item = &'a str>) -> Vec<String> {
        let mut all: Vec<_> = here
            .map(|name| (xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(own.as_bytes(), 0)), name))
            .collect();
        all.sort_unstable();
        all.into_iter().take(GUARDIANS).map(|(_, name)| name.to_string()).collect()
    }

    /// The words to be told now, each to all guardians.
    pub fn tell(&mut self, now: Micros, life: u64, held: &[Held], guardians: &[String]) -> Vec<Vec<u8>> {
        let mut known = HashMap::with_capacity(held.len());
        for one in held {
            let before = self.known.remove(one).unwrap_or((now, None));
            known.insert(one.clone(), before);
        }
        self.known = known;
        if self.guardians != guardians {
            self.guardians = guardians.to_vec();
            self.known.values_mut().for_each(|k| k.1 = None);
        }
        if guardians.is_empty() {
            return Vec::new();
        }
        let due = |k: &(Micros, Option<Micros>)| match k.1 {
            None => now >= k.0.saturating_add(SETTLED),
            Some(told) => now >= told.saturating_add(AGAIN),
        };
        // Those that have waited for longest come first, as not all may fit.
        let mut all: Vec<_> = self.known.iter_mut().filter(|(_, k)| due(k)).collect();
        all.sort_by(|a, b| (a.1 .1, a.1 .0, a.0).cmp(&(b.1 .1, b.1 .0, b.0)));
        let mut words = Vec::new();
        let (mut word, mut bytes) = (Word { life, held: Vec::new() }, 0);
        for ((engine, name), told) in all {
            let size = engine.0.len() + name.0.len() + 8;
            if bytes + size > WORD_BYTES && !word.held.is_empty() {
                words.extend(serde_json::to_vec(&word).ok());
                (word.held, bytes) = (Vec::new(), 0);
                if words.len() == MAX_WORDS {
                    break;
                }
            }
            if size <= WORD_BYTES {
                word.held.push((engine.0.to_string(), name.0.to_string()));
                bytes += size;
                told.1 = Some(now);
            }
        }
        if !word.held.is_empty() {
            words.extend(serde_json::to_vec(&word).ok());
        }
        words
    }
}

/// What one life of a node has told, and when it was found dead.
#[derive(Debug, Default)]
struct Ward {
    life: u64,
    held: BTreeMap<Held, Micros>,
    dead: Option<Micros>,
}

/// What a node keeps for its wards.
#[derive(Debug)]
pub struct BackupNode {
    wards: BTreeMap<String, Ward>,
    /// How long a death has to last.
    after: Micros,
    /// How much is kept for all wards.
    kept: usize,
}

impl BackupNode {
    /// A guardian that lets go of a ward's states so long behind its death.
    pub fn new(after: Micros) -> BackupNode {
        BackupNode { wards: BTreeMap::new(), after, kept: 0 }
    }

    /// A ward has told something.
    pub fn receive_reservations(&mut self, now: Micros, from: &str, word: &[u8]) {
        let Ok(word) = serde_json::from_slice::<Word>(word) else { return };
        self.forget(now, from);
        let ward = self.wards.entry(from.to_string()).or_default();
        if ward.life != word.life {
            // A later life lets go of what the one before held.
            self.kept -= ward.held.len();
            *ward = Ward { life: word.life, ..Ward::default() };
        }
        // Whoever tells is not dead.
        ward.dead = None;
        for (engine, name) in word.held {
            if ward.held.len() >= MAX_WARD || self.kept >= MAX_ALL {
                return;
            }
            let one = (EngineId(engine.into()), RequestId(name.into()));
            self.kept += usize::from(ward.held.insert(one, now).is_none());
        }
    }

    /// What a ward that lives has not told for long is not held any more.
    fn forget(&mut self, now: Micros, from: &str) {
        let Some(ward) = self.wards.get_mut(from) else { return };
        let before = ward.held.len();
        ward.held.retain(|_, told| now < told.saturating_add(STALE));
        self.kept -= before - ward.held.len();
    }

    /// A node was found dead.
    pub fn node_down(&mut self, now: Micros, name: &str) {
        if let Some(ward) = self.wards.get_mut(name) {
            ward.dead = ward.dead.or(Some(now));
        }
    }

    /// A node is here: the life that is told of, or another one.
    pub fn node_up(&mut self, name: &str, life: u64) {
        // If it has started again the death stands: what the life before held is its own to let go of, if its
        // disk told it, and one call more does no harm.
        if let Some(ward) = self.wards.get_mut(name).filter(|ward| ward.life == life) {
            ward.dead = None;
        }
    }

    /// A node has left in good order: it holds nothing.
    pub fn node_left(&mut self, name: &str) {
        self.remove(name);
    }

    fn remove(&mut self, name: &str) -> Option<Ward> {
        let ward = self.wards.remove(name)?;
        self.kept -= ward.held.len();
        Some(ward)
    }

    /// What is to be let go now for wards that stayed dead, and whose it was.
    pub fn take_due(&mut self, now: Micros) -> Vec<(String, Vec<Held>)> {
        let after = self.after;
        let dead = |ward: &Ward| ward.dead.is_some_and(|at| now >= at.saturating_add(after));
        let names: Vec<String> = self.wards.iter().filter(|(_, w)| dead(w)).map(|(n, _)| n.clone()).collect();
        let mut due = Vec::new();
        for name in names {
            let Some(ward) = self.remove(&name) else { continue };
            // What was stale when it died had been let go by itself; a death is found some time behind it.
            let died = ward.dead.unwrap_or(now);
            let held = ward.held.into_iter().filter(|(_, told)| died < told.saturating_add(STALE + after));
            let held: Vec<Held> = held.map(|(one, _)| one).collect();
            if !held.is_empty() {
                due.push((name, held));
            }
        }
        due
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    fn held(n: usize) -> Vec<Held> {
        (0..n).map(|i| (EngineId("r1".into()), RequestId(format!("n0-1-{i}.0").as_str().into()))).collect()
    }

    /// Tells for so long, every 50 ms; every `lost`-th word is lost.
    fn tell_for(
        teller: &mut ReservationPublisher,
        guardian: &mut BackupNode,
        from: Micros,
        to: Micros,
        all: &[Held],
        lost: usize,
    ) {
        let mut words = 0;
        for now in (from..to).step_by(50 * MS as usize) {
            for word in teller.tell(now, 7, all, &["g".into()]) {
                words += 1;
                if words % lost != 0 {
                    guardian.receive_reservations(now, "n0", &word);
                }
            }
        }
    }

    /// Guards against states that stay until their engines give up on them, when a node never returns.
    #[test]
    fn what_a_dead_node_held_is_let_go_when_it_stays_dead() {
        let (mut teller, mut guardian) = (ReservationPublisher::default(), BackupNode::new(3_000 * MS));
        let all = held(200);
        tell_for(&mut teller, &mut guardian, 0, 2_000 * MS, &all, 3);
        assert_eq!(guardian.kept, 200);
        guardian.node_down(2_500 * MS, "n0");
        guardian.node_down(4_000 * MS, "n0");
        assert!(guardian.take_due(5_400 * MS).is_empty(), "too early");
        let due = guardian.take_due(5_500 * MS);
        assert_eq!((due.len(), &*due[0].0, due[0].1.len()), (1, "n0", 200));
        assert!(guardian.take_due(9_000 * MS).is_empty() && guardian.kept == 0);
    }

    /// Guards against states taken from a node that was only cut off or stood still.
    #[test]
    fn who_comes_back_keeps_its_own() {
        for by_word in [true, false] {
            let (mut teller, mut guardian) = (ReservationPublisher::default(), BackupNode::new(3_000 * MS));
            tell_for(&mut teller, &mut guardian, 0, 1_000 * MS, &held(3), 100);
            guardian.node_down(1_000 * MS, "n0");
            match by_word {
                true => tell_for(&mut teller, &mut guardian, 2_000 * MS, 2_600 * MS, &held(3), 100),
                false => guardian.node_up("n0", 7),
            }
            assert!(guardian.take_due(60_000 * MS).is_empty());
        }
        // Another life of it is not the one that held them, and one that leaves holds nothing.
        let (mut teller, mut guardian) = (ReservationPublisher::default(), BackupNode::new(3_000 * MS));
        tell_for(&mut teller, &mut guardian, 0, 1_000 * MS, &held(3), 100);
        guardian.node_down(1_000 * MS, "n0");
        guardian.node_up("n0", 8);
        assert_eq!(guardian.take_due(4_000 * MS).len(), 1);
        tell_for(&mut teller, &mut guardian, 5_000 * MS, 6_000 * MS, &held(3), 100);
        guardian.node_left("n0");
        guardian.node_down(6_000 * MS, "n0");
        assert!(guardian.take_due(60_000 * MS).is_empty() && guardian.kept == 0);
    }

    /// Guards against words without end, and against tables that grow: short states cost nothing, and what is
    /// not told any more is forgotten.
    #[test]
    fn what_is_told_and_kept_is_bounded() {
        let (mut teller, mut guardian) = (ReservationPublisher::default(), BackupNode::new(3_000 * MS));
        assert!(teller.tell(0, 7, &held(10), &["g".into()]).is_empty(), "they may be gone in a moment");
        assert!(teller.tell(50 * MS, 7, &held(10), &[]).is_empty(), "nobody is here");
        let many = held(5_000);
        teller.tell(60 * MS, 7, &many, &["g".into()]);
        let words = teller.tell(200 * MS, 7, &many, &["g".into()]);
        assert_eq!(words.len(), MAX_WORDS);
        assert!(words.iter().all(|w| w.len() <= 1_100), "{:?}", words.iter().map(Vec::len).max());
        for turn in 0..80 {
            let now = 250 * MS + turn * 20 * MS;
            teller
                .tell(now, 7, &many, &["g".into()])
                .iter()
                .for_each(|w| guardian.receive_reservations(now, "n0", w));
        }
        assert!(guardian.kept <= MAX_WARD);
        for other in 0..40 {
            let name = format!("n{other}");
            let held = (0..2_000).map(|n| ("r".into(), format!("{name}-{n}"))).collect();
            let word = serde_json::to_vec(&Word { life: 1, held }).unwrap();
            guardian.receive_reservations(10_000 * MS, &name, &word);
        }
        assert_eq!(guardian.kept, MAX_ALL);
        // Nothing of what cannot be read is kept.
        guardian.receive_reservations(10_000 * MS, "n0", b"{\"life\":");
        for other in 0..40 {
            let word = serde_json::to_vec(&Word { life: 1, held: Vec::new() }).unwrap();
            guardian.receive_reservations(20_000 * MS, &format!("n{other}"), &word);
        }
        assert_eq!(guardian.kept, 0);
    }

    #[test]
    fn guardians_are_spread_and_stay() {
        let names: Vec<String> = (0..30).map(|n| format!("n{n}")).collect();
        let of = |own: usize, gone: usize| {
            let here = names.iter().enumerate().filter(|(n, _)| *n != own && *n != gone);
            ReservationPublisher::backup_nodes(&names[own], here.map(|(_, n)| n.as_str()))
        };
        let mut counts: HashMap<String, usize> = HashMap::new();
        for own in 0..30 {
            let two = of(own, 99);
            assert_eq!(two.len(), GUARDIANS);
            two.iter().for_each(|g| *counts.entry(g.clone()).or_default() += 1);
            // Without one of the two the other stays.
            let gone = names.iter().position(|n| *n == two[0]).unwrap();
            assert_eq!(of(own, gone)[0], two[1]);
        }
        assert!(counts.values().all(|n| *n <= 8), "{counts:?}");
        assert!(ReservationPublisher::backup_nodes("n0", std::iter::empty()).is_empty());
    }
}
