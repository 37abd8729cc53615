//! The configuration that this node holds, and its synchronisation from peers and the store.

use crate::limits::PULL_TIMEOUT;
use std::sync::Arc;
use zinniahatch_base::digest_text;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::ConfigError;
use zinniahatch_config::ConfigHead;
use zinniahatch_config::PartTexts;
use zinniahatch_protocol::NodeMessage;

/// Bytes of configuration parts sent in one frame; the receiver requests the rest again.
const MAX_OFFER_BYTES: usize = 512 << 10;

/// Result of a received message.
#[derive(Debug)]
pub enum SyncStep {
    /// Nothing to do.
    Nothing,
    /// Send this message to the peer that sent the head or parts.
    Reply(NodeMessage),
    /// A newer revision is now in force.
    Adopted(Revision),
    /// A newer revision was received but is invalid.
    Refused(ConfigError),
}

/// The configuration in force, its head and parts, and the revision being fetched.
#[derive(Debug, Default)]
pub struct ConfigSyncer {
    head: ConfigHead,
    parts: BTreeMap<PartHash, Box<str>>,
    config: Arc<ClusterConfig>,
    pending: Option<ConfigHead>,
    pull_in_flight: Option<(NodeId, Instant)>,
    learned: Option<(Revision, Instant)>,
    pull_delay: Duration,
}

impl ConfigSyncer {
    /// Returns the revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<ClusterConfig> {
        &self.config
    }

    /// Returns the head in force.
    pub fn head(&self) -> &ConfigHead {
        &self.head
    }

    /// Returns the text of a part by its digest.
    pub fn part(&self, hash: &str) -> Option<&str> {
        self.parts.get(hash).map(|text| &**text)
    }

    /// Returns the texts of the parts in force.
    pub fn texts(&self) -> PartTexts {
        texts_of(&self.head, &self.parts).unwrap_or_default()
    }

    /// Returns whether to pull a peer's revision now, and records the pull.
    ///
    /// One pull is in flight at a time. After a timeout another peer is tried, so an unresponsive
    /// peer delays the revision but does not block it.
    pub fn should_pull(&mut self, now: Instant, peer: &NodeId, revision: Revision) -> bool {
        if revision <= self.head.revision || !self.pull_delay_elapsed(now, revision) {
            return false;
        }
        let pulling = self
            .pull_in_flight
            .as_ref()
            .is_some_and(|(_, at)| now.duration_since(*at) < PULL_TIMEOUT);
        if pulling {
            return false;
        }
        self.pull_in_flight = Some((peer.clone(), now));
        true
    }

    /// Returns whether a newer revision is being fetched.
    pub fn is_behind(&self) -> bool {
        self.pull_in_flight.is_some()
    }

    /// Sets the delay between learning of a new revision and pulling it.
    ///
    /// The delay differs between the nodes of a data centre, so that not all of them pull from the
    /// first node that has the revision: at the design size of 330 nodes it would send 100 KB for
    /// each change.
    pub fn set_pull_delay(&mut self, pull_delay: Duration) {
        self.pull_delay = pull_delay;
    }

    fn pull_delay_elapsed(&mut self, now: Instant, revision: Revision) -> bool {
        if self.head.revision == 0 {
            return true;
        }
        match self.learned {
            Some((known, at)) if known == revision => now.duration_since(at) >= self.pull_delay,
            Some(_) | None => {
                self.learned = Some((revision, now));
                self.pull_delay.is_zero()
            }
        }
    }

    /// Returns the response to a peer's pull of the head.
    pub fn offer_head(
        &self,
        encode: impl Fn(&ConfigHead) -> Option<Box<str>>,
    ) -> Option<NodeMessage> {
        if self.head.revision == 0 {
            return None;
        }
        encode(&self.head).map(NodeMessage::HeadOffer)
    }

    /// Returns the response to a peer's pull of parts.
    pub fn offer_parts(&self, hashes: &[PartHash]) -> NodeMessage {
        let mut texts = Vec::new();
        let mut size = 0;
        for hash in hashes {
            let Some(text) = self.parts.get(hash) else {
                continue;
            };
            size += text.len();
            texts.push(text.clone());
            if size > MAX_OFFER_BYTES {
                break;
            }
        }
        NodeMessage::PartOffer(texts)
    }

    /// Applies a head from a peer or the store and requests its missing parts.
    pub fn apply_head(&mut self, head: ConfigHead) -> SyncStep {
        let newest = self
            .pending
            .as_ref()
            .map_or(self.head.revision, |pending| pending.revision);
        // A store restored from a backup may have an older head; revisions never go backwards.
        if head.revision <= newest.max(self.head.revision) && self.pending.as_ref() != Some(&head) {
            return SyncStep::Nothing;
        }
        self.pending = Some(head);
        self.try_adopt()
    }

    /// Applies texts of parts, each stored under the digest of its content.
    pub fn apply_parts(&mut self, texts: Vec<Box<str>>) -> SyncStep {
        for text in texts {
            self.parts.insert(digest_text(&text), text);
        }
        self.try_adopt()
    }

    /// Returns the digests of the parts that the pending head still needs.
    pub fn missing(&self) -> Vec<PartHash> {
        let Some(pending) = &self.pending else {
            return Vec::new();
        };
        pending
            .parts
            .values()
            .filter(|hash| !self.parts.contains_key(*hash))
            .cloned()
            .collect()
    }

    fn try_adopt(&mut self) -> SyncStep {
        let missing = self.missing();
        if !missing.is_empty() {
            return SyncStep::Reply(NodeMessage::PartPull(missing));
        }
        let Some(pending) = self.pending.take() else {
            self.drop_unused_parts();
            return SyncStep::Nothing;
        };
        self.pull_in_flight = None;
        if pending.revision <= self.head.revision {
            return SyncStep::Nothing;
        }
        let texts = texts_of(&pending, &self.parts).unwrap_or_default();
        match ClusterConfig::build(&pending, &texts) {
            Ok(config) => {
                self.config = Arc::new(config);
                self.head = pending;
                self.drop_unused_parts();
                SyncStep::Adopted(self.head.revision)
            }
            Err(error) => SyncStep::Refused(error),
        }
    }

    /// Drops parts that the head in force does not reference, to bound memory.
    fn drop_unused_parts(&mut self) {
        let used: BTreeSet<&PartHash> = self.head.parts.values().collect();
        self.parts.retain(|hash, _| used.contains(hash));
    }
}

fn texts_of(head: &ConfigHead, parts: &BTreeMap<PartHash, Box<str>>) -> Option<PartTexts> {
    let mut texts = PartTexts::new();
    for (name, hash) in &head.parts {
        texts.insert(name.clone(), parts.get(hash)?.clone());
    }
    Some(texts)
}
