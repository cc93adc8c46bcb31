//! Specifications, block chains and a clock for the tests.
#![allow(dead_code)]

use std::collections::BTreeMap;

use pintally_emulator::*;

pub const BLOCK: u64 = 16;

pub fn cost() -> Cost {
    Cost { step: 4000.0, read_token: 50.0, write_token: 100.0, context: 20.0 }
}

pub fn spec(kind: EngineRole) -> Spec {
    Spec {
        kind,
        slots: 8,
        queue: 16,
        blocks: 400,
        block_tokens: BLOCK,
        budget: 512,
        cost: cost(),
        cold: None,
        state_ttl: 5_000_000,
        load_reporting: LoadReporting { every: 100_000, delay: 50_000, noise: 0.0 },
        port: 1000.0,
        dedup: 0,
    }
}

pub fn network() -> NetworkSpec {
    NetworkSpec { rack: 4000.0, zone: 2000.0, token_bytes: 20_000.0 }
}

/// Block chain of a prompt; different `text` numbers share no prefix.
pub fn chain(text: u64, tokens: u64) -> Vec<BlockHash> {
    (0..tokens / BLOCK).map(|b| text << 32 | b).collect()
}

pub fn read(id: WorkId, text: u64, prompt: u64) -> Work {
    Work { id, reads_only: true, fetches: None, chain: chain(text, prompt), prompt, answer: 0, key: None }
}

pub fn fetch(id: WorkId, state: WorkId, text: u64, prompt: u64, answer: u64) -> Work {
    Work {
        id,
        reads_only: false,
        fetches: Some(state),
        chain: chain(text, prompt),
        prompt,
        answer,
        key: None,
    }
}

pub fn both(id: WorkId, text: u64, prompt: u64, answer: u64) -> Work {
    Work { id, reads_only: false, fetches: None, chain: chain(text, prompt), prompt, answer, key: None }
}

/// A fleet with its clock and all notices that it has emitted.
pub struct World {
    pub fleet: Fleet,
    pub now: Micros,
    pub notices: Vec<(Micros, usize, Notice)>,
}

impl World {
    pub fn new(specs: &[Spec], seed: u64) -> World {
        let mut fleet = Fleet::new(network(), seed);
        for (n, spec) in specs.iter().enumerate() {
            fleet.add(spec.clone(), Place { zone: n as u32 % 2, rack: n as u32 % 3 });
        }
        World { fleet, now: 0, notices: Vec::new() }
    }

    fn record_notices(&mut self, out: Vec<(usize, Notice)>) {
        self.notices.extend(out.into_iter().map(|(n, notice)| (self.now, n, notice)));
        self.fleet.check().unwrap();
    }

    pub fn submit(&mut self, engine: usize, work: Work, source: Option<usize>) {
        let mut out = Vec::new();
        self.fleet.submit(self.now, engine, work, source, &mut out);
        self.record_notices(out);
    }

    pub fn act(&mut self, f: impl FnOnce(&mut Fleet, Micros, &mut Vec<(usize, Notice)>)) {
        let mut out = Vec::new();
        f(&mut self.fleet, self.now, &mut out);
        self.record_notices(out);
    }

    /// Processes everything that is due until a time.
    pub fn until(&mut self, end: Micros) {
        while let Some(at) = self.fleet.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.act(pintally_emulator::Fleet::tick);
        }
        self.now = end;
    }

    /// Time of the first notice that matches.
    pub fn at(&self, fits: impl Fn(&Notice) -> bool) -> Option<Micros> {
        self.notices.iter().find(|(.., n)| fits(n)).map(|s| s.0)
    }

    /// The notices that ended each piece of work.
    pub fn ends(&self) -> BTreeMap<WorkId, Vec<Notice>> {
        let mut ends: BTreeMap<WorkId, Vec<Notice>> = BTreeMap::new();
        for (.., notice) in &self.notices {
            if let Some(id) = notice.ends() {
                ends.entry(id).or_default().push(*notice);
            }
        }
        ends
    }

    /// All notices as text.
    pub fn record(&self) -> String {
        self.notices.iter().map(|(at, n, notice)| format!("{at} {n} {notice:?}\n")).collect()
    }
}
