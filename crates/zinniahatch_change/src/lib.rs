//! Configuration changes: each is applied exactly once or refused without effect.

mod updater;

pub use updater::ChangeError;
pub use updater::ChangeOutcome;
pub use updater::ChangeRequest;
pub use updater::ConfigUpdater;
pub use updater::HEAD_KEY;
pub use updater::part_key;
