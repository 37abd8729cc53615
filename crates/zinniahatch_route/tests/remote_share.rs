//! Simulation of a regional peak: streams of one region on its few replicas alone, or on those of
//! an idle region too.

use std::collections::VecDeque;
use zinniahatch_base::prelude::*;
use zinniahatch_route::GapMeter;
use zinniahatch_route::StreamModel;
use zinniahatch_route::remote_share;

/// Time of a decoding step, which generates a token for each stream, in ms.
const STEP_TIME: f64 = 3.0;
/// Prefill time of a prompt, during which all streams of the replica pause, in ms.
const PREFILL_TIME: f64 = 120.0;
/// Events per stream, and decoding steps per event.
const EVENTS: u32 = 40;
const STEPS_PER_EVENT: u32 = 8;
/// Time between two requests of the region at its peak, in ms.
const ARRIVAL_INTERVAL: f64 = 90.0;
/// Round trip to the other region, in ms.
const ROUND_TRIP: f64 = 160.0;

/// Simulated engine, which prefills prompts between decoding steps.
struct SimulatedEngine {
    now: f64,
    waiting: VecDeque<f64>,
    /// Streams by start of the request, completed steps, and time of the last event.
    streams: Vec<(f64, u32, f64)>,
    meter: GapMeter,
    model: StreamModel,
    durations: Vec<f64>,
    start: Instant,
}

impl SimulatedEngine {
    fn new(start: Instant) -> Self {
        Self {
            now: 0.0,
            waiting: VecDeque::new(),
            streams: Vec::new(),
            meter: GapMeter::new(start),
            model: StreamModel::new(start),
            durations: Vec::new(),
            start,
        }
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now / 1e3)
    }

    /// Runs until a time: repeatedly one decoding step for all streams, then the prefill of one
    /// prompt if any waits.
    fn run_until(&mut self, until: f64) {
        while self.now < until {
            if self.waiting.is_empty() && self.streams.is_empty() {
                self.now = until;
                return;
            }
            self.now += STEP_TIME;
            if let Some(arrived) = self.waiting.pop_front() {
                self.now += PREFILL_TIME;
                self.streams.push((arrived, 0, self.now));
            }
            let (now, instant) = (self.now, self.instant());
            for (_, steps, last) in &mut self.streams {
                *steps += 1;
                if steps.is_multiple_of(STEPS_PER_EVENT) {
                    let gap = Duration::from_secs_f64((now - *last) / 1e3);
                    self.model.note_gap(&mut self.meter, gap, instant);
                    *last = now;
                }
            }
            let durations = &mut self.durations;
            self.streams.retain(|(arrived, steps, _)| {
                let active = *steps < EVENTS * STEPS_PER_EVENT;
                if !active {
                    durations.push(now - arrived);
                }
                active
            });
        }
    }

    /// Returns the expected time of a whole response.
    fn expected(&self, delay: f64) -> Duration {
        let gap = self.model.region_gap(self.instant());
        Duration::from_secs_f64((delay + PREFILL_TIME) / 1e3) + gap * EVENTS
    }
}

/// Simulates about a minute of requests; returns the mean duration of the streams in ms.
fn simulate(use_remote: bool) -> f64 {
    let start = Instant::now();
    let mut local = SimulatedEngine::new(start);
    let mut remote = SimulatedEngine::new(start);
    let mut draw = 0.0;
    for index in 0..600 {
        let at = f64::from(index) * ARRIVAL_INTERVAL;
        // The idle region has a few requests of its own, from which its decoding speed is known.
        if index % 20 == 0 {
            remote.waiting.push_back(at);
        }
        local.run_until(at);
        remote.run_until(at);
        let share = remote_share(local.expected(0.0), remote.expected(ROUND_TRIP), 0.8);
        draw = (draw + 0.618) % 1.0;
        if use_remote && index > 50 && draw < share {
            remote.waiting.push_back(at);
        } else {
            local.waiting.push_back(at);
        }
    }
    local.run_until(70_000.0);
    remote.run_until(70_000.0);
    let durations: Vec<f64> = local
        .durations
        .into_iter()
        .chain(remote.durations)
        .collect();
    durations.iter().sum::<f64>() / durations.len() as f64
}

/// Guards against choosing a region by the first event alone: at a region's peak every response
/// began in time, but its streams lasted three times as long as those of the idle region next to
/// it, and a power loss cut off all of them.
#[test]
fn remote_share_at_regional_peak() {
    let (local, both) = (simulate(false), simulate(true));
    assert!(local > 4_000.0, "{local} ms in the own region");
    assert!(
        both < local / 2.0,
        "{both} ms over both regions, {local} in the own"
    );
}

#[test]
fn remote_share_grows_with_gain() {
    let share = |remote| remote_share(Duration::from_secs(2), Duration::from_millis(remote), 0.8);
    assert!(
        share(1_600) < f64::EPSILON,
        "the gain does not exceed the margin"
    );
    assert!(share(1_400) > 0.0 && share(1_400) < share(1_200));
    assert!((share(100) - 1.0).abs() < f64::EPSILON);
    assert!(remote_share(Duration::ZERO, Duration::ZERO, 0.8) < f64::EPSILON);
}

#[test]
fn replica_gap_falls_back_to_region() {
    let now = Instant::now();
    let mut model = StreamModel::new(now);
    let (mut busy, unseen) = (GapMeter::new(now), GapMeter::new(now));
    for _ in 0..200 {
        model.note_gap(&mut busy, Duration::from_millis(60), now);
    }
    let known = model.replica_gap(&unseen, now);
    assert!(known > Duration::from_millis(55), "{known:?}");
    let later = now + Duration::from_secs(20);
    let decayed = model.region_gap(later);
    assert!(decayed < known, "an old gap loses weight: {decayed:?}");
    model.note_length(100, 12);
    assert!((model.events(50) - 6.0).abs() < 1e-9);
}
