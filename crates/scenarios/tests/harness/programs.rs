//! Locates the programs under test in cargo's output directory, and builds them if necessary.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

const PROGRAMS: [&str; 4] = [
    "sapphirepost",
    "sapphirepost-control",
    "sapphirepost-entry",
    "sapphirepost-standin",
];

/// Returns the path of a program. The first call builds all programs if one is missing.
pub fn path(name: &str) -> PathBuf {
    static DIRECTORY: OnceLock<PathBuf> = OnceLock::new();
    DIRECTORY.get_or_init(locate).join(name)
}

fn locate() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let directory = test.parent().and_then(Path::parent).unwrap().to_owned();
    if PROGRAMS.iter().all(|name| directory.join(name).exists()) {
        return directory;
    }
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    command.args(["build", "-q", "-j4", "--target-dir"]);
    command.arg(directory.parent().unwrap());
    if directory.ends_with("release") {
        command.arg("--release");
    }
    for name in PROGRAMS {
        command.args(["-p", name]);
    }
    assert!(command.status().unwrap().success(), "the build failed");
    directory
}
