//! Checks of the invariants over recorded histories.
