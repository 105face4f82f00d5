//! Parses and runs the steps of a scenario, one per line. The result of a step does not depend on
//! timing.

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
use crate::harness::callers::Submission;
use crate::harness::cluster::Cluster;
use crate::harness::cluster::Port;
use crate::harness::cluster::wait_for;
use crate::harness::history;

/// The time from the start of the command-line client to the kill of the leader. The job is then
/// being proposed or confirmed, or was just confirmed.
const KILL_DELAY: Duration = Duration::from_millis(30);
/// With fewer submissions, a scenario does not show that a fault happened under load.
const SUBMISSIONS_MIN: usize = 50;
const WAIT_TIMEOUT: Duration = Duration::from_secs(25);
/// The target for the time after which a leaving upstream receives no new requests.
const LEAVING_MAX_MS: u64 = 3_000;

/// The state of a running scenario.
pub struct Scenario {
    cluster: Cluster,
    callers: Option<Callers>,
    submissions: Vec<Submission>,
    /// Processes that were paused at any time; resuming does not remove them.
    paused: BTreeSet<String>,
}

impl Scenario {
    pub fn new(number: u8) -> Scenario {
        Scenario {
            cluster: Cluster::new(number),
            callers: None,
            submissions: Vec::new(),
            paused: BTreeSet::new(),
        }
    }

    /// Runs the steps up to the first that fails; returns the result of each.
    pub fn run(&mut self, steps: &str) -> String {
        let mut output = String::new();
        for step in steps.lines() {
            match self.run_step(step) {
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

    fn run_step(&mut self, step: &str) -> anyhow::Result<String> {
        let words: Vec<&str> = step.split_whitespace().collect();
        match words.as_slice() {
            ["start", sizes @ ..] => {
                let size = |name| parse_number(sizes, name);
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
            ["kill", "control", which] => self.apply_to(which, "control", Cluster::kill),
            ["kill", "entry", which] => self.apply_to(which, "entry", Cluster::kill),
            ["restart", "control", which] => self.apply_to(which, "control", Cluster::restart),
            ["restart", "entry", which] => self.apply_to(which, "entry", Cluster::restart),
            ["freeze", kind, which] => self.pause(kind, which),
            ["thaw"] => self.resume(),
            ["replace", "control", which] => self.replace_control(which),
            ["cut", "domain", domain] => {
                self.cluster.relays.isolate(domain);
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
            ["left", upstream] => self.check_left(upstream),
            ["tasks", job, rest @ ..] => self.wait_tasks(job, rest),
            ["check", "versions"] => self.check_versions(),
            ["check", "journals"] => self.check_journals(),
            _ => bail!("unknown step"),
        }
    }

    fn run_job(&self, kind: &str, name: &str, options: &[&str]) -> anyhow::Result<String> {
        let mut arguments = vec!["run", kind, name, "--team", "team", "--yes"];
        let mut flags = Vec::new();
        for option in options {
            let (key, value) = option.split_once('=').context("expected key=value")?;
            flags.extend([format!("--{}", key.replace('_', "-")), value.to_owned()]);
        }
        if !options
            .iter()
            .any(|option| option.starts_with("resources="))
        {
            flags.extend(["--resources", "1000m/512Mi"].map(str::to_owned));
        }
        arguments.extend(flags.iter().map(String::as_str));
        self.cluster.run_cli_json(&arguments)?;
        ok()
    }

    /// Kills the leader while the command-line client proposes and confirms a job.
    fn kill_leader_during(
        &mut self,
        kind: &str,
        name: &str,
        options: &[&str],
    ) -> anyhow::Result<String> {
        let leader = self.cluster.leader()?;
        let process = self.cluster.process_id(&leader)?;
        let killer = thread::spawn(move || {
            thread::sleep(KILL_DELAY);
            Command::new("kill").args(["-KILL", &process]).status()
        });
        let result = self.run_job(kind, name, options);
        killer.join().unwrap()?;
        self.cluster.kill(&leader)?;
        result
    }

    /// Sets a value with `--wait` through entry 1; the result names the entries that did not
    /// confirm it in time.
    fn config_wait(&self, key: &str, value: &str, options: &[&str]) -> anyhow::Result<String> {
        let wait_ms = parse_number(options, "wait_ms")
            .unwrap_or(12_000)
            .to_string();
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
        let (code, output, errors) = self.cluster.run_cli(&[1], &arguments);
        let unconfirmed = output
            .lines()
            .find_map(|line| line.strip_prefix("not confirmed by: "));
        match (code, unconfirmed) {
            (0, None) => Ok("in force everywhere".to_owned()),
            (5, Some(unconfirmed)) => Ok(format!("exit code 5, not confirmed by {unconfirmed}")),
            _ => bail!("exit code {code}: {output}{errors}"),
        }
    }

    /// Returns the names of the processes that `which` selects: `all`, `leader`, `follower`,
    /// `ended` (killed and not restarted) or the rest of a name. The kind `worker-of` selects a
    /// worker that runs a task of the job `which`.
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

    fn apply_to(
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

    fn pause(&mut self, kind: &str, which: &str) -> anyhow::Result<String> {
        for name in self.select(kind, which)? {
            self.cluster.signal(&name, "-STOP")?;
            self.paused.insert(name);
        }
        ok()
    }

    fn resume(&mut self) -> anyhow::Result<String> {
        for name in &self.paused {
            self.cluster.signal(name, "-CONT")?;
        }
        ok()
    }

    /// Kills a control process, deletes its data directory, and replaces the member by a new one
    /// with the procedure in docs/operators.md.
    fn replace_control(&mut self, which: &str) -> anyhow::Result<String> {
        let name = self.select("control", which)?.remove(0);
        let index: usize = name.trim_start_matches("control-").parse()?;
        let listed = self.cluster.run_cli_json(&["control", "list"])?;
        let members = listed["members"].as_array().context("no members")?;
        let port = format!(":{}", Port::ControlInner as usize + index);
        let old = members
            .iter()
            .find(|m| m["address"].as_str().is_some_and(|a| a.ends_with(&port)))
            .context("the member is not listed")?;
        let old = format!("member{}", old["member"]);
        self.cluster.kill(&name)?;
        std::fs::remove_dir_all(self.cluster.path(&name))?;
        self.cluster
            .change_members(&["control", "remove", &old, "--yes"])?;
        let new = self.cluster.create_member(index)?;
        let (member, address) = new.split_once('@').context("expected member@address")?;
        ensure!(
            member != old,
            "the new data directory has the old member ID"
        );
        self.cluster.restart(&name)?;
        self.cluster
            .change_members(&["control", "add", member, address, "--yes"])?;
        ok()
    }

    fn wait_voters(&self, count: usize) -> anyhow::Result<String> {
        wait_for("voters", WAIT_TIMEOUT, || {
            let listed = self.cluster.run_cli_json(&["control", "list"])?;
            let members = listed["members"].as_array().context("no members")?;
            Ok(members.iter().filter(|m| m["voter"] == true).count() == count)
        })?;
        ok()
    }

    fn wait_entries(&self) -> anyhow::Result<String> {
        wait_for("ready entries", WAIT_TIMEOUT, || {
            Ok((1..=self.cluster.entries).all(|index| self.cluster.is_entry_ready(index)))
        })?;
        ok()
    }

    fn wait_job(&self, name: &str, counts: &[&str]) -> anyhow::Result<String> {
        let mut last_status = String::new();
        let result = wait_for("the task counts", WAIT_TIMEOUT, || {
            let status = self.cluster.run_cli_json(&["status"])?;
            let jobs = status["status"]["jobs"].as_array().context("no jobs")?;
            let job = jobs.iter().find(|job| job["name"] == name);
            let job = job.context("no such job")?;
            last_status = job.to_string();
            counts.iter().try_fold(true, |met, count| {
                let (key, value) = count.split_once('=').context("expected key=value")?;
                Ok(met && job[key] == value.parse::<u64>()?)
            })
        });
        result.with_context(|| last_status)?;
        ok()
    }

    fn start_requests(&mut self, options: &[&str]) -> anyhow::Result<String> {
        let run_ms = parse_number(options, "run_ms").unwrap_or(20);
        let entries: Vec<_> = (1..=self.cluster.entries)
            .map(|index| self.cluster.listen_address(Port::Callers, index))
            .collect();
        self.callers = Some(Callers::start(&entries, run_ms as u64));
        ok()
    }

    /// Stops the callers and checks their requests. Each request must be done, or one of its
    /// submissions must have a lost response or an unknown outcome: no request may be only refused.
    /// At least 90 % of the requests must be done. With `unanswered=some` there must be lost
    /// responses or unknown outcomes, with `unanswered=none` there must be none.
    fn stop_requests(&mut self, options: &[&str]) -> anyhow::Result<String> {
        let callers = self.callers.take().context("no callers are running")?;
        let submissions = callers.stop();
        ensure!(
            submissions.len() > SUBMISSIONS_MIN,
            "only {} submissions",
            submissions.len()
        );
        let mut request_results: BTreeMap<&str, (bool, usize)> = BTreeMap::new();
        for submission in &submissions {
            let (is_done, unknown) = request_results.entry(&submission.request).or_default();
            *is_done |= submission.outcome == Some(Outcome::Done);
            *unknown += usize::from(matches!(submission.outcome, None | Some(Outcome::Unknown)));
        }
        let done = request_results
            .values()
            .filter(|(is_done, _)| *is_done)
            .count();
        let unknown: usize = request_results.values().map(|(_, unknown)| unknown).sum();
        let (requests, sent) = (request_results.len(), submissions.len());
        eprintln!(
            "{requests} requests, {sent} submissions, {done} done, {unknown} lost or unknown"
        );
        let only_refused = request_results
            .iter()
            .find(|(_, result)| **result == (false, 0));
        ensure!(only_refused.is_none(), "{only_refused:?} was only refused");
        ensure!(
            done * 10 >= requests * 9,
            "only {done} of {requests} requests are done"
        );
        match options {
            [] => {}
            ["unanswered=some"] => ensure!(unknown > 0, "the fault affected no request"),
            ["unanswered=none"] => ensure!(
                unknown == 0,
                "{unknown} responses lost or of unknown outcome"
            ),
            _ => bail!("unknown option"),
        }
        self.submissions.extend(submissions);
        ok()
    }

    /// Waits until an upstream that was asked to leave has exited. The result counts the requests
    /// that reached it more than `LEAVING_MAX_MS` after it began to leave.
    fn check_left(&mut self, upstream: &str) -> anyhow::Result<String> {
        let name = format!("upstream-{upstream}");
        self.cluster.wait_exit(&name)?;
        let journal = history::read_journal(&self.cluster.path("requests.journal"))?;
        let upstream_lines = || {
            journal
                .iter()
                .filter(|line| line["upstream"] == name.as_str())
        };
        ensure!(
            upstream_lines().any(|line| line["event"] == "leaving"),
            "the upstream did not record that it leaves"
        );
        ensure!(
            upstream_lines().any(|line| line["event"] == "request_ran"),
            "the upstream never ran a request"
        );
        let late = upstream_lines()
            .filter_map(|line| line["leaving_ms"].as_u64())
            .filter(|ms| *ms > LEAVING_MAX_MS)
            .count();
        Ok(format!("{late} new requests after {LEAVING_MAX_MS} ms"))
    }

    /// Waits until the journal shows the given numbers of attempts of a job:
    /// `tasks web domain=c running=2` counts those that run on workers in domain `c`,
    /// `tasks web reason=lease_end stopped=2` those that stopped for this reason.
    fn wait_tasks(&self, job: &str, options: &[&str]) -> anyhow::Result<String> {
        let option = |name: &str| {
            let words = options.iter().filter_map(|word| word.split_once('='));
            words.into_iter().find(|(key, _)| *key == name)
        };
        let domain = option("domain").map_or("", |(_, domain)| domain);
        let reason = option("reason").map(|(_, reason)| reason);
        let mut last_counts = (0, 0);
        let result = wait_for("the task counts", WAIT_TIMEOUT, || {
            last_counts = self.count_tasks(job, &format!("worker-{domain}"), reason)?;
            let running = parse_number(options, "running").unwrap_or(last_counts.0);
            let stopped = parse_number(options, "stopped").unwrap_or(last_counts.1);
            Ok(last_counts == (running, stopped))
        });
        result.with_context(|| format!("{} running, {} stopped", last_counts.0, last_counts.1))?;
        ok()
    }

    /// Returns how many attempts of a job run and how many have stopped (for `reason`, if given) on
    /// workers whose names start with `prefix`.
    fn count_tasks(
        &self,
        job: &str,
        prefix: &str,
        reason: Option<&str>,
    ) -> anyhow::Result<(usize, usize)> {
        let journal = history::read_journal(&self.cluster.path("tasks.journal"))?;
        let mut running = BTreeSet::new();
        let mut stopped = 0;
        for line in &journal {
            let worker = line["worker"]
                .as_str()
                .context("journal line without a worker")?;
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

    /// Returns a worker that runs a task of a job.
    fn worker_of(&self, job: &str) -> anyhow::Result<String> {
        let workers = self.cluster.names("worker-");
        let counts = workers.into_iter().map(|worker| {
            let (running, _) = self.count_tasks(job, &worker, None)?;
            Ok((worker, running))
        });
        let counts = counts.collect::<anyhow::Result<Vec<_>>>()?;
        let found = counts.into_iter().find(|(_, running)| *running > 0);
        Ok(found.context("no worker runs a task of the job")?.0)
    }

    /// Checks that the configuration versions that each entry logged as applied never decrease.
    /// The log of an entry spans its restarts.
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
                    "entry {index} applied version {version} after {last}"
                );
                last = version;
                applied += 1;
            }
        }
        ensure!(applied > 0, "no entry logged a version");
        Ok("versions only rise".to_owned())
    }

    fn check_journals(&self) -> anyhow::Result<String> {
        let tasks = history::read_journal(&self.cluster.path("tasks.journal"))?;
        let requests = history::read_journal(&self.cluster.path("requests.journal"))?;
        let found = history::violations(&tasks, &requests, &self.submissions, &self.paused)?;
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

/// Returns the number after `name=`.
fn parse_number(words: &[&str], name: &str) -> anyhow::Result<usize> {
    let found = words
        .iter()
        .filter_map(|word| word.split_once('='))
        .find(|(key, _)| *key == name)
        .with_context(|| format!("{name}=<number> is missing"))?;
    Ok(found.1.parse()?)
}
