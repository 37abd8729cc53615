//! How far a response body has come.

/// How far a response body had come when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyPosition {
    /// Nothing of it had arrived; of a stream of events, no whole event and no part of one.
    Start,
    /// Inside an event.
    InsideEvent,
    /// After an event, or anywhere in a body without events.
    Further,
}
