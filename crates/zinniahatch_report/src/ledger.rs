//! The hourly value in the store, and what it knows of whose counts are in it.

use crate::CountSheet;
use zinniahatch_base::prelude::*;

domain! {
    /// Which counts of one incarnation are merged.
    pub struct MergedMark {
        /// The node.
        pub node: NodeId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// The numbers merged, as ranges with both ends; one range unless sheets overtook another.
        pub ranges: Vec<(u64, u64)>,
        /// Whether the node said that no counts follow.
        pub closed: bool,
        /// Minute, from the epoch, of the newest counts merged.
        pub minute: u64,
    }

    /// Minutes of a node about which nothing is known.
    #[derive(Eq)]
    pub struct GapNote {
        /// The node.
        pub node: NodeId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// First minute, from the epoch.
        pub from: u64,
        /// Last minute, from the epoch.
        pub until: u64,
    }

    /// One data centre's counts of one hour.
    #[derive(Default)]
    pub struct HourLedger {
        /// The counts.
        pub sheet: CountSheet,
        /// Whose counts are in it.
        pub marks: Vec<MergedMark>,
        /// What is not known.
        pub gaps: Vec<GapNote>,
    }
}

impl HourLedger {
    /// Merges numbered counts of a node, once, however often it is tried.
    ///
    /// A merge whose answer was lost is tried again; the mark that was written together with the
    /// counts shows that they are in.
    pub fn merge(
        &mut self,
        node: &str,
        incarnation: Incarnation,
        number: u64,
        minute: u64,
        sheet: &CountSheet,
    ) -> bool {
        let mark = self.mark(node, incarnation);
        if !mark.insert(number) {
            return false;
        }
        mark.minute = mark.minute.max(minute);
        // Counts of a node that was judged dead show that it lived, and what it did.
        self.gaps
            .retain(|gap| gap.incarnation != incarnation || gap.until > minute);
        self.sheet.merge(sheet);
        true
    }

    /// Notes that a node was stopped as planned, after its last counts.
    pub fn close(&mut self, node: &str, incarnation: Incarnation) {
        self.mark(node, incarnation).closed = true;
    }

    /// Notes minutes that no counts cover, for a node that died.
    pub fn note_gap(&mut self, gap: GapNote) {
        if !self.gaps.contains(&gap) {
            self.gaps.push(gap);
        }
    }

    /// Takes a gap back; gives whether it was there.
    pub fn take_back(&mut self, gap: &GapNote) -> bool {
        let before = self.gaps.len();
        self.gaps.retain(|known| known != gap);
        before != self.gaps.len()
    }

    fn mark(&mut self, node: &str, incarnation: Incarnation) -> &mut MergedMark {
        let known = self
            .marks
            .iter()
            .position(|mark| &*mark.node == node && mark.incarnation == incarnation);
        let index = known.unwrap_or_else(|| {
            self.marks.push(MergedMark {
                node: node.into(),
                incarnation,
                ranges: Vec::new(),
                closed: false,
                minute: 0,
            });
            self.marks.len() - 1
        });
        &mut self.marks[index]
    }
}

impl MergedMark {
    /// Adds a number; gives whether it is new.
    fn insert(&mut self, number: u64) -> bool {
        if self
            .ranges
            .iter()
            .any(|(from, until)| (*from..=*until).contains(&number))
        {
            return false;
        }
        self.ranges.push((number, number));
        self.ranges.sort_unstable();
        let mut joined: Vec<(u64, u64)> = Vec::new();
        for (from, until) in self.ranges.drain(..) {
            match joined.last_mut() {
                Some(last) if last.1 + 1 == from => last.1 = until,
                Some(_) | None => joined.push((from, until)),
            }
        }
        self.ranges = joined;
        true
    }
}
