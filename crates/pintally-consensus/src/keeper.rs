//! A keeper: its votes, its log, its lead.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::doubt::{majority, Doubt, End, Told};
use crate::log::{Entry, Log, LogCommand, Position};
use crate::message::{Message, MAX_CARRY};
use crate::register::{KeyValueStore, Write};
use crate::settings::Settings;
use crate::status::Status;
use crate::{Micros, ReplicaName};

/// Bytes of the largest snapshot that is taken in.
const MAX_SNAPSHOT: u32 = 4 << 20;
/// Proposals that may wait at a leader.
const MAX_WAITING: usize = 256;

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Make these bytes safe before anything that comes after them is done.
    Save(Vec<u8>),
    /// Send this to a keeper.
    Send(ReplicaName, Message),
    /// A proposal has been agreed on and made; the version that stands, or the one in its way.
    Done(u64, Result<u64, u64>),
    /// A proposal came to nothing here; it may still be made by a later leader where that is said.
    Refused(u64, ProposalError),
    /// The register, or who the keepers are, has changed.
    Changed,
}

/// Why a proposal came to nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalError {
    /// Another keeper leads, if anybody is known to.
    NotLeader(Option<ReplicaName>),
    /// The lead was lost before it was agreed on: it may be made, or not.
    LeadershipLost,
    /// A change of keepers is under way, or this term has agreed on nothing yet.
    Busy,
    /// It is out of bounds.
    OutOfBounds,
}

impl fmt::Display for ProposalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposalError::NotLeader(Some(leader)) => write!(f, "{leader} leads the keepers"),
            ProposalError::NotLeader(None) => {
                f.write_str("no keeper leads: there is no majority, or not yet")
            }
            ProposalError::LeadershipLost => {
                f.write_str("the lead was lost meanwhile: ask whether it was made")
            }
            ProposalError::Busy => f.write_str("another change of keepers is under way"),
            ProposalError::OutOfBounds => f.write_str("the change is out of bounds"),
        }
    }
}

/// What must outlast the power, in one piece.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Saved {
    term: u64,
    voted: Option<ReplicaName>,
    formed: bool,
    log: Log,
}

/// How far another keeper is.
#[derive(Clone, Debug)]
struct Progress {
    next: u64,
    matched: u64,
    /// When the latest message was sent that it has answered.
    heard: Option<Micros>,
    /// Bytes of the snapshot that it has.
    snapshot: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Standing {
    Follows,
    /// Asks for votes: whether nothing is given away yet, and who would, or does, give theirs.
    Stands(bool, BTreeSet<ReplicaName>),
    Leads,
}

/// A snapshot that is coming in.
#[derive(Clone, Debug)]
struct Incoming {
    at: Position,
    bytes: Vec<u8>,
}

/// One keeper.
#[derive(Clone)]
pub struct Replica {
    settings: Settings,
    rng: ChaCha8Rng,
    saved: Saved,
    register: KeyValueStore,
    commit: u64,
    applied: u64,
    standing: Standing,
    doubt: Option<Doubt>,
    /// The disk showed no harm at the start.
    clean: bool,
    /// What others were seen to hold after a start: nobody gets a vote who has less.
    debt: Position,
    leader: Option<ReplicaName>,
    /// Until then nobody gets a vote: there is a leader, or there was one before the start.
    loyal_until: Micros,
    stand_at: Micros,
    next_beat: Micros,
    others: BTreeMap<ReplicaName, Progress>,
    joining: Option<ReplicaName>,
    waiting: BTreeMap<u64, (u64, u64)>,
    incoming: Option<Incoming>,
    led_since: Micros,
    dirty: bool,
    changed: bool,
    done: Vec<Output>,
    sends: Vec<(ReplicaName, Message)>,
}

impl Replica {
    /// A keeper at the start of a process. `saved` is what the disk gave back of the last
    /// [`Output::Save`]; `clean` says that the disk showed no harm.
    pub fn new(settings: Settings, saved: Option<&[u8]>, clean: bool, seed: u64, now: Micros) -> Replica {
        let read: Option<Saved> = saved.and_then(|bytes| postcard::from_bytes(bytes).ok());
        let clean = clean && read.is_some();
        let mut saved = read.unwrap_or_default();
        let mut register = KeyValueStore::decode(&saved.log.snapshot);
        if register.is_none() {
            saved = Saved::default();
            register = Some(KeyValueStore::default());
        }
        if !saved.formed {
            saved.log.keepers = settings.replicas.clone();
        }
        let commit = saved.log.base.index;
        let doubt = Doubt { since: now, clean, told: BTreeMap::new(), next_ask: now };
        let mut keeper = Replica {
            rng: ChaCha8Rng::seed_from_u64(seed),
            register: register.unwrap_or_default(),
            commit,
            applied: commit,
            standing: Standing::Follows,
            doubt: Some(doubt),
            clean,
            debt: Position::default(),
            leader: None,
            loyal_until: now + settings.loyal(),
            stand_at: now,
            next_beat: now,
            others: BTreeMap::new(),
            joining: None,
            waiting: BTreeMap::new(),
            incoming: None,
            led_since: now,
            dirty: false,
            changed: false,
            done: Vec::new(),
            sends: Vec::new(),
            saved,
            settings,
        };
        keeper.put_off(now);
        keeper
    }

    // ---- what it knows ----

    /// The register as far as it is agreed on here; it may be behind.
    pub fn store(&self) -> &KeyValueStore {
        &self.register
    }

    /// Entries that the register holds.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// An agreed entry, if it is still kept.
    pub fn committed_entry(&self, index: u64) -> Option<&Entry> {
        (index <= self.commit).then(|| self.saved.log.get(index)).flatten()
    }

    /// The term in which it surely leads alone at this time, and since when. A keeper that was paused
    /// and wakes finds that its lead has ended, whatever it believes.
    pub fn leadership(&self, now: Micros) -> Option<(u64, Micros)> {
        let until = self.lead_until()?;
        (now < until).then_some((self.saved.term, self.led_since))
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<&ReplicaName> {
        self.leader.as_ref()
    }

    /// The term that it knows.
    pub fn term(&self) -> u64 {
        self.saved.term
    }

    /// Who the keepers are, as far as it knows.
    pub fn replicas(&self) -> &[ReplicaName] {
        self.saved.log.keepers_at(u64::MAX)
    }

    /// Where its log ends.
    pub fn last_position(&self) -> Position {
        self.saved.log.last()
    }

    /// Whether it does not vote yet.
    pub fn is_recovering_votes(&self) -> bool {
        self.doubt.is_some()
    }

    /// What it tells people.
    pub fn status(&self, now: Micros) -> Status {
        let (standing, why) = match (&self.doubt, &self.standing) {
            (Some(doubt), _) => {
                let heard = doubt.told.len();
                let lost = if self.saved.formed { "" } else { "; it holds nothing itself" };
                ("doubts", Some(format!("started anew, {heard} others have told what they hold{lost}")))
            }
            (None, Standing::Leads) => ("leads", None),
            (None, Standing::Stands(_, votes)) => {
                let (n, m) = (votes.len(), majority(self.replicas().len()));
                ("stands", Some(format!("{n} of {m} votes: too few others are heard")))
            }
            (None, Standing::Follows) => {
                let why = self.leader.is_none().then(|| "no leader has been heard".to_string());
                ("follows", why)
            }
        };
        Status {
            name: self.settings.name.to_string(),
            standing,
            why,
            term: self.saved.term,
            leader: self.leader.as_ref().map(ToString::to_string),
            keepers: self.replicas().iter().map(ToString::to_string).collect(),
            joining: self.joining.as_ref().map(ToString::to_string),
            commit: self.commit,
            last: self.last_position().index,
            lead_ms: self.lead_until().map(|until| until.saturating_sub(now) / 1000),
            values: self.register.iter().count(),
        }
    }

    /// What stands for all that decides what it does next but the times themselves, for searches that
    /// visit each state once.
    pub fn digest(&self, now: Micros) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.saved.log.hash(&mut hasher);
        (self.saved.term, &self.saved.voted, self.commit, self.debt, &self.leader).hash(&mut hasher);
        (now < self.loyal_until, self.doubt.as_ref().map(|d| &d.told)).hash(&mut hasher);
        match &self.standing {
            Standing::Follows => 0u8.hash(&mut hasher),
            Standing::Stands(before, votes) => (1u8, before, votes).hash(&mut hasher),
            Standing::Leads => 2u8.hash(&mut hasher),
        }
        for (keeper, progress) in &self.others {
            (keeper, progress.next, progress.matched, progress.snapshot).hash(&mut hasher);
        }
        hasher.finish()
    }

    fn lead_until(&self) -> Option<Micros> {
        if self.standing != Standing::Leads {
            return None;
        }
        // A majority has answered to what was sent at this time or later, this keeper among them.
        let mut heard: Vec<Micros> = Vec::new();
        let keepers = self.replicas();
        for keeper in keepers {
            let at = if *keeper == self.settings.name {
                Some(Micros::MAX)
            } else {
                self.others.get(keeper).and_then(|p| p.heard)
            };
            heard.extend(at);
        }
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let since = *heard.get(majority(keepers.len()) - 1)?;
        // Alone it is its own majority.
        let since = if since == Micros::MAX { self.next_beat } else { since };
        Some(since.saturating_add(self.settings.leader_lease()))
    }

    fn is_keeper(&self) -> bool {
        self.replicas().contains(&self.settings.name)
    }

    // ---- what is asked of it ----

    /// Asks for a change of the register; `number` comes back with what became of it.
    pub fn propose(&mut self, now: Micros, number: u64, write: Write, out: &mut Vec<Output>) {
        if !write.sound() {
            return out.push(Output::Refused(number, ProposalError::OutOfBounds));
        }
        self.enter(now, number, LogCommand::Write(write), out);
    }

    /// Asks for another set of keepers: one more, or one fewer. One that comes catches up first.
    pub fn propose_replicas(
        &mut self,
        now: Micros,
        number: u64,
        keepers: Vec<ReplicaName>,
        out: &mut Vec<Output>,
    ) {
        let (old, new): (BTreeSet<_>, BTreeSet<_>) =
            (self.replicas().iter().cloned().collect(), keepers.iter().cloned().collect());
        let apart = old.symmetric_difference(&new).count();
        let wished = Settings { replicas: keepers.clone(), ..self.settings.clone() };
        if apart != 1 || wished.check().is_err() {
            return out.push(Output::Refused(number, ProposalError::OutOfBounds));
        }
        let last_change = self.saved.log.last_change();
        let own_term = self.saved.log.term_of(self.commit) == Some(self.saved.term);
        if self.standing == Standing::Leads && (self.commit < last_change || !own_term) {
            return out.push(Output::Refused(number, ProposalError::Busy));
        }
        if let Some(new) = new.difference(&old).next() {
            let caught_up = self.others.get(new).is_some_and(|p| p.matched >= self.commit);
            if self.standing == Standing::Leads && !caught_up {
                self.joining = Some(new.clone());
                self.follow_up();
                out.push(Output::Refused(number, ProposalError::Busy));
                return self.finish(out);
            }
        }
        self.enter(now, number, LogCommand::ChangeReplicas(keepers), out);
    }

    fn enter(&mut self, now: Micros, number: u64, what: LogCommand, out: &mut Vec<Output>) {
        if self.leadership(now).is_none() {
            let leader = self.leader.clone().filter(|l| *l != self.settings.name);
            return out.push(Output::Refused(number, ProposalError::NotLeader(leader)));
        }
        if self.waiting.len() >= MAX_WAITING {
            return out.push(Output::Refused(number, ProposalError::Busy));
        }
        if matches!(what, LogCommand::ChangeReplicas(_)) {
            self.joining = None;
        }
        self.saved.log.entries.push(Entry { term: self.saved.term, what });
        self.dirty = true;
        self.waiting.insert(self.last_position().index, (self.saved.term, number));
        self.follow_up();
        self.spread(now);
        self.agree(now);
        self.finish(out);
    }

    // ---- time ----

    /// When [`Replica::tick`] has something to do.
    pub fn next_wake(&self) -> Micros {
        match (&self.doubt, &self.standing) {
            (Some(doubt), _) => doubt.next_ask,
            (None, Standing::Leads) => self.next_beat,
            (None, _) => self.stand_at,
        }
    }

    /// Does what has come due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.doubt.is_some() {
            self.ask_others(now);
            self.settle(now);
        } else if self.standing == Standing::Leads {
            if now >= self.next_beat {
                self.next_beat = now + self.settings.heartbeat_interval;
                let silent = self.lead_until().is_some_and(|u| now > u + 2 * self.settings.election_timeout);
                if silent && self.replicas().len() > 1 {
                    self.step_back(now, self.saved.term);
                } else {
                    self.spread(now);
                }
            }
        } else if now >= self.stand_at {
            self.stand(now, true);
        }
        self.finish(out);
    }

    fn ask_others(&mut self, now: Micros) {
        let Some(doubt) = &mut self.doubt else { return };
        if now < doubt.next_ask {
            return;
        }
        doubt.next_ask = now + self.settings.heartbeat_interval;
        let mut all: BTreeSet<ReplicaName> = self.replicas().iter().cloned().collect();
        all.extend(self.settings.replicas.iter().cloned());
        if let Some(doubt) = &self.doubt {
            all.extend(doubt.told.values().flat_map(|t| t.keepers.iter().cloned()));
        }
        all.remove(&self.settings.name);
        self.sends.extend(all.into_iter().map(|k| (k, Message::RecoveryRequest)));
    }

    /// Looks whether the doubt has an end.
    fn settle(&mut self, now: Micros) {
        let own = self.holds();
        let Some(doubt) = &self.doubt else { return };
        let Some(end) = doubt.end(now, &self.settings.name, &own, self.settings.vote_recovery_timeout) else {
            return;
        };
        self.doubt = None;
        self.put_off(now);
        match end {
            End::First => {
                self.saved.formed = true;
                self.dirty = true;
            }
            End::Known(term, last) => {
                if term > self.saved.term {
                    self.saved.voted = None;
                }
                self.saved.term = term;
                // A vote in this term may have been given and forgotten: there is none any more.
                self.saved.voted.get_or_insert_with(|| self.settings.name.clone());
                self.dirty = true;
                self.debt = last;
                self.pay();
            }
        }
    }

    /// What was owed is held, if the log now ends there or later.
    fn pay(&mut self) {
        if self.last_position() >= self.debt {
            self.debt = Position::default();
        }
    }

    fn holds(&self) -> Told {
        Told {
            term: self.saved.term,
            last: self.last_position(),
            empty: !self.saved.formed && self.last_position().index == 0,
            keepers: self.replicas().to_vec(),
        }
    }

    fn put_off(&mut self, now: Micros) {
        let election = self.settings.election_timeout;
        self.stand_at = now + election + self.rng.random_range(0..=election);
    }

    // ---- votes ----

    fn stand(&mut self, now: Micros, before: bool) {
        self.put_off(now);
        // Guards against owing what nobody has any more: what another held and lost before it was agreed
        // on. Nobody leads, so all are asked again; what was agreed on is still held by enough of them.
        if self.last_position() < self.debt {
            self.leader = None;
            self.standing = Standing::Follows;
            self.doubt = Some(Doubt { since: now, clean: self.clean, told: BTreeMap::new(), next_ask: now });
            return self.ask_others(now);
        }
        // Who is no keeper, or has never been in a fleet, does not stand.
        if !self.is_keeper() || self.holds().empty {
            return;
        }
        self.leader = None;
        if !before {
            self.saved.term += 1;
            self.saved.voted = Some(self.settings.name.clone());
            self.dirty = true;
        }
        let term = self.saved.term + u64::from(before);
        self.standing = Standing::Stands(before, BTreeSet::from([self.settings.name.clone()]));
        let last = self.last_position();
        for keeper in self.fellows() {
            self.sends.push((keeper, Message::RequestVote { term, last, before }));
        }
        self.count_votes(now);
    }

    fn fellows(&self) -> Vec<ReplicaName> {
        self.replicas().iter().filter(|k| **k != self.settings.name).cloned().collect()
    }

    fn count_votes(&mut self, now: Micros) {
        let Standing::Stands(before, votes) = &self.standing else { return };
        let keepers = self.replicas();
        if votes.iter().filter(|v| keepers.contains(v)).count() < majority(keepers.len()) {
            return;
        }
        if *before {
            return self.stand(now, false);
        }
        self.lead(now);
    }

    fn lead(&mut self, now: Micros) {
        self.standing = Standing::Leads;
        self.leader = Some(self.settings.name.clone());
        self.led_since = now;
        self.joining = None;
        self.others.clear();
        // The first log of all begins with who the keepers are, so that a base is never needed for it.
        let first = self.last_position().index == 0;
        let what =
            if first { LogCommand::ChangeReplicas(self.replicas().to_vec()) } else { LogCommand::Noop };
        self.saved.log.entries.push(Entry { term: self.saved.term, what });
        self.dirty = true;
        self.next_beat = now + self.settings.heartbeat_interval;
        self.follow_up();
        self.spread(now);
        self.agree(now);
    }

    fn step_back(&mut self, now: Micros, term: u64) {
        if term > self.saved.term {
            self.saved.term = term;
            self.saved.voted = None;
            self.dirty = true;
        }
        if self.standing == Standing::Leads {
            self.leader = None;
            for (_, number) in std::mem::take(&mut self.waiting).into_values() {
                self.done.push(Output::Refused(number, ProposalError::LeadershipLost));
            }
        }
        self.joining = None;
        self.standing = Standing::Follows;
        self.put_off(now);
    }

    // ---- messages ----

    /// Takes a message of another keeper in.
    pub fn receive(&mut self, now: Micros, from: &ReplicaName, message: Message, out: &mut Vec<Output>) {
        if *from == self.settings.name {
            return;
        }
        match message {
            Message::RecoveryRequest => {
                let Told { term, last, empty, keepers } = self.holds();
                self.sends.push((from.clone(), Message::RecoveryResponse { term, last, empty, keepers }));
            }
            Message::RecoveryResponse { term, last, empty, keepers } => {
                if let Some(doubt) = &mut self.doubt {
                    doubt.told.insert(from.clone(), Told { term, last, empty, keepers });
                    self.settle(now);
                }
            }
            // Until it knows what it has promised it promises nothing, and confirms nothing.
            _ if self.doubt.is_some() => {}
            Message::RequestVote { term, last, before } => self.asked(now, from, term, last, before),
            Message::RequestVoteResponse { term, given, before } => {
                self.voted(now, from, term, given, before)
            }
            Message::AppendEntries { term, after, entries, commit, sent } => {
                if self.follows(now, from, term, sent) {
                    self.append(now, from, after, entries, commit, sent);
                }
            }
            Message::AppendEntriesResponse { term, agrees, last, sent } => {
                if self.heard(now, from, term, sent) {
                    self.appended(now, from, agrees, last);
                }
            }
            Message::InstallSnapshot { term, at, keepers, from: start, of, bytes, sent } => {
                if self.follows(now, from, term, sent) {
                    self.take_part(from, (at, keepers), (start, of, bytes), sent);
                }
            }
            Message::InstallSnapshotResponse { term, at, upto, sent } => {
                if self.heard(now, from, term, sent) && at == self.saved.log.base {
                    if let Some(progress) = self.others.get_mut(from) {
                        progress.snapshot = upto;
                    }
                    self.bring(now, from);
                }
            }
        }
        self.finish(out);
    }

    fn asked(&mut self, now: Micros, from: &ReplicaName, term: u64, last: Position, before: bool) {
        // Guards against a keeper that was cut off and, back again, topples a leader that is well; the
        // lease of the lead rests on it.
        let led = self.standing == Standing::Leads && self.leadership(now).is_some();
        if now < self.loyal_until || led {
            return;
        }
        let enough = last >= self.last_position().max(self.debt);
        if before {
            let given = term > self.saved.term && enough;
            let term = if given { term } else { self.saved.term };
            return self.sends.push((from.clone(), Message::RequestVoteResponse { term, given, before }));
        }
        if term > self.saved.term {
            self.step_back(now, term);
        }
        let free = self.saved.voted.as_ref().is_none_or(|v| v == from);
        let given = term == self.saved.term && enough && free;
        if given {
            self.saved.voted = Some(from.clone());
            self.dirty = true;
            self.put_off(now);
        }
        self.sends
            .push((from.clone(), Message::RequestVoteResponse { term: self.saved.term, given, before }));
    }

    fn voted(&mut self, now: Micros, from: &ReplicaName, term: u64, given: bool, before: bool) {
        if !given {
            if term > self.saved.term {
                self.step_back(now, term);
            }
            return;
        }
        let wanted = self.saved.term + u64::from(before);
        if let Standing::Stands(asking, votes) = &mut self.standing {
            if *asking == before && term == wanted {
                votes.insert(from.clone());
                self.count_votes(now);
            }
        }
    }

    /// A leader's word: whether it leads in this keeper's eyes.
    fn follows(&mut self, now: Micros, from: &ReplicaName, term: u64, sent: Micros) -> bool {
        if term < self.saved.term {
            let no = Message::AppendEntriesResponse { term: self.saved.term, agrees: false, last: 0, sent };
            self.sends.push((from.clone(), no));
            return false;
        }
        if term > self.saved.term || self.standing != Standing::Follows {
            self.step_back(now, term);
        }
        self.leader = Some(from.clone());
        self.loyal_until = now + self.settings.loyal();
        self.put_off(now);
        true
    }

    /// A follower's word: whether it is about this lead.
    fn heard(&mut self, now: Micros, from: &ReplicaName, term: u64, sent: Micros) -> bool {
        if term > self.saved.term {
            self.step_back(now, term);
        }
        if self.standing != Standing::Leads || term < self.saved.term || sent > now {
            return false;
        }
        let Some(progress) = self.others.get_mut(from) else { return false };
        // What was sent in an earlier lead says nothing of this one.
        if sent >= self.led_since {
            progress.heard = progress.heard.max(Some(sent));
        }
        true
    }

    fn append(
        &mut self,
        now: Micros,
        from: &ReplicaName,
        after: Position,
        entries: Vec<Entry>,
        commit: u64,
        sent: Micros,
    ) {
        let last = self.last_position().index;
        let log = &mut self.saved.log;
        let mut answer = |agrees, last| {
            let term = self.saved.term;
            self.sends.push((from.clone(), Message::AppendEntriesResponse { term, agrees, last, sent }));
        };
        let known = after.index <= log.base.index || log.term_of(after.index) == Some(after.term);
        if !known {
            return answer(false, last.min(after.index.saturating_sub(1)));
        }
        let upto = after.index + entries.len() as u64;
        for (index, entry) in (after.index + 1..).zip(entries) {
            if index <= log.base.index {
                continue;
            }
            match log.term_of(index) {
                Some(term) if term == entry.term => {}
                other => {
                    if other.is_some() {
                        log.cut(index);
                    }
                    log.entries.push(entry);
                    self.dirty = true;
                }
            }
        }
        answer(true, upto);
        if !self.saved.formed {
            self.saved.formed = true;
            self.dirty = true;
        }
        self.pay();
        let agreed = commit.min(upto);
        if agreed > self.commit {
            self.commit = agreed;
            self.apply(now);
        }
    }

    fn take_part(
        &mut self,
        from: &ReplicaName,
        (at, keepers): (Position, Vec<ReplicaName>),
        (start, of, bytes): (u32, u32, Vec<u8>),
        sent: Micros,
    ) {
        let term = self.saved.term;
        if at.index <= self.commit {
            // Everything before what is agreed on here is the same everywhere.
            let last = self.commit;
            return self
                .sends
                .push((from.clone(), Message::AppendEntriesResponse { term, agrees: true, last, sent }));
        }
        if of > MAX_SNAPSHOT {
            return;
        }
        if self.incoming.as_ref().is_none_or(|i| i.at != at) {
            self.incoming = Some(Incoming { at, bytes: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return };
        if start as usize == incoming.bytes.len() {
            incoming.bytes.extend(bytes);
        }
        let upto = incoming.bytes.len() as u32;
        if upto < of {
            return self
                .sends
                .push((from.clone(), Message::InstallSnapshotResponse { term, at, upto, sent }));
        }
        let whole = self.incoming.take().map(|i| i.bytes).unwrap_or_default();
        let Some(register) = KeyValueStore::decode(&whole) else { return };
        self.register = register;
        self.saved.log = Log { base: at, keepers, snapshot: whole, entries: Vec::new() };
        self.saved.formed = true;
        (self.commit, self.applied) = (at.index, at.index);
        (self.dirty, self.changed) = (true, true);
        self.pay();
        self.sends.push((
            from.clone(),
            Message::AppendEntriesResponse { term, agrees: true, last: at.index, sent },
        ));
    }

    fn appended(&mut self, now: Micros, from: &ReplicaName, agrees: bool, last: u64) {
        let own = self.last_position().index;
        let Some(progress) = self.others.get_mut(from) else { return };
        if agrees {
            progress.matched = progress.matched.max(last.min(own));
            progress.next = progress.next.max(progress.matched + 1);
            progress.snapshot = 0;
        } else {
            // Guards against a disk that went back under a lead that goes on: what it had confirmed it
            // no longer has.
            progress.matched = progress.matched.min(last);
            progress.next = progress.next.min(last + 1).max(1);
        }
        let behind = progress.matched < own;
        self.agree(now);
        if behind && self.standing == Standing::Leads {
            self.bring(now, from);
        }
    }

    // ---- the lead ----

    /// Reckons with those that are keepers now, and with the one that is to be.
    fn follow_up(&mut self) {
        let mut wanted: BTreeSet<ReplicaName> = self.fellows().into_iter().collect();
        wanted.extend(self.joining.clone());
        wanted.remove(&self.settings.name);
        self.others.retain(|k, _| wanted.contains(k));
        let next = self.last_position().index;
        for keeper in wanted {
            let fresh = Progress { next, matched: 0, heard: None, snapshot: 0 };
            self.others.entry(keeper).or_insert(fresh);
        }
    }

    fn spread(&mut self, now: Micros) {
        for keeper in self.others.keys().cloned().collect::<Vec<_>>() {
            self.bring(now, &keeper);
        }
    }

    /// Sends a keeper what it lacks, or a sign of life.
    fn bring(&mut self, now: Micros, whom: &ReplicaName) {
        let Some(progress) = self.others.get(whom) else { return };
        let (log, term) = (&self.saved.log, self.saved.term);
        let message = match log.term_of(progress.next - 1) {
            Some(before) => Message::AppendEntries {
                term,
                after: Position { term: before, index: progress.next - 1 },
                entries: log.from(progress.next, MAX_CARRY),
                commit: self.commit,
                sent: now,
            },
            None => {
                let of = log.snapshot.len() as u32;
                let from = progress.snapshot.min(of);
                let end = (from as usize + MAX_CARRY).min(of as usize);
                let bytes = log.snapshot[from as usize..end].to_vec();
                let keepers = log.keepers.clone();
                Message::InstallSnapshot { term, at: log.base, keepers, from, of, bytes, sent: now }
            }
        };
        self.sends.push((whom.clone(), message));
    }

    /// What a majority holds, and this term has made, is agreed on.
    fn agree(&mut self, now: Micros) {
        if self.standing != Standing::Leads {
            return;
        }
        let mut held: Vec<u64> = Vec::new();
        for keeper in self.replicas() {
            held.push(if *keeper == self.settings.name {
                self.last_position().index
            } else {
                self.others.get(keeper).map_or(0, |p| p.matched)
            });
        }
        held.sort_unstable_by(|a, b| b.cmp(a));
        let agreed = held.get(majority(held.len()) - 1).copied().unwrap_or(0);
        if agreed > self.commit && self.saved.log.term_of(agreed) == Some(self.saved.term) {
            self.commit = agreed;
            self.apply(now);
            if self.standing == Standing::Leads {
                self.spread(now);
            }
        }
    }

    /// Makes what is agreed on, in order.
    fn apply(&mut self, now: Micros) {
        while self.applied < self.commit {
            self.applied += 1;
            let Some(entry) = self.saved.log.get(self.applied) else { break };
            let made = match &entry.what {
                LogCommand::Write(write) => self.register.apply(write),
                LogCommand::Noop | LogCommand::ChangeReplicas(_) => Ok(self.applied),
            };
            self.changed = true;
            if let Some((term, number)) = self.waiting.remove(&self.applied) {
                let own = term == entry.term;
                let lost = Output::Refused(number, ProposalError::LeadershipLost);
                self.done.push(if own { Output::Done(number, made) } else { lost });
            }
        }
        // Who has made itself leave goes when that is agreed on.
        if self.standing == Standing::Leads
            && !self.is_keeper()
            && self.commit >= self.saved.log.last_change()
        {
            self.spread(now);
            self.step_back(now, self.saved.term);
        }
        if (self.applied - self.saved.log.base.index) as usize > self.settings.log_entries_before_snapshot {
            let snapshot = self.register.encode();
            self.saved.log.compact(self.applied, snapshot);
            self.dirty = true;
        }
    }

    fn finish(&mut self, out: &mut Vec<Output>) {
        if std::mem::take(&mut self.dirty) {
            out.push(Output::Save(postcard::to_stdvec(&self.saved).unwrap_or_default()));
        }
        out.extend(self.sends.drain(..).map(|(to, message)| Output::Send(to, message)));
        out.append(&mut self.done);
        if std::mem::take(&mut self.changed) {
            out.push(Output::Changed);
        }
    }
}

#[cfg(test)]
mod tests;
