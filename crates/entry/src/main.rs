//! The `sapphirepost-entry` program.

fn main() {}
