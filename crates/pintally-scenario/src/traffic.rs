//! What clients send and when: drawn from the seed, in sessions whose prompts grow.

use std::time::Duration;

use pintally_config::NodeSettings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

use crate::spec::{ClassTraffic, Traffic};

/// Bytes that stand for one token, at clients and engines alike.
const BYTES: u64 = 4;
/// Sessions between turns; beyond it the oldest is given up.
const MAX_OPEN: usize = 4096;

/// One request before it has a node.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct RequestDraft {
    pub class: String,
    pub tenant: Option<String>,
    pub zone: usize,
    pub session: u64,
    pub prefix: Option<u64>,
    pub prefix_tokens: u64,
    pub prompt: String,
    pub max_tokens: u64,
    pub patience: Duration,
    pub streamed: bool,
    pub heeds: bool,
    /// Where in its patience it leaves, should clients leave early, and whether it is one of those.
    pub leaves: (f64, f64),
}

struct Session {
    class: usize,
    tenant: Option<String>,
    id: u64,
    prefix: Option<u64>,
    prefix_tokens: u64,
    text: String,
    turns: u64,
}

/// Draws requests.
pub struct TrafficGenerator {
    traffic: Traffic,
    patience: Vec<Duration>,
    zones: usize,
    rng: ChaCha8Rng,
    popularity: Zipf<f64>,
    open: Vec<Session>,
    sessions: u64,
}

impl TrafficGenerator {
    /// Draws what `traffic` says from a seed, for clients in so many zones.
    pub fn new(traffic: &Traffic, settings: &NodeSettings, zones: usize, seed: u64) -> TrafficGenerator {
        let patience = |c: &ClassTraffic| {
            let index = settings.core.classes.iter().position(|k| k.name == c.name);
            Duration::from_micros(index.map_or(1_000_000, |i| settings.classes[i].default_client_timeout))
        };
        TrafficGenerator {
            patience: traffic.classes.iter().map(patience).collect(),
            zones,
            rng: ChaCha8Rng::seed_from_u64(seed),
            // Popularity falls as the rank grows, as of texts everywhere.
            popularity: Zipf::new(traffic.shared as f64, 1.0)
                .unwrap_or_else(|_| Zipf::new(1.0, 1.0).expect("one text")),
            open: Vec::new(),
            sessions: 0,
            traffic: traffic.clone(),
        }
    }

    /// The time until the next request, at a multiple of the usual rate.
    pub fn gap(&mut self, rate: f64) -> Duration {
        let per_second = (self.traffic.per_second * rate).max(1e-3);
        let gap = Exp::new(per_second).map_or(1.0, |e| e.sample(&mut self.rng));
        Duration::from_secs_f64(gap.min(60.0))
    }

    /// The next request; `hot` is the share that begins with one text of its own.
    pub fn draw(&mut self, hot: f64) -> RequestDraft {
        let class = self.pick(&self.traffic.classes.iter().map(|c| c.share).collect::<Vec<_>>());
        let hot = self.rng.random::<f64>() < hot;
        let ready: Vec<usize> = (0..self.open.len()).filter(|&i| self.open[i].class == class).collect();
        let turns = self.traffic.classes[class].turns;
        let mean = (turns.0 + turns.1) as f64 / 2.0;
        let goes_on = !hot && !ready.is_empty() && self.rng.random::<f64>() < 1.0 - 1.0 / mean;
        let mut session = if goes_on {
            let at = ready[self.rng.random_range(0..ready.len())];
            self.open.swap_remove(at)
        } else {
            self.begin(class, hot)
        };
        let kind = self.traffic.classes[class].clone();
        let adds = self.rng.random_range(kind.adds.0..=kind.adds.1);
        session.text.push_str(&text(self.rng.random(), adds));
        session.turns = session.turns.saturating_sub(1);
        let part = self.rng.random_range(kind.patience.0..=kind.patience.1);
        let draft = RequestDraft {
            class: kind.name.clone(),
            tenant: session.tenant.clone(),
            zone: self.rng.random_range(0..self.zones),
            session: session.id,
            prefix: session.prefix,
            prefix_tokens: session.prefix_tokens,
            prompt: session.text.clone(),
            max_tokens: self.rng.random_range(kind.answer.0..=kind.answer.1),
            patience: self.patience[class].mul_f64(part),
            streamed: self.rng.random::<f64>() < self.traffic.streamed,
            heeds: self.rng.random::<f64>() < self.traffic.heed,
            leaves: (self.rng.random(), self.rng.random()),
        };
        if session.turns > 0 {
            self.open.push(session);
            if self.open.len() > MAX_OPEN {
                self.open.remove(0);
            }
        }
        draft
    }

    /// The next request of one tenant.
    pub fn draw_for(&mut self, tenant: &str) -> RequestDraft {
        let mut draft = self.draw(0.0);
        draft.tenant = Some(tenant.to_string());
        draft.session |= 1 << 40;
        draft
    }

    fn begin(&mut self, class: usize, hot: bool) -> Session {
        let kind = &self.traffic.classes[class];
        let (turns, shared) = (kind.turns, kind.shared);
        let prefix = match hot {
            true => Some(1 << 20),
            false if self.rng.random::<f64>() < shared => Some(self.popularity.sample(&mut self.rng) as u64),
            false => None,
        };
        let (least, most) = self.traffic.shared_tokens;
        let tenants: Vec<f64> = self.traffic.tenants.iter().map(|t| t.1).collect();
        let place = if tenants.is_empty() { None } else { Some(self.pick(&tenants)) };
        let own = place.filter(|_| self.traffic.own_texts && !hot).map_or(0, |p| (p as u64 + 1) << 24);
        let prefix = prefix.map(|p| p | own);
        let prefix_tokens = prefix.map_or(0, |p| ChaCha8Rng::seed_from_u64(p).random_range(least..=most));
        let tenant = place.map(|p| self.traffic.tenants[p].0.clone());
        self.sessions += 1;
        Session {
            class,
            tenant,
            id: self.sessions,
            prefix,
            prefix_tokens,
            text: prefix.map_or(String::new(), |p| text(p, prefix_tokens)),
            turns: self.rng.random_range(turns.0..=turns.1),
        }
    }

    fn pick(&mut self, shares: &[f64]) -> usize {
        let mut left = self.rng.random::<f64>() * shares.iter().sum::<f64>();
        for (index, share) in shares.iter().enumerate() {
            left -= share;
            if left < 0.0 {
                return index;
            }
        }
        shares.len() - 1
    }
}

/// A text of so many tokens: the same for the same number.
fn text(of: u64, tokens: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(of);
    (0..tokens * BYTES)
        .map(|i| if i % BYTES == BYTES - 1 { ' ' } else { char::from(b'a' + rng.random_range(0..26u8)) })
        .collect()
}
