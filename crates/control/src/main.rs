//! The `sapphirepost-control` program.

fn main() {}
