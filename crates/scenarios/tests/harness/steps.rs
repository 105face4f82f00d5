//! The steps of a scenario, one a line. Each returns a result that does not depend on timing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::process::Command;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use anyhow::bail;
use anyhow::ensure;
use sapphirepost_verifier::Outcome;

use crate::harness::callers::Callers;
use crate::harness::callers::Sending;
use crate::harness::cluster::Cluster;
use crate::harness::cluster::Port;
use crate::harness::cluster::wait_for;
use crate::harness::history;

/// The time from the start of the command line to the kill of the leader: proposal and
/// confirmation are then under way or just done.
const KILL_AFTER: Duration = Duration::from_millis(30);
/// Fewer sendings than this do not show that a fault was met under load.
const SENDINGS_MIN: usize = 50;
const WAIT: Duration = Duration::from_secs(25);
/// The target after which a leaving upstream gets nothing new.
const LEAVING_MAX_MS: u64 = 3_000;

/// A running scenario.
pub struct Scenario {
    cluster: Cluster,
    callers: Option<Callers>,
    sendings: Vec<Sending>,
    frozen: BTreeSet<String>,
}

impl Scenario {
    pub fn new(number: u8) -> Scenario {
        Scenario {
            cluster: Cluster::new(number),
            callers: None,
            sendings: Vec::new(),
            frozen: BTreeSet::new(),
        }
    }

    /// Carries out all steps; ends at the first that fails.
    pub fn run(&mut self, steps: &str) -> String {
        let mut output = String::new();
        for step in steps.lines() {
            match self.step(step) {
                Ok(result) => writeln!(output, "{step}: {result}").unwrap(),
                Err(error) => {
                    writeln!(output, "{step}: failed: {error:#}").unwrap();
                    eprintln!("{output}{}", self.cluster.logs());
                    return output;
                }
            }
        }
        output
    }

    fn step(&mut self, step: &str) -> anyhow::Result<String> {
        let words: Vec<&str> = step.split_whitespace().collect();
        match words.as_slice() {
            ["start", sizes @ ..] => {
                let size = |name| number(sizes, name);
                let (control, entries) = (size("control")?, size("entries")?);
                let (workers, upstreams) = (size("workers")?, size("upstreams")?);
                self.cluster.start(control, entries, workers, upstreams)?;
                ok()
            }
            ["confirm", "run", kind, name, options @ ..] => self.run_job(kind, name, options),
            ["kill", "leader", "during", "run", kind, name, options @ ..] => {
                self.kill_leader_during(kind, name, options)
            }
            ["config", "wait", key, value, options @ ..] => self.config_wait(key, value, options),
            ["kill", "control", which] => self.each(which, "control", Cluster::kill),
            ["kill", "entry", which] => self.each(which, "entry", Cluster::kill),
            ["restart", "control", which] => self.each(which, "control", Cluster::restart),
            ["restart", "entry", which] => self.each(which, "entry", Cluster::restart),
            ["freeze", kind, which] => self.freeze(kind, which),
            ["thaw"] => self.thaw(),
            ["replace", "control", which] => self.replace_control(which),
            ["cut", "domain", domain] => {
                self.cluster.relays.cut(domain);
                ok()
            }
            ["heal"] => {
                self.cluster.relays.heal();
                ok()
            }
            ["hold", seconds] => {
                thread::sleep(Duration::from_secs(seconds.parse()?));
                ok()
            }
            ["wait", "entries", "ready"] => self.wait_entries(),
            ["wait", "control", "voters", count] => self.wait_voters(count.parse()?),
            ["wait", job, counts @ ..] => self.wait_job(job, counts),
            ["requests", "start", options @ ..] => self.start_requests(options),
            ["requests", "stop", options @ ..] => self.stop_requests(options),
            ["leave", upstream] => {
                self.cluster
                    .signal(&format!("upstream-{upstream}"), "-TERM")?;
                ok()
            }
            ["left", upstream] => self.left(upstream),
            ["tasks", job, rest @ ..] => self.tasks(job, rest),
            ["check", "versions"] => self.check_versions(),
            ["check", "journals"] => self.check_journals(),
            _ => bail!("unknown step"),
        }
    }

    fn run_job(&self, kind: &str, name: &str, options: &[&str]) -> anyhow::Result<String> {
        let mut arguments = vec!["run", kind, name, "--team", "team", "--yes"];
        let mut flags = Vec::new();
        for option in options {
            let (key, value) = option.split_once('=').context("key=value")?;
            flags.extend([format!("--{}", key.replace('_', "-")), value.to_owned()]);
        }
        if !options
            .iter()
            .any(|option| option.starts_with("resources="))
        {
            flags.extend(["--resources", "1000m/512Mi"].map(str::to_owned));
        }
        arguments.extend(flags.iter().map(String::as_str));
        self.cluster.json(&arguments)?;
        ok()
    }

    /// Kills the leader while the command line confirms a job through the entries.
    fn kill_leader_during(
        &mut self,
        kind: &str,
        name: &str,
        options: &[&str],
    ) -> anyhow::Result<String> {
        let leader = self.cluster.leader()?;
        let process = self.cluster.process_id(&leader)?;
        let killer = thread::spawn(move || {
            thread::sleep(KILL_AFTER);
            Command::new("kill").args(["-KILL", &process]).status()
        });
        let result = self.run_job(kind, name, options);
        killer.join().unwrap()?;
        self.cluster.kill(&leader)?;
        result
    }

    /// Sets a value with `--wait` through entry 1; the result names the entries that lack it.
    fn config_wait(&self, key: &str, value: &str, options: &[&str]) -> anyhow::Result<String> {
        let wait_ms = number(options, "wait_ms").unwrap_or(12_000).to_string();
        let arguments = [
            "config",
            "set",
            key,
            value,
            "--yes",
            "--wait",
            "--wait-ms",
            &wait_ms,
        ];
        let (code, output, errors) = self.cluster.operate(&[1], &arguments);
        let lacking = output
            .lines()
            .find_map(|line| line.strip_prefix("not confirmed by: "));
        match (code, lacking) {
            (0, None) => Ok("in force everywhere".to_owned()),
            (5, Some(lacking)) => Ok(format!("exit code 5, not confirmed by {lacking}")),
            _ => bail!("exit code {code}: {output}{errors}"),
        }
    }

    /// The processes that `which` names: `all`, `leader`, `follower` or a number.
    fn select(&self, kind: &str, which: &str) -> anyhow::Result<Vec<String>> {
        Ok(match which {
            "all" => self.cluster.names(&format!("{kind}-")),
            "leader" => vec![self.cluster.leader()?],
            "follower" => {
                let leader = self.cluster.leader()?;
                let mut names = self.cluster.names("control-");
                names.retain(|name| *name != leader);
                names.truncate(1);
                names
            }
            "ended" => {
                let mut names = self.cluster.names(&format!("{kind}-"));
                names.retain(|name| !self.cluster.is_running(name));
                names
            }
            _ if kind == "worker-of" => vec![self.worker_of(which)?],
            _ => vec![format!("{kind}-{which}")],
        })
    }

    fn each(
        &mut self,
        which: &str,
        kind: &str,
        act: fn(&mut Cluster, &str) -> anyhow::Result<()>,
    ) -> anyhow::Result<String> {
        for name in self.select(kind, which)? {
            act(&mut self.cluster, &name)?;
        }
        ok()
    }

    fn freeze(&mut self, kind: &str, which: &str) -> anyhow::Result<String> {
        for name in self.select(kind, which)? {
            self.cluster.signal(&name, "-STOP")?;
            self.frozen.insert(name);
        }
        ok()
    }

    fn thaw(&mut self) -> anyhow::Result<String> {
        for name in &self.frozen {
            self.cluster.signal(name, "-CONT")?;
        }
        ok()
    }

    /// Kills a control process, deletes its data directory, and replaces it as docs/operators.md
    /// says.
    fn replace_control(&mut self, which: &str) -> anyhow::Result<String> {
        let name = self.select("control", which)?.remove(0);
        let index: usize = name.trim_start_matches("control-").parse()?;
        let listed = self.cluster.json(&["control", "list"])?;
        let members = listed["members"].as_array().context("members")?;
        let port = format!(":{}", Port::ControlInner as usize + index);
        let old = members
            .iter()
            .find(|m| m["address"].as_str().is_some_and(|a| a.ends_with(&port)))
            .context("the member is not listed")?;
        let old = format!("member{}", old["member"]);
        self.cluster.kill(&name)?;
        std::fs::remove_dir_all(self.cluster.path(&name))?;
        self.cluster.json(&["control", "remove", &old, "--yes"])?;
        let new = self.cluster.create_member(index)?;
        let (member, address) = new.split_once('@').context("member@address")?;
        ensure!(member != old, "the new directory has the old identity");
        self.cluster.restart(&name)?;
        self.cluster
            .json(&["control", "add", member, address, "--yes"])?;
        ok()
    }

    fn wait_voters(&self, count: usize) -> anyhow::Result<String> {
        wait_for("voters", WAIT, || {
            let listed = self.cluster.json(&["control", "list"])?;
            let members = listed["members"].as_array().context("members")?;
            Ok(members.iter().filter(|m| m["voter"] == true).count() == count)
        })?;
        ok()
    }

    fn wait_entries(&self) -> anyhow::Result<String> {
        wait_for("ready entries", WAIT, || {
            Ok((1..=self.cluster.entries).all(|index| self.cluster.is_entry_ready(index)))
        })?;
        ok()
    }

    fn wait_job(&self, name: &str, counts: &[&str]) -> anyhow::Result<String> {
        let mut seen = String::new();
        let result = wait_for("the counts", WAIT, || {
            let status = self.cluster.json(&["status"])?;
            let jobs = status["status"]["jobs"].as_array().context("jobs")?;
            let job = jobs.iter().find(|job| job["name"] == name);
            let job = job.context("no such job")?;
            seen = job.to_string();
            counts.iter().try_fold(true, |met, count| {
                let (key, value) = count.split_once('=').context("key=value")?;
                Ok(met && job[key] == value.parse::<u64>()?)
            })
        });
        result.with_context(|| seen)?;
        ok()
    }

    fn start_requests(&mut self, options: &[&str]) -> anyhow::Result<String> {
        let run_ms = number(options, "run_ms").unwrap_or(20);
        let entries: Vec<_> = (1..=self.cluster.entries)
            .map(|index| self.cluster.listens(Port::Callers, index))
            .collect();
        self.callers = Some(Callers::start(&entries, run_ms as u64));
        ok()
    }

    /// Each request ended as done, or with an answer that was lost or unknown; none was only
    /// refused. With `unanswered=some` the fault must have met requests, with `unanswered=none` it
    /// must not.
    fn stop_requests(&mut self, options: &[&str]) -> anyhow::Result<String> {
        let callers = self.callers.take().context("no callers")?;
        let sendings = callers.stop();
        ensure!(
            sendings.len() > SENDINGS_MIN,
            "only {} sendings",
            sendings.len()
        );
        let mut ends: BTreeMap<&str, (bool, usize)> = BTreeMap::new();
        for sending in &sendings {
            let (is_done, open) = ends.entry(&sending.request).or_default();
            *is_done |= sending.outcome == Some(Outcome::Done);
            *open += usize::from(matches!(sending.outcome, None | Some(Outcome::Unknown)));
        }
        let done = ends.values().filter(|(is_done, _)| *is_done).count();
        let open: usize = ends.values().map(|(_, open)| open).sum();
        let (requests, sent) = (ends.len(), sendings.len());
        eprintln!("{requests} requests, {sent} sendings, {done} done, {open} lost or unknown");
        let only_refused = ends.iter().find(|(_, end)| **end == (false, 0));
        ensure!(only_refused.is_none(), "{only_refused:?} was only refused");
        ensure!(
            done * 10 >= requests * 9,
            "only {done} of {requests} are done"
        );
        match options {
            [] => {}
            ["unanswered=some"] => ensure!(open > 0, "the fault met no request"),
            ["unanswered=none"] => ensure!(open == 0, "{open} answers lost or unknown"),
            _ => bail!("unknown option"),
        }
        self.sendings.extend(sendings);
        ok()
    }

    /// An upstream has left: it ended by itself, and nothing new reached it after 3 s.
    fn left(&mut self, upstream: &str) -> anyhow::Result<String> {
        let name = format!("upstream-{upstream}");
        self.cluster.wait_exit(&name)?;
        let journal = history::read(&self.cluster.path("requests.journal"))?;
        let own = || {
            journal
                .iter()
                .filter(|line| line["upstream"] == name.as_str())
        };
        ensure!(
            own().any(|line| line["event"] == "leaving"),
            "did not leave"
        );
        ensure!(
            own().any(|line| line["event"] == "request_ran"),
            "it never had a request"
        );
        let late = own()
            .filter_map(|line| line["leaving_ms"].as_u64())
            .filter(|ms| *ms > LEAVING_MAX_MS)
            .count();
        Ok(format!("{late} new requests after {LEAVING_MAX_MS} ms"))
    }

    /// Waits for counts of attempts in the journal: `tasks web domain=c running=2` of those that
    /// run, `tasks web reason=lease_end stopped=2` of those that ended.
    fn tasks(&self, job: &str, options: &[&str]) -> anyhow::Result<String> {
        let option = |name: &str| {
            let words = options.iter().filter_map(|word| word.split_once('='));
            words.into_iter().find(|(key, _)| *key == name)
        };
        let domain = option("domain").map_or("", |(_, domain)| domain);
        let reason = option("reason").map(|(_, reason)| reason);
        let mut seen = (0, 0);
        let result = wait_for("the counts", WAIT, || {
            seen = self.count_tasks(job, &format!("worker-{domain}"), reason)?;
            let running = number(options, "running").unwrap_or(seen.0);
            let stopped = number(options, "stopped").unwrap_or(seen.1);
            Ok(seen == (running, stopped))
        });
        result.with_context(|| format!("{} run, {} stopped", seen.0, seen.1))?;
        ok()
    }

    /// How many attempts of a job run, and how many have stopped, on workers whose names start
    /// with `prefix`.
    fn count_tasks(
        &self,
        job: &str,
        prefix: &str,
        reason: Option<&str>,
    ) -> anyhow::Result<(usize, usize)> {
        let journal = history::read(&self.cluster.path("tasks.journal"))?;
        let mut running = BTreeSet::new();
        let mut stopped = 0;
        for line in &journal {
            let worker = line["worker"].as_str().context("worker")?;
            if !worker.starts_with(prefix) {
                continue;
            }
            let key = (worker, line["task"].as_u64(), line["attempt"].as_u64());
            if line["event"] == "task_started" && line["job"] == job {
                running.insert(key);
            }
            if line["event"] == "task_stopped" && running.remove(&key) {
                stopped += usize::from(reason.is_none_or(|reason| line["reason"] == reason));
            }
        }
        Ok((running.len(), stopped))
    }

    /// A worker that runs a task of a job.
    fn worker_of(&self, job: &str) -> anyhow::Result<String> {
        let workers = self.cluster.names("worker-");
        let counts = workers.into_iter().map(|worker| {
            let (running, _) = self.count_tasks(job, &worker, None)?;
            Ok((worker, running))
        });
        let counts = counts.collect::<anyhow::Result<Vec<_>>>()?;
        let found = counts.into_iter().find(|(_, running)| *running > 0);
        Ok(found.context("no worker runs it")?.0)
    }

    /// The versions that each entry's log says it applied only rise, since its last start.
    fn check_versions(&self) -> anyhow::Result<String> {
        let mut applied = 0;
        for index in 1..=self.cluster.entries {
            let log = std::fs::read_to_string(self.cluster.path(&format!("entry-{index}.log")))?;
            let mut last = 0;
            for line in log.lines().filter(|l| l.contains("configuration applied")) {
                let (_, rest) = line.split_once("version=").context("no version")?;
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                let version: u64 = digits.parse()?;
                ensure!(
                    version >= last,
                    "entry {index} went from {last} to {version}"
                );
                last = version;
                applied += 1;
            }
        }
        ensure!(applied > 0, "no entry logged a version");
        Ok("versions only rise".to_owned())
    }

    fn check_journals(&self) -> anyhow::Result<String> {
        let tasks = history::read(&self.cluster.path("tasks.journal"))?;
        let requests = history::read(&self.cluster.path("requests.journal"))?;
        let found = history::violations(&tasks, &requests, &self.sendings, &self.frozen)?;
        ensure!(!tasks.is_empty(), "no worker wrote a journal");
        Ok(match found.is_empty() {
            true => "no violations".to_owned(),
            false => found.join("; "),
        })
    }
}

fn ok() -> anyhow::Result<String> {
    Ok("ok".to_owned())
}

/// The number after `name=`.
fn number(words: &[&str], name: &str) -> anyhow::Result<usize> {
    let found = words
        .iter()
        .filter_map(|word| word.split_once('='))
        .find(|(key, _)| *key == name)
        .with_context(|| format!("{name}=<number> is missing"))?;
    Ok(found.1.parse()?)
}
