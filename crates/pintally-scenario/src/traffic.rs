//! Generates the clients' requests from a seed, in sessions whose prompts grow with each turn.

use std::time::Duration;

use pintally_config::NodeSettings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

use crate::spec::{ClassTraffic, Traffic};

/// Bytes that count as one token, for clients as for engines.
const BYTES_PER_TOKEN: u64 = 4;
/// Sessions kept between turns; beyond this number the oldest is dropped.
const MAX_OPEN_SESSIONS: usize = 4096;

/// One request, before a node is chosen for it.
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
    pub obeys_retry_after: bool,
    /// Two draws from 0 to 1 for early leaving: the client leaves early if the first is below the share of
    /// clients that do, after the part of its patience that the second gives.
    pub early_leave: (f64, f64),
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

/// Generates requests from a seed.
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
    /// Creates a generator of `traffic` for clients in `zones` zones.
    pub fn new(traffic: &Traffic, settings: &NodeSettings, zones: usize, seed: u64) -> TrafficGenerator {
        let patience = |c: &ClassTraffic| {
            let index = settings.core.classes.iter().position(|k| k.name == c.name);
            Duration::from_micros(index.map_or(1_000_000, |i| settings.classes[i].default_client_timeout))
        };
        TrafficGenerator {
            patience: traffic.classes.iter().map(patience).collect(),
            zones,
            rng: ChaCha8Rng::seed_from_u64(seed),
            // The popularity of shared texts follows Zipf's law.
            popularity: Zipf::new(traffic.shared_texts as f64, 1.0)
                .unwrap_or_else(|_| Zipf::new(1.0, 1.0).expect("one text")),
            open: Vec::new(),
            sessions: 0,
            traffic: traffic.clone(),
        }
    }

    /// Time until the next request, at `rate` times the usual rate.
    pub fn next_interval(&mut self, rate: f64) -> Duration {
        let per_second = (self.traffic.per_second * rate).max(1e-3);
        let gap_s = Exp::new(per_second).map_or(1.0, |e| e.sample(&mut self.rng));
        Duration::from_secs_f64(gap_s.min(60.0))
    }

    /// Next request; `hot_text_share` of the requests begin with one common text.
    pub fn next_request(&mut self, hot_text_share: f64) -> RequestDraft {
        let class = self.pick_weighted(&self.traffic.classes.iter().map(|c| c.share).collect::<Vec<_>>());
        let is_hot = self.rng.random::<f64>() < hot_text_share;
        let open_of_class: Vec<usize> =
            (0..self.open.len()).filter(|&i| self.open[i].class == class).collect();
        let turns = self.traffic.classes[class].turns;
        let mean_turns = (turns.0 + turns.1) as f64 / 2.0;
        let continues =
            !is_hot && !open_of_class.is_empty() && self.rng.random::<f64>() < 1.0 - 1.0 / mean_turns;
        let mut session = if continues {
            let at = open_of_class[self.rng.random_range(0..open_of_class.len())];
            self.open.swap_remove(at)
        } else {
            self.new_session(class, is_hot)
        };
        let class_traffic = self.traffic.classes[class].clone();
        let added_tokens = self.rng.random_range(class_traffic.added_tokens.0..=class_traffic.added_tokens.1);
        session.text.push_str(&text(self.rng.random(), added_tokens));
        session.turns = session.turns.saturating_sub(1);
        let patience_share =
            self.rng.random_range(class_traffic.patience_share.0..=class_traffic.patience_share.1);
        let draft = RequestDraft {
            class: class_traffic.name.clone(),
            tenant: session.tenant.clone(),
            zone: self.rng.random_range(0..self.zones),
            session: session.id,
            prefix: session.prefix,
            prefix_tokens: session.prefix_tokens,
            prompt: session.text.clone(),
            max_tokens: self.rng.random_range(class_traffic.answer_tokens.0..=class_traffic.answer_tokens.1),
            patience: self.patience[class].mul_f64(patience_share),
            streamed: self.rng.random::<f64>() < self.traffic.streamed_share,
            obeys_retry_after: self.rng.random::<f64>() < self.traffic.obey_retry_after_share,
            early_leave: (self.rng.random(), self.rng.random()),
        };
        if session.turns > 0 {
            self.open.push(session);
            if self.open.len() > MAX_OPEN_SESSIONS {
                self.open.remove(0);
            }
        }
        draft
    }

    /// Next request, assigned to one tenant.
    pub fn next_request_of(&mut self, tenant: &str) -> RequestDraft {
        let mut draft = self.next_request(0.0);
        draft.tenant = Some(tenant.to_string());
        draft.session |= 1 << 40;
        draft
    }

    fn new_session(&mut self, class: usize, is_hot: bool) -> Session {
        let class_traffic = &self.traffic.classes[class];
        let (turns, shared_text_share) = (class_traffic.turns, class_traffic.shared_text_share);
        let prefix = match is_hot {
            true => Some(1 << 20),
            false if self.rng.random::<f64>() < shared_text_share => {
                Some(self.popularity.sample(&mut self.rng) as u64)
            }
            false => None,
        };
        let (min_tokens, max_tokens) = self.traffic.shared_tokens;
        let tenants: Vec<f64> = self.traffic.tenants.iter().map(|t| t.1).collect();
        let tenant_index = if tenants.is_empty() { None } else { Some(self.pick_weighted(&tenants)) };
        let tenant_bits = tenant_index
            .filter(|_| self.traffic.texts_per_tenant && !is_hot)
            .map_or(0, |p| (p as u64 + 1) << 24);
        let prefix = prefix.map(|p| p | tenant_bits);
        let prefix_tokens =
            prefix.map_or(0, |p| ChaCha8Rng::seed_from_u64(p).random_range(min_tokens..=max_tokens));
        let tenant = tenant_index.map(|p| self.traffic.tenants[p].0.clone());
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

    fn pick_weighted(&mut self, shares: &[f64]) -> usize {
        let mut remaining = self.rng.random::<f64>() * shares.iter().sum::<f64>();
        for (index, share) in shares.iter().enumerate() {
            remaining -= share;
            if remaining < 0.0 {
                return index;
            }
        }
        shares.len() - 1
    }
}

/// A text of `tokens` tokens, derived from `seed`.
fn text(seed: u64, tokens: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..tokens * BYTES_PER_TOKEN)
        .map(|i| {
            if i % BYTES_PER_TOKEN == BYTES_PER_TOKEN - 1 {
                ' '
            } else {
                char::from(b'a' + rng.random_range(0..26u8))
            }
        })
        .collect()
}
