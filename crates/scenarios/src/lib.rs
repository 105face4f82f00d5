//! End-to-end fault tests: all programs of the system run as real processes while faults are
//! injected, and the journals of the stand-in workers and upstreams are checked against the
//! invariants. All code is in `tests/`.
