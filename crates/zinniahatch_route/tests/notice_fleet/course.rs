//! What befalls the model's nodes and its store, and what its replicas say, drawn from the seed.

use super::FleetEvent;
use super::FleetNode;
use super::FleetReplica;
use super::GateRule;
use super::NoticeFleet;
use super::STEP;
use super::WARMUP;
use super::id_of;
use super::life_of;
use crate::common::entry;
use rand::RngExt;
use std::time::Duration;
use zinniahatch_route::ReplicaEntry;

impl<G: GateRule> NoticeFleet<G> {
    pub(super) fn break_things(&mut self) {
        let chance = self.plan.faults;
        let node = self.random.random_range(0..self.nodes.len());
        if self.chance(chance) {
            self.starts += 1;
            let back = self.time + self.draw(300..3_000);
            self.nodes[node] = FleetNode::new(self.starts, back);
            self.nodes[node].dead = back;
            self.judge.excuse(node, self.time, back);
            let delay = back.saturating_sub(self.time) + STEP;
            self.plan_event(delay, FleetEvent::Relist(node));
        }
        if self.chance(chance) {
            let until = self.time + self.draw(300..3_000);
            self.nodes[node].frozen = self.nodes[node].frozen.max(until);
            self.judge.excuse(node, self.time, until);
        }
        if self.chance(chance) {
            let until = self.time + self.draw(300..5_000);
            self.nodes[node].cut = self.nodes[node].cut.max(until);
            self.judge.note_cut(node, self.time, until);
            let delay = until.saturating_sub(self.time) + STEP;
            self.plan_event(delay, FleetEvent::Relist(node));
        }
        if self.chance(chance) && !self.store.is_silent(self.time) {
            let until = self.time + self.draw(500..6_000);
            let older = self.chance(0.4).then(|| self.draw(1_000..5_000));
            self.store.go_silent(self.time, until, older);
        }
    }

    /// Draws what replicas begin to say.
    pub(super) fn say_things(&mut self) {
        for replica in 0..self.replicas.len() {
            self.end_words(replica);
            if !self.chance(self.plan.words) {
                continue;
            }
            match self.random.random_range(0..4) {
                0 if self.replicas[replica].leaving.is_none() => {
                    let ends = self.time + self.draw(5_000..10_000);
                    self.replicas[replica].leaving = Some(ends);
                    // Its entry says so later, never, or vanishes and comes back.
                    let born = self.replicas[replica].born;
                    match self.random.random_range(0..3) {
                        0 => {
                            let delay = self.draw(0..3_000);
                            self.plan_event(delay, FleetEvent::Write(replica, born));
                        }
                        1 => {
                            self.remove_entry(replica);
                            let delay = self.draw(500..3_000);
                            self.plan_event(delay, FleetEvent::Write(replica, born));
                        }
                        _ => {}
                    }
                }
                1 => {
                    let until = self.time + self.draw(200..4_000);
                    let rest = self.random.random_range(0.3..4.0);
                    self.replicas[replica].rest = Some((until, rest));
                }
                2 if self.replicas[replica].limit.is_none() => {
                    let rate = self.random.random_range(0.5..6.0);
                    self.replicas[replica].limit = Some(rate);
                    self.replicas[replica].limit_until = self.time + self.draw(8_000..14_000);
                    let tag = self.tag(replica);
                    self.judge.note_limit(tag, self.time, Some(rate));
                }
                _ => {}
            }
        }
    }

    pub(super) fn tag(&self, replica: usize) -> u32 {
        life_of(replica, self.replicas[replica].born).tag()
    }

    pub(super) fn end_words(&mut self, replica: usize) {
        let time = self.time;
        let tag = self.tag(replica);
        let row = &mut self.replicas[replica];
        row.rest = row.rest.filter(|(until, _)| *until > time);
        if row.limit.is_some() && row.limit_until <= time {
            row.limit = None;
            self.judge.note_limit(tag, time, None);
        }
        if row.leaving.is_none_or(|ends| ends > time) {
            return;
        }
        // Its next life starts under its id, and is cold.
        if row.limit.is_some() {
            self.judge.note_limit(tag, time, None);
        }
        *row = FleetReplica {
            born: row.born + 1,
            leaving: None,
            rest: None,
            limit: None,
            limit_until: Duration::ZERO,
            cold_until: time + WARMUP,
        };
        let cold = time + WARMUP;
        let tag = self.tag(replica);
        self.judge.note_cold(tag, cold);
        self.write_entry(replica);
    }

    /// Gives what the entry of a replica says; one that leaves may say so or not.
    pub(super) fn entry_of(&mut self, replica: usize) -> ReplicaEntry {
        let row = &self.replicas[replica];
        let (started_ms, cold) = (row.born, row.cold_until.saturating_sub(self.time));
        let leaving = row.leaving.is_some() && self.random.random_bool(0.5);
        ReplicaEntry {
            id: id_of(replica),
            started_ms,
            cold_for: cold,
            leaving,
            ..entry("r", "a")
        }
    }

    pub(super) fn write_entry(&mut self, replica: usize) {
        let entry = self.entry_of(replica);
        let Some(entry) = self.store.write(replica, entry, self.time) else {
            return;
        };
        for node in 0..self.nodes.len() {
            let delay = self.draw(5..300);
            self.plan_event(delay, FleetEvent::Entry(node, entry.clone()));
        }
    }

    pub(super) fn remove_entry(&mut self, replica: usize) {
        let Some(revision) = self.store.remove(replica, self.time) else {
            return;
        };
        for node in 0..self.nodes.len() {
            let delay = self.draw(5..300);
            self.plan_event(delay, FleetEvent::Gone(node, replica, revision));
        }
    }

    pub(super) fn run_store(&mut self) {
        let silent = self.store.is_silent(self.time);
        let returned = self.store.tick(self.time);
        let now = self.now();
        if silent {
            for node in &mut self.nodes {
                node.table.note_store_failure(now);
            }
        }
        if !returned.back {
            return;
        }
        for node in 0..self.nodes.len() {
            if returned.older {
                self.nodes[node].table.note_store_restored(now);
            }
            let delay = self.draw(5..600);
            self.plan_event(delay, FleetEvent::Relist(node));
        }
        for replica in 0..self.replicas.len() {
            let (delay, born) = (self.draw(0..2_000), self.replicas[replica].born);
            self.plan_event(delay, FleetEvent::Write(replica, born));
        }
    }

    pub(super) fn relist(&mut self, node: usize) {
        let now = self.now();
        if self.nodes[node].cut > self.time || self.store.is_silent(self.time) {
            return;
        }
        let (entries, revision) = self.store.list();
        for entry in &entries {
            self.nodes[node].rule.note_entry(entry);
        }
        self.nodes[node].table.apply_listing(entries, revision, now);
    }
}
