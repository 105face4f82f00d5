//! Stand-ins and judges of the cases 6 to 10 of the second review. Only the standard library.
//!
//! `standin-2 CASE FOLDER` starts the project's programs, plays the disruption (not with
//! `TROUBLE=0`), writes `record.txt` into FOLDER, ends all processes, and exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod processes;
mod record;
mod runner;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new();
    record.note(&format!("case {case}, disruption: {trouble}"));
    let outcome = cases::run(case, trouble, &record);
    let code = match outcome {
        Ok(breaks) if breaks.is_empty() => {
            record.note("RESULT: the rule held");
            0
        }
        Ok(breaks) => {
            for text in breaks {
                record.note(&format!("BROKEN: {text}"));
            }
            1
        }
        Err(problem) => {
            record.note(&format!("the case could not run: {problem}"));
            2
        }
    };
    if let Err(error) = record.write(&PathBuf::from(folder).join("record.txt")) {
        eprintln!("cannot write record.txt: {error}");
        exit(2);
    }
    exit(code);
}
