//! Scenarios of the whole system: the real programs run together under faults, and the journals of
//! the stand-ins are checked against the invariants. All code is in `tests/`.
