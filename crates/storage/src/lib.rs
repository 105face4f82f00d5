//! Durable log.
