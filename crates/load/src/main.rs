//! The `sapphirepost-load` program.

fn main() {}
