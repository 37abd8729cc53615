//! Changes of configuration: accepted once, or refused with nothing changed.

mod desk;

pub use desk::ChangeAsk;
pub use desk::ChangeDesk;
pub use desk::ChangeError;
pub use desk::ChangeVerdict;
pub use desk::HEAD_KEY;
pub use desk::part_key;
