//! The `sapphirepost` program.

fn main() {}
