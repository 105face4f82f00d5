//! Placement decisions.
