//! The protocol: a node's probes, what it believes of others, what it passes on.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::facts::{Facts, GossipError, GossipFact, Topic, MAX_FACTS, MAX_PAYLOAD_BYTES};
use crate::health::Health;
use crate::identity::{PeerName, ProcessIncarnation};
use crate::members::{Member, MemberState, Members, Word};
use crate::packet::{
    digest_of_fact, digest_of_word, fleet_number, piece, Body, Packet, Unread, MAX_DATAGRAM, MAX_WORD,
};
use crate::probe::{Errand, Probe, MAX_ERRANDS};
use crate::settings::Settings;
use crate::spread::{News, Spread};
use crate::status::{Counters, PeerStatus, Status};
use crate::Micros;

/// A tick this many periods late tells of a process that stood still.
const STOOD_STILL: u64 = 3;
/// Entries of a digest in one packet.
const MAX_DIGEST: usize = 70;
/// Raising its boot so often within the time in which a death is known, a node shares its name.
const MAX_RAISES: u32 = 3;
/// Own periods between two calls of the seeds by a node that knows nobody, or few.
const CALL_EVERY: u64 = 4;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send these bytes there.
    Datagram(SocketAddr, Vec<u8>),
    /// Something has changed.
    Event(MembershipEvent),
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A peer is there: new, or back, or in a new life.
    MemberUp(PeerName, ProcessIncarnation),
    /// A peer is suspected.
    MemberSuspected(PeerName),
    /// A peer is dead, as far as anybody knows.
    MemberDown(PeerName),
    /// A peer has said that it goes.
    MemberLeft(PeerName),
    /// Somebody said something new.
    FactReceived(PeerName, Topic),
    /// A peer said something to this node alone.
    DirectMessage(PeerName, Topic, Vec<u8>),
    /// Peers remember a later boot of this node than its disk did: the disk went back or was lost. The
    /// number that holds from here on is to be kept.
    StoredIncarnationOutdated {
        /// What the disk said.
        own: u64,
        /// What holds now.
        now: u64,
    },
    /// Another process runs under this node's name; this one has stepped back and says nothing any more.
    SteppedBack,
    /// This process has stood still for so long.
    StoodStill(Micros),
}

/// A node's part in its fleet.
pub struct Membership {
    settings: Settings,
    fleet: u64,
    me: Word,
    rng: ChaCha8Rng,
    health: Health,
    members: Members,
    facts: Facts,
    spread: Spread,
    /// Whom to probe next, the next one last; shuffled anew when all have had their turn.
    round: Vec<PeerName>,
    probe: Option<Probe>,
    errands: BTreeMap<u32, Errand>,
    number: u32,
    next_probe: Micros,
    next_repair: Micros,
    last_tick: Micros,
    periods: u64,
    /// How often the boot was raised lately, and since when that counts.
    raises: (u32, Micros),
    has_yielded_name: bool,
    /// What this process has said, to be said again under another number.
    said: BTreeMap<Topic, Vec<u8>>,
    version: u64,
    counters: Counters,
}

impl Membership {
    /// A node that knows its seeds and nobody else. `life` holds what its disk knows of its boots.
    pub fn new(settings: Settings, life: ProcessIncarnation, seed: u64, now: Micros) -> Membership {
        let me = Word {
            name: settings.name.clone(),
            life,
            incarnation: 0,
            standing: MemberState::Alive,
            accuser: 0,
            address: settings.address,
            zone: settings.zone.as_str().into(),
        };
        let mut spread = Spread::default();
        spread.add(News::Member(me.name.clone()));
        Membership {
            fleet: fleet_number(&settings.fleet),
            rng: ChaCha8Rng::seed_from_u64(seed),
            health: Health::default(),
            members: Members::default(),
            facts: Facts::default(),
            spread,
            round: Vec::new(),
            probe: None,
            errands: BTreeMap::new(),
            number: 0,
            next_probe: now,
            next_repair: now + settings.anti_entropy_interval,
            last_tick: now,
            periods: 0,
            raises: (0, now),
            has_yielded_name: false,
            said: BTreeMap::new(),
            version: 0,
            counters: Counters::default(),
            me,
            settings,
        }
    }

    // ---- what it knows ----

    /// The others, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// A peer by its name.
    pub fn member(&self, name: &PeerName) -> Option<&Member> {
        self.members.get(name)
    }

    /// Nodes to be reckoned with, this one included.
    pub fn alive_count(&self) -> usize {
        self.members.here() + 1
    }

    /// This node's own life.
    pub fn incarnation(&self) -> ProcessIncarnation {
        self.me.life
    }

    /// Where its peers reach it.
    pub fn address(&self) -> SocketAddr {
        self.me.address
    }

    /// Whether it has stepped back for another process of its name.
    pub fn has_yielded_name(&self) -> bool {
        self.has_yielded_name
    }

    /// What was said on a topic, by whom; what was taken back is left out.
    pub fn facts(&self, topic: Topic) -> impl Iterator<Item = &GossipFact> {
        self.facts.iter().filter(move |f| f.topic == topic && !f.payload.is_empty())
    }

    /// What one peer said on a topic, unless it took that back.
    pub fn fact(&self, origin: &PeerName, topic: Topic) -> Option<&GossipFact> {
        self.facts.get(&(origin.clone(), topic)).filter(|f| !f.payload.is_empty())
    }

    /// Of those that are here, this node among them, who has said the highest number on a topic. Numbers
    /// are told as eight bytes, the least first.
    pub fn highest(&self, topic: Topic) -> Option<&PeerName> {
        let here = |f: &&GossipFact| {
            f.origin == self.me.name || self.members.get(&f.origin).is_some_and(Member::is_alive)
        };
        let number =
            |f: &&GossipFact| <[u8; 8]>::try_from(f.payload.as_slice()).map_or(0, u64::from_le_bytes);
        self.facts(topic).filter(here).max_by_key(number).map(|f| &f.origin)
    }

    /// How much it doubts itself, 0 to 8.
    pub fn local_health_score(&self) -> u32 {
        self.health.doubt()
    }

    /// What it has counted.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// What it tells people.
    pub fn status(&self, now: Micros) -> Status {
        let peers = self.members.iter().map(|m| PeerStatus {
            name: m.name().to_string(),
            zone: m.zone().to_string(),
            address: m.address().to_string(),
            standing: m.standing(),
            boot: m.incarnation().boot,
            for_ms: now.saturating_sub(m.since) / 1000,
        });
        Status {
            name: self.me.name.to_string(),
            boot: self.me.life.boot,
            doubt: self.health.doubt(),
            has_yielded_name: self.has_yielded_name,
            peers: peers.collect(),
            facts: self.facts.iter().count(),
            news: self.spread.len(),
            counters: self.counters,
        }
    }

    /// Where a peer is reached from here.
    pub fn route(&self, member: &Member) -> SocketAddr {
        self.settings.reach.get(member.name()).copied().unwrap_or(member.address())
    }

    // ---- what it says ----

    /// Says something to one peer alone, once; whether there is such a peer here. It may be lost.
    pub fn send_direct(
        &mut self,
        whom: &PeerName,
        topic: Topic,
        payload: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(to) = self.members.get(whom).filter(|m| m.is_alive()).map(|m| self.route(m)) else {
            return false;
        };
        if payload.len() > MAX_WORD || self.has_yielded_name {
            return false;
        }
        self.send(to, Body::Word { topic, payload }, out);
        true
    }

    /// Says something on a topic; an empty payload takes it back.
    pub fn publish(&mut self, topic: Topic, payload: Vec<u8>) -> Result<(), GossipError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(GossipError::TooLong);
        }
        let key = (self.me.name.clone(), topic);
        if self.said.get(&topic) == Some(&payload)
            && self.facts.get(&key).is_some_and(|f| f.life == self.me.life)
        {
            return Ok(());
        }
        if self.facts.get(&key).is_none() && self.facts.count(&key.0) >= MAX_FACTS {
            return Err(GossipError::TooMany);
        }
        self.said.insert(topic, payload.clone());
        self.utter(topic, payload);
        Ok(())
    }

    fn utter(&mut self, topic: Topic, payload: Vec<u8>) {
        self.version += 1;
        let (origin, life, version) = (self.me.name.clone(), self.me.life, self.version);
        if self.facts.take(GossipFact { origin: origin.clone(), topic, life, version, payload }) {
            self.spread.add(News::GossipFact(origin, topic));
        }
    }

    /// Says goodbye to everybody that is here; nothing is to be asked of it afterwards.
    pub fn leave(&mut self, out: &mut Vec<Output>) {
        self.me.standing = MemberState::Left;
        let to: Vec<SocketAddr> =
            self.members.iter().filter(|m| m.is_alive()).map(|m| self.route(m)).collect();
        for address in to {
            self.send(address, Body::Leaving, out);
        }
        self.has_yielded_name = true;
    }

    // ---- time ----

    /// When [`Membership::tick`] has something to do.
    pub fn next_wake(&self) -> Micros {
        let probe =
            self.probe.as_ref().map(|p| if p.asked == 0 { p.help_at.min(p.ends_at) } else { p.ends_at });
        let errand = self.errands.values().map(|e| e.by).min();
        let suspect =
            self.members.iter().filter(|m| m.standing() == MemberState::Suspect).map(|m| m.until).min();
        [probe, errand, suspect]
            .into_iter()
            .flatten()
            .chain([self.next_probe, self.next_repair])
            .min()
            .unwrap_or(0)
    }

    /// Does what has come due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.has_yielded_name {
            (self.next_probe, self.next_repair) = (Micros::MAX, Micros::MAX);
            self.probe = None;
            self.errands.clear();
            return;
        }
        self.stood_still(now, out);
        self.last_tick = now;
        self.errands_due(now, out);
        self.probe_due(now, out);
        self.suspicions_due(now, out);
        if now >= self.next_probe {
            self.next_probe = now + self.health.stretch(self.settings.probe_interval);
            self.periods += 1;
            self.call_seeds(out);
            self.probe_next(now, out);
        }
        if now >= self.next_repair {
            self.next_repair = now + self.settings.anti_entropy_interval;
            self.compare(out);
            let before = now.saturating_sub(self.settings.dead_member_retention);
            for name in self.members.forget(before) {
                self.facts.forget(&name);
                self.spread.drop(&News::Member(name));
            }
        }
    }

    /// Guards against a process that was paused and, awake again, takes everyone for dead: whatever it
    /// waited for while it stood still says nothing, and its suspicions begin anew.
    fn stood_still(&mut self, now: Micros, out: &mut Vec<Output>) {
        let due = self.next_wake().max(self.last_tick);
        let late = now.saturating_sub(due);
        if late < STOOD_STILL * self.settings.probe_interval {
            return;
        }
        self.counters.paused += 1;
        self.health.worse(4);
        self.probe = None;
        self.errands.clear();
        let n = self.alive_count();
        let until = now + self.health.stretch(self.settings.suspicion_most(n));
        let names: Vec<PeerName> = self.suspects().collect();
        for name in names {
            if let Some(m) = self.members.get_mut(&name) {
                m.until = m.until.max(until);
            }
        }
        out.push(Output::Event(MembershipEvent::StoodStill(late)));
    }

    fn suspects(&self) -> impl Iterator<Item = PeerName> + '_ {
        self.members.iter().filter(|m| m.standing() == MemberState::Suspect).map(|m| m.name().clone())
    }

    fn errands_due(&mut self, now: Micros, out: &mut Vec<Output>) {
        let due: Vec<u32> = self.errands.iter().filter(|(_, e)| e.by <= now).map(|(n, _)| *n).collect();
        for number in due {
            if let Some(errand) = self.errands.remove(&number) {
                self.send(errand.back, Body::Nothing { number: errand.number }, out);
            }
        }
    }

    fn probe_due(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(mut probe) = self.probe.take() else { return };
        if probe.asked == 0 && now >= probe.help_at && now < probe.ends_at {
            let helpers =
                self.some(self.settings.indirect_probes, |m| m.is_alive() && *m.name() != probe.whom);
            probe.asked = helpers.len().max(1);
            if let Some(address) = self.members.get(&probe.whom).map(Member::address) {
                for helper in helpers {
                    let ask = Body::Ask { number: probe.number, whom: probe.whom.clone(), address };
                    self.send(helper, ask, out);
                }
            }
        }
        if now < probe.ends_at {
            self.probe = Some(probe);
            return;
        }
        self.counters.unanswered += 1;
        // Guards against blaming others for one's own links: helpers that cannot even be heard tell of
        // this node, not of the peer.
        if probe.heard < probe.asked {
            self.health.worse(1);
        }
        let Some(word) = self.members.get(&probe.whom).filter(|m| m.is_alive()).map(|m| m.word.clone())
        else {
            return;
        };
        let accuser = piece(2, &self.me.name, 0);
        self.accuse(now, Word { standing: MemberState::Suspect, accuser, ..word }, out);
    }

    /// Somebody says that a peer is suspect.
    fn accuse(&mut self, now: Micros, word: Word, out: &mut Vec<Output>) {
        let (name, accuser) = (word.name.clone(), word.accuser);
        let n = self.alive_count();
        let (least, most) = (self.settings.suspicion_least(n), self.settings.suspicion_most(n));
        let (least, most) = (self.health.stretch(least), self.health.stretch(most));
        let fresh =
            matches!(self.members.take(now, word), Some(before) if before != Some(MemberState::Suspect));
        let asked = self.settings.indirect_probes.max(1);
        let Some(member) = self.members.get_mut(&name).filter(|m| m.standing() == MemberState::Suspect)
        else {
            return;
        };
        // Each of the first accusers is told on, so that others can count them too.
        let shared = member.accusers.len() <= asked && member.accusers.insert(accuser);
        if shared {
            member.word.accuser = accuser;
        }
        // The more nodes share a suspicion the sooner it ends (Lifeguard).
        let others = member.accusers.len().saturating_sub(1) as f64;
        let part = ((others + 1.0).ln() / (asked as f64 + 1.0).ln()).min(1.0);
        let span = most - ((most - least) as f64 * part) as Micros;
        let until = member.since + span;
        member.until = if fresh { until } else { member.until.min(until) };
        if fresh {
            out.push(Output::Event(MembershipEvent::MemberSuspected(name.clone())));
        }
        if shared {
            self.spread.add(News::Member(name));
        }
    }

    fn suspicions_due(&mut self, now: Micros, out: &mut Vec<Output>) {
        let names: Vec<PeerName> = self.suspects().collect();
        for name in names {
            let Some(member) = self.members.get(&name).filter(|m| m.until <= now) else { continue };
            let word = Word { standing: MemberState::Dead, ..member.word.clone() };
            self.hear(now, word, out);
        }
    }

    /// Nobody that is here, or too few after a cut: the seeds are called.
    fn call_seeds(&mut self, out: &mut Vec<Output>) {
        let alone = self.members.here() == 0;
        if !alone && !self.periods.is_multiple_of(CALL_EVERY) {
            return;
        }
        let here: Vec<SocketAddr> =
            self.members.iter().filter(|m| m.is_alive()).map(|m| self.route(m)).collect();
        let mut seeds: Vec<SocketAddr> = self.settings.seeds.clone();
        // Guards against a fleet that stays in halves after a cut: those thought dead are called as well.
        seeds
            .extend(self.members.iter().filter(|m| m.standing() == MemberState::Dead).map(|m| self.route(m)));
        seeds.retain(|s| *s != self.me.address && !here.contains(s));
        seeds.sort_unstable();
        seeds.dedup();
        seeds.shuffle(&mut self.rng);
        for seed in seeds.into_iter().take(3) {
            let number = self.next_number();
            self.send(seed, Body::Ping { number, to: None }, out);
        }
    }

    fn probe_next(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.probe.is_some() {
            return;
        }
        for _ in 0..2 {
            while let Some(whom) = self.round.pop() {
                let Some(member) = self.members.get(&whom).filter(|m| m.is_alive()) else { continue };
                let address = self.route(member);
                let number = self.next_number();
                let period = self.health.stretch(self.settings.probe_interval);
                let help_at = now + self.health.stretch(self.settings.probe_timeout);
                self.counters.probes += 1;
                let probe =
                    Probe { whom: whom.clone(), number, help_at, ends_at: now + period, asked: 0, heard: 0 };
                self.probe = Some(probe);
                return self.send(address, Body::Ping { number, to: Some(whom) }, out);
            }
            self.round = self.members.iter().filter(|m| m.is_alive()).map(|m| m.name().clone()).collect();
            self.round.shuffle(&mut self.rng);
        }
    }

    /// Compares what is known with some peer, in as many packets as it takes.
    fn compare(&mut self, out: &mut Vec<Output>) {
        for address in self.some(1, Member::is_alive) {
            self.digest_to(address, true, out);
        }
    }

    fn digest_to(&mut self, to: SocketAddr, answer: bool, out: &mut Vec<Output>) {
        let mut known: Vec<(u64, u32)> = vec![digest_of_word(&self.me)];
        known.extend(self.members.iter().map(|m| digest_of_word(&m.word)));
        known.extend(self.facts.iter().map(digest_of_fact));
        known.sort_unstable();
        let of = known.len().div_ceil(MAX_DIGEST) as u16;
        for (part, some) in known.chunks(MAX_DIGEST).enumerate() {
            let body = Body::Digest { part: part as u16, of, known: some.to_vec(), answer };
            self.send(to, body, out);
        }
    }

    // ---- what it hears ----

    /// Takes in bytes that came from an address.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        let packet = match Packet::decode(bytes, self.fleet) {
            Ok(packet) => packet,
            Err(Unread::Garbled) => return self.counters.garbled += 1,
            Err(Unread::Foreign) => return self.counters.foreign += 1,
        };
        if self.has_yielded_name {
            return;
        }
        self.counters.received += 1;
        let Packet { from: name, life, body, words, facts, .. } = packet;
        let knew = name == self.me.name || self.members.get(&name).is_some();
        for word in words {
            self.hear(now, word, out);
        }
        let repairing = matches!(body, Body::News);
        for fact in facts {
            self.learn(now, fact, repairing, out);
        }
        // Who speaks under an earlier life than is known hears of the later one: its disk went back, or
        // another process runs under its name.
        if let Some(later) =
            self.members.get(&name).filter(|m| m.incarnation() > life).map(|m| m.word.clone())
        {
            return self.send_all(from, vec![later], Vec::new(), out);
        }
        if name == self.me.name && life != self.me.life {
            // The other process of this name speaks; what it is told settles who steps back.
            let me = self.me.clone();
            return self.send_all(from, vec![me], Vec::new(), out);
        }
        match body {
            Body::Ping { number, to } => {
                if to.is_none_or(|to| to == self.me.name) {
                    self.send(from, Body::Ack { number }, out);
                }
                // A stranger is told all that is known, in parts that fit.
                if !knew && self.members.get(&name).is_some() {
                    self.digest_to(from, true, out);
                }
            }
            Body::Ack { number } => self.answered(now, number, out),
            Body::Nothing { number } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.number == number) {
                    probe.heard += 1;
                }
            }
            Body::Ask { number, whom, address } => {
                if self.errands.len() < MAX_ERRANDS {
                    let own = self.next_number();
                    let address = self.members.get(&whom).map_or(address, |m| self.route(m));
                    let by = now + self.settings.probe_timeout;
                    self.errands.insert(own, Errand { back: from, number, by });
                    self.send(address, Body::Ping { number: own, to: Some(whom) }, out);
                }
            }
            Body::Digest { part, of, known, answer } => self.differ(from, (part, of), &known, answer, out),
            Body::News => {}
            Body::Word { topic, payload } if payload.len() <= MAX_PAYLOAD_BYTES => {
                out.push(Output::Event(MembershipEvent::DirectMessage(name, topic, payload)));
            }
            Body::Word { .. } => self.counters.garbled += 1,
            Body::Leaving => {
                if let Some(member) = self.members.get(&name).filter(|m| m.incarnation() == life) {
                    let word = Word { standing: MemberState::Left, ..member.word.clone() };
                    self.hear(now, word, out);
                }
            }
        }
    }

    fn answered(&mut self, _now: Micros, number: u32, out: &mut Vec<Output>) {
        if self.probe.as_ref().is_some_and(|p| p.number == number) {
            self.probe = None;
            self.health.better();
        }
        if let Some(errand) = self.errands.remove(&number) {
            self.send(errand.back, Body::Ack { number: errand.number }, out);
        }
    }

    /// Takes in a word on a peer, or on this node itself.
    fn hear(&mut self, now: Micros, word: Word, out: &mut Vec<Output>) {
        if word.name == self.me.name {
            return self.hear_of_me(now, word, out);
        }
        let name = word.name.clone();
        if word.standing == MemberState::Suspect {
            let known = self.members.get(&name).map(|m| m.word.clone());
            let same = known.as_ref().is_some_and(|k| {
                (k.life, k.incarnation, k.standing) == (word.life, word.incarnation, MemberState::Suspect)
            });
            if same || known.is_none_or(|k| word.beats(&k)) {
                self.accuse(now, word, out);
            }
            return;
        }
        let (standing, life) = (word.standing, word.life);
        let known = self.members.get(&name).map(|m| (m.is_alive(), m.incarnation()));
        // A peer that was never here is not mourned.
        if known.is_none() && matches!(standing, MemberState::Dead | MemberState::Left) {
            self.members.take(now, word);
            return;
        }
        if self.members.take(now, word).is_none() {
            return;
        }
        self.spread.add(News::Member(name.clone()));
        let was_here = known.is_some_and(|(here, old)| here && old == life);
        match standing {
            MemberState::Alive if !was_here => {
                // Somewhere in what is left of the round, so that a newcomer is not first for everyone.
                let place = (self.rng.next_u32() as usize) % (self.round.len() + 1);
                self.round.insert(place, name.clone());
                out.push(Output::Event(MembershipEvent::MemberUp(name, life)));
            }
            MemberState::Dead => out.push(Output::Event(MembershipEvent::MemberDown(name))),
            MemberState::Left => out.push(Output::Event(MembershipEvent::MemberLeft(name))),
            _ => {}
        }
    }

    /// A word on this node itself: a suspicion to refute, a life that its disk has forgotten, or another
    /// process under its name.
    fn hear_of_me(&mut self, now: Micros, word: Word, out: &mut Vec<Output>) {
        if word.life == self.me.life {
            if word.standing != MemberState::Alive && word.incarnation >= self.me.incarnation {
                self.me.incarnation = word.incarnation + 1;
                self.counters.refuted += 1;
                self.health.worse(1);
                self.spread.add(News::Member(self.me.name.clone()));
            }
            return;
        }
        if word.life < self.me.life {
            return;
        }
        // Later than this life is known to be. A disk that went back explains it once or twice; a
        // process that goes on raising its own number as well is another one that lives now.
        let span = 4 * self.settings.max_failure_detection_time(self.alive_count());
        if now > self.raises.1 + span {
            self.raises = (0, now);
        }
        self.raises.0 += 1;
        if self.raises.0 > MAX_RAISES && word.life.mark < self.me.life.mark {
            self.has_yielded_name = true;
            out.push(Output::Event(MembershipEvent::SteppedBack));
            return;
        }
        let own = self.me.life.boot;
        self.me.life.boot = word.life.boot + 1;
        self.me.incarnation = 0;
        self.counters.disk_went_back += 1;
        out.push(Output::Event(MembershipEvent::StoredIncarnationOutdated { own, now: self.me.life.boot }));
        self.spread.add(News::Member(self.me.name.clone()));
        // What it has said in this life is said again under the new number.
        for (topic, payload) in self.said.clone() {
            self.utter(topic, payload);
        }
    }

    fn learn(&mut self, now: Micros, fact: GossipFact, repairing: bool, out: &mut Vec<Output>) {
        let (origin, topic) = (fact.origin.clone(), fact.topic);
        if origin == self.me.name {
            if fact.life.mark == self.me.life.mark {
                return;
            }
            let word = Word { life: fact.life, ..self.me.clone() };
            self.hear_of_me(now, word, out);
        }
        if self.facts.take(fact) {
            self.counters.repaired += u64::from(repairing);
            self.spread.add(News::GossipFact(origin.clone(), topic));
            out.push(Output::Event(MembershipEvent::FactReceived(origin, topic)));
        }
    }

    /// A peer has told what it knows: it is sent what it lacks, and asked for what this node lacks.
    fn differ(
        &mut self,
        from: SocketAddr,
        (part, of): (u16, u16),
        known: &[(u64, u32)],
        answer: bool,
        out: &mut Vec<Output>,
    ) {
        if of == 0 || part >= of || known.len() > MAX_DIGEST || !known.is_sorted() {
            self.counters.garbled += 1;
            return;
        }
        // Each part speaks for all pieces from its first to its last; the outer ones for the rest.
        let least = if part == 0 { 0 } else { known.first().map_or(0, |k| k.0) };
        let most = if part + 1 == of { u64::MAX } else { known.last().map_or(0, |k| k.0) };
        let theirs: BTreeMap<u64, u32> = known.iter().copied().collect();
        let mut words = Vec::new();
        let mut own = std::collections::BTreeSet::new();
        let mut lacks = |place: (u64, u32)| {
            own.insert(place);
            (least..=most).contains(&place.0) && theirs.get(&place.0) != Some(&place.1)
        };
        for word in std::iter::once(&self.me).chain(self.members.iter().map(|m| &m.word)) {
            if lacks(digest_of_word(word)) {
                words.push(word.clone());
            }
        }
        let facts: Vec<GossipFact> =
            self.facts.iter().filter(|f| lacks(digest_of_fact(f))).cloned().collect();
        let wants = known.iter().any(|k| !own.contains(k));
        self.send_all(from, words, facts, out);
        // Both may lack something: the other side compares as well, once.
        if answer && wants {
            self.digest_to(from, false, out);
        }
    }

    // ---- sending ----

    fn next_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// Addresses of some peers at random.
    fn some(&mut self, most: usize, which: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> =
            self.members.iter().filter(|m| which(m)).map(|m| self.route(m)).collect();
        all.shuffle(&mut self.rng);
        all.truncate(most);
        all
    }

    /// Sends a packet with as much news as fits.
    fn send(&mut self, to: SocketAddr, body: Body, out: &mut Vec<Output>) {
        let mut packet = self.packet(body);
        // Guards against a suspect that hears last of it: whoever is written to hears first what is
        // said of itself (Lifeguard's buddy system).
        let about = self.members.iter().find(|m| m.standing() != MemberState::Alive && self.route(m) == to);
        packet.words.extend(about.map(|m| m.word.clone()));
        let mut length = packet.encode().len();
        let peers = self.members.here();
        for news in self.spread.next() {
            let size = match &news {
                News::Member(name) => match self.word_on(name) {
                    Some(word) if !packet.words.contains(&word) => {
                        let size = 64 + word.name.0.len() + word.zone.len();
                        packet.words.push(word);
                        size
                    }
                    _ => 0,
                },
                News::GossipFact(origin, topic) => match self.facts.get(&(origin.clone(), *topic)) {
                    Some(fact) => {
                        packet.facts.push(fact.clone());
                        48 + fact.origin.0.len() + fact.payload.len()
                    }
                    None => 0,
                },
            };
            if length + size > MAX_DATAGRAM {
                match news {
                    News::Member(_) => packet.words.pop().map(|_| ()),
                    News::GossipFact(..) => packet.facts.pop().map(|_| ()),
                };
                break;
            }
            length += size;
            self.spread.told(&news, peers);
        }
        self.put(to, &packet, out);
    }

    /// Sends pieces that a comparison has found, in as many packets as it takes.
    fn send_all(&mut self, to: SocketAddr, words: Vec<Word>, facts: Vec<GossipFact>, out: &mut Vec<Output>) {
        let mut packet = self.packet(Body::News);
        let mut length = packet.encode().len();
        for word in words {
            let size = 64 + word.name.0.len() + word.zone.len();
            if length + size > MAX_DATAGRAM {
                self.put(to, &packet, out);
                packet = self.packet(Body::News);
                length = 128;
            }
            length += size;
            packet.words.push(word);
        }
        for fact in facts {
            let size = 48 + fact.origin.0.len() + fact.payload.len();
            if length + size > MAX_DATAGRAM {
                self.put(to, &packet, out);
                packet = self.packet(Body::News);
                length = 128;
            }
            length += size;
            packet.facts.push(fact);
        }
        if !packet.words.is_empty() || !packet.facts.is_empty() {
            self.put(to, &packet, out);
        }
    }

    fn word_on(&self, name: &PeerName) -> Option<Word> {
        match *name == self.me.name {
            true => Some(self.me.clone()),
            false => self.members.get(name).map(|m| m.word.clone()),
        }
    }

    fn packet(&self, body: Body) -> Packet {
        // The sender's own word goes with what begins something, so that a stranger is known at once.
        let introduce = matches!(body, Body::Ping { .. } | Body::Ack { .. } | Body::Leaving);
        Packet {
            fleet: self.fleet,
            from: self.me.name.clone(),
            life: self.me.life,
            body,
            words: if introduce { vec![self.me.clone()] } else { Vec::new() },
            facts: Vec::new(),
        }
    }

    fn put(&mut self, to: SocketAddr, packet: &Packet, out: &mut Vec<Output>) {
        let bytes = packet.encode();
        if bytes.is_empty() || bytes.len() > MAX_DATAGRAM + 600 {
            return;
        }
        self.counters.sent += 1;
        self.counters.bytes += bytes.len() as u64;
        out.push(Output::Datagram(to, bytes));
    }
}
