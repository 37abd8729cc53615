//! Faults that a platform service can be given.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;

/// Longer than any client waits.
const SILENT_TIME: Duration = Duration::from_secs(30);

/// How a service behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceMode {
    /// As it should.
    #[default]
    Up,
    /// It refuses at once.
    Down,
    /// It takes calls and never answers; nothing takes effect.
    Silent,
    /// It answers after this delay.
    Slow(Duration),
}

/// The switch of one service, or of one region's way to it.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch {
    state: Arc<Mutex<SwitchState>>,
}

#[derive(Debug, Default)]
struct SwitchState {
    mode: ServiceMode,
    lose_answers: u32,
}

/// What a handler does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultEffect {
    /// Answer it.
    Answer,
    /// Refuse it.
    Refuse,
    /// Let it take effect, if it is a write, and lose the answer.
    LoseAnswer,
}

impl FaultSwitch {
    /// Sets the mode.
    pub fn set(&self, mode: ServiceMode) {
        self.lock().mode = mode;
    }

    /// Loses the answers of the next writes, after they took effect.
    pub fn lose_answers(&self, count: u32) {
        self.lock().lose_answers = count;
    }

    /// Decides the fate of a call, after the delay that the mode asks for.
    pub async fn effect(&self, write: bool) -> FaultEffect {
        let mode = self.lock().mode;
        match mode {
            ServiceMode::Up => {}
            ServiceMode::Down => return FaultEffect::Refuse,
            ServiceMode::Silent => {
                sleep(SILENT_TIME).await;
                return FaultEffect::Refuse;
            }
            ServiceMode::Slow(delay) => sleep(delay).await,
        }
        let mut state = self.lock();
        if write && state.lose_answers > 0 {
            state.lose_answers -= 1;
            return FaultEffect::LoseAnswer;
        }
        FaultEffect::Answer
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, SwitchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
