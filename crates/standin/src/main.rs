//! The `sapphirepost-standin` program.

fn main() {}
