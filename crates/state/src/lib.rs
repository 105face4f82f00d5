//! The replicated state machine.
