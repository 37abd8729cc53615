//! Not yet.
