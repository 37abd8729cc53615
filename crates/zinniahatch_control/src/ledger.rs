//! The configuration that this node holds, and how it follows those ahead of it.

use crate::limits::PULL_PATIENCE;
use std::sync::Arc;
use zinniahatch_base::digest_text;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::ConfigError;
use zinniahatch_config::ConfigHead;
use zinniahatch_config::PartTexts;
use zinniahatch_protocol::NodeMessage;

/// Bytes of parts that one frame offers; the rest is pulled again.
const OFFER_BYTES: usize = 512 << 10;

/// What a received message led to.
#[derive(Debug)]
pub enum LedgerStep {
    /// Nothing to do.
    Nothing,
    /// Send this to the peer that wrote.
    Reply(NodeMessage),
    /// A newer revision is in force from now on.
    Adopted(Revision),
    /// A newer revision came but cannot be read.
    Refused(ConfigError),
}

/// Head, parts, and the revision that is being fetched.
#[derive(Debug, Default)]
pub struct ConfigLedger {
    head: ConfigHead,
    parts: BTreeMap<PartHash, Box<str>>,
    config: Arc<ClusterConfig>,
    coming: Option<ConfigHead>,
    asked: Option<(NodeId, Instant)>,
    heard: Option<(Revision, Instant)>,
    patience: Duration,
}

impl ConfigLedger {
    /// Gives the revision in force here; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Gives the configuration in force here.
    pub fn config(&self) -> &Arc<ClusterConfig> {
        &self.config
    }

    /// Gives the head in force here.
    pub fn head(&self) -> &ConfigHead {
        &self.head
    }

    /// Gives the text of a part by its digest.
    pub fn part(&self, hash: &str) -> Option<&str> {
        self.parts.get(hash).map(|text| &**text)
    }

    /// Gives the texts of the parts in force.
    pub fn texts(&self) -> PartTexts {
        texts_of(&self.head, &self.parts).unwrap_or_default()
    }

    /// Says whether a peer's revision is worth a pull now, and notes the pull.
    ///
    /// One peer is asked at a time; another is asked when it does not answer, so a peer that
    /// cannot answer delays the revision and does not stop it.
    pub fn wants_pull(&mut self, now: Instant, peer: &NodeId, revision: Revision) -> bool {
        if revision <= self.head.revision || !self.has_waited(now, revision) {
            return false;
        }
        let busy = self
            .asked
            .as_ref()
            .is_some_and(|(_, at)| now.duration_since(*at) < PULL_PATIENCE);
        if busy {
            return false;
        }
        self.asked = Some((peer.clone(), now));
        true
    }

    /// Says whether a newer revision is being fetched.
    pub fn is_behind(&self) -> bool {
        self.asked.is_some()
    }

    /// Sets how long this node waits after it heard of a new revision before it pulls it.
    ///
    /// The nodes of a data centre wait unequally long, so that not all of them pull from the one
    /// that has it first: at design size that one would send 100 KB for each change.
    pub fn set_patience(&mut self, patience: Duration) {
        self.patience = patience;
    }

    fn has_waited(&mut self, now: Instant, revision: Revision) -> bool {
        if self.head.revision == 0 {
            return true;
        }
        match self.heard {
            Some((known, at)) if known == revision => now.duration_since(at) >= self.patience,
            Some(_) | None => {
                self.heard = Some((revision, now));
                self.patience.is_zero()
            }
        }
    }

    /// Answers a peer's pull of the head.
    pub fn offer_head(
        &self,
        encode: impl Fn(&ConfigHead) -> Option<Box<str>>,
    ) -> Option<NodeMessage> {
        if self.head.revision == 0 {
            return None;
        }
        encode(&self.head).map(NodeMessage::HeadOffer)
    }

    /// Answers a peer's pull of parts.
    pub fn offer_parts(&self, hashes: &[PartHash]) -> NodeMessage {
        let mut texts = Vec::new();
        let mut size = 0;
        for hash in hashes {
            let Some(text) = self.parts.get(hash) else {
                continue;
            };
            size += text.len();
            texts.push(text.clone());
            if size > OFFER_BYTES {
                break;
            }
        }
        NodeMessage::PartOffer(texts)
    }

    /// Takes a head from a peer or the store; asks for the parts that are missing.
    pub fn take_head(&mut self, head: ConfigHead) -> LedgerStep {
        let newest = self
            .coming
            .as_ref()
            .map_or(self.head.revision, |coming| coming.revision);
        // A store restored from a copy may show an older head: nobody goes back.
        if head.revision <= newest.max(self.head.revision) && self.coming.as_ref() != Some(&head) {
            return LedgerStep::Nothing;
        }
        self.coming = Some(head);
        self.try_adopt()
    }

    /// Takes texts of parts; a text is only kept under its own digest.
    pub fn take_parts(&mut self, texts: Vec<Box<str>>) -> LedgerStep {
        for text in texts {
            self.parts.insert(digest_text(&text), text);
        }
        self.try_adopt()
    }

    /// Gives the digests of parts that the coming head needs.
    pub fn missing(&self) -> Vec<PartHash> {
        let Some(coming) = &self.coming else {
            return Vec::new();
        };
        coming
            .parts
            .values()
            .filter(|hash| !self.parts.contains_key(*hash))
            .cloned()
            .collect()
    }

    fn try_adopt(&mut self) -> LedgerStep {
        let missing = self.missing();
        if !missing.is_empty() {
            return LedgerStep::Reply(NodeMessage::PartPull(missing));
        }
        let Some(coming) = self.coming.take() else {
            self.parts_in_use();
            return LedgerStep::Nothing;
        };
        self.asked = None;
        if coming.revision <= self.head.revision {
            return LedgerStep::Nothing;
        }
        let texts = texts_of(&coming, &self.parts).unwrap_or_default();
        match ClusterConfig::build(&coming, &texts) {
            Ok(config) => {
                self.config = Arc::new(config);
                self.head = coming;
                self.parts_in_use();
                LedgerStep::Adopted(self.head.revision)
            }
            Err(error) => LedgerStep::Refused(error),
        }
    }

    /// Drops parts that the head in force does not name, so that memory stays bounded.
    fn parts_in_use(&mut self) {
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
