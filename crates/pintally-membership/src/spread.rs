//! What is passed on with other packets, and how often (SWIM's infection-style spread).

use std::collections::BTreeMap;

use crate::facts::Topic;
use crate::identity::PeerName;

/// Each piece of news goes out this many times the logarithm of the fleet's size.
const TIMES: f64 = 3.0;

/// What a piece of news is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum News {
    Member(PeerName),
    GossipFact(PeerName, Topic),
}

/// News that is still passed on, and how often each piece has been.
#[derive(Default)]
pub(crate) struct Spread {
    told: BTreeMap<News, u32>,
}

impl Spread {
    /// Something is new: it is passed on from the start.
    pub(crate) fn add(&mut self, news: News) {
        self.told.insert(news, 0);
    }

    /// Something is not to be spoken of any more.
    pub(crate) fn drop(&mut self, news: &News) {
        self.told.remove(news);
    }

    /// The pieces that were told least, the least first.
    pub(crate) fn next(&self) -> Vec<News> {
        let mut all: Vec<(u32, &News)> = self.told.iter().map(|(n, t)| (*t, n)).collect();
        all.sort_unstable();
        all.into_iter().map(|(_, n)| n.clone()).collect()
    }

    /// A piece has gone out once more, in a fleet of so many.
    pub(crate) fn told(&mut self, news: &News, peers: usize) {
        let most = (TIMES * ((peers + 2) as f64).log2()).ceil() as u32;
        if let Some(times) = self.told.get_mut(news) {
            *times += 1;
            if *times >= most {
                self.told.remove(news);
            }
        }
    }

    /// Pieces still passed on.
    pub(crate) fn len(&self) -> usize {
        self.told.len()
    }
}
