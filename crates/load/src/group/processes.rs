//! A replicated group of control processes, and an operator that talks to it.

use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use anyhow::Context;
use anyhow::bail;
use sapphirepost_entry::control_client::CallOptions;
use sapphirepost_entry::control_client::ControlClient;
use sapphirepost_entry::control_client::ControlError;
use sapphirepost_entry::control_client::RetryPolicy;
use sapphirepost_process::SharedKey;
use sapphirepost_process::rpc;
use sapphirepost_protocol::method;
use sapphirepost_protocol::operator::Confirm;
use sapphirepost_protocol::operator::Confirmed;
use sapphirepost_protocol::operator::MemberStatus;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::operator::Propose;
use sapphirepost_types::Intent;
use sapphirepost_types::MemberId;
use sapphirepost_types::OperationId;
use tempfile::TempDir;
use tokio::runtime::Runtime;

use crate::loopback;

const KEY: &str = "experiment-shared-key-0123456789";
const FIRST_INNER_PORT: u16 = 7_100;
const FIRST_ADMIN_PORT: u16 = 7_200;
const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);
/// An operator sends again after this time without an answer.
const ATTEMPT: Duration = Duration::from_millis(500);

/// One control process.
#[derive(Debug)]
struct Member {
    id: MemberId,
    child: Option<Child>,
}

/// A group of control processes; they are killed when it is dropped.
pub struct Group {
    /// The runtime of the calls.
    pub runtime: Runtime,
    members: Vec<Member>,
    client: ControlClient,
    directory: TempDir,
    program: PathBuf,
    operations: u64,
    /// Where other processes reach each member.
    advertised: Vec<String>,
}

impl Group {
    /// Starts a group of `size` voters and waits until it has a leader.
    pub fn start(size: usize) -> anyhow::Result<Group> {
        Group::start_advertised((0..size).map(inner_address).collect())
    }

    /// Starts a group that is reached at `advertised`, with a relay between each of these
    /// addresses and [`inner_address`].
    pub fn start_advertised(advertised: Vec<String>) -> anyhow::Result<Group> {
        let size = advertised.len();
        let directory = tempfile::tempdir()?;
        std::fs::write(directory.path().join("key"), KEY)?;
        let runtime = rpc::runtime(4)?;
        let inner: Vec<String> = (0..size).map(inner_address).collect();
        let client = ControlClient::new(runtime.handle().clone(), &inner, Some(key()?));
        let mut group = Group {
            runtime,
            members: Vec::new(),
            client,
            directory,
            program: program("sapphirepost-control")?,
            operations: 0,
            advertised,
        };
        for index in 0..size {
            let id = group.create_identity(index)?;
            group.members.push(Member { id, child: None });
        }
        for index in 0..size {
            group.restart(index)?;
        }
        group.leader()?;
        Ok(group)
    }

    /// A client of its own, with a connection of its own, as an entry has.
    pub fn new_client(&self) -> anyhow::Result<ControlClient> {
        let runtime = self.runtime.handle().clone();
        Ok(ControlClient::new(runtime, &self.advertised, Some(key()?)))
    }

    /// Where other processes reach the members.
    pub fn advertised(&self) -> &[String] {
        &self.advertised
    }

    /// The file with the key of the group.
    pub fn key_file(&self) -> PathBuf {
        self.directory.path().join("key")
    }

    /// Starts a process on its directory.
    pub fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        let child = self.command(index).spawn().context("starting control")?;
        self.members[index].child = Some(child);
        Ok(())
    }

    /// Ends a process with SIGKILL.
    pub fn kill(&mut self, index: usize) -> anyhow::Result<()> {
        if let Some(mut child) = self.members[index].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// The process id of a running member.
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.members[index].child.as_ref().map(Child::id)
    }

    /// The position of the leader.
    pub fn leader(&self) -> anyhow::Result<usize> {
        let members = self.list_members()?;
        let leader = members.iter().find(|member| member.leader);
        let leader = leader.context("the leader does not list itself")?.member;
        let position = self.members.iter().position(|member| member.id == leader);
        position.context("the leader is not a member of this group")
    }

    /// Waits until a member has caught up.
    pub fn wait_for_member(&self, index: usize) -> anyhow::Result<()> {
        let id = self.members[index].id;
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            let members = self.list_members()?;
            let highest = members.iter().map(|member| member.matched).max();
            let caught_up = members
                .iter()
                .any(|member| member.member == id && Some(member.matched) == highest);
            if caught_up {
                return Ok(());
            }
            thread::sleep(POLL);
        }
        bail!("{id} has not caught up")
    }

    /// Makes a plan for an intent and confirms it; resent until the answer is certain.
    pub fn confirm(&mut self, intent: Intent) -> anyhow::Result<Confirmed> {
        let operation = self.operation()?;
        let propose = Propose { operation, intent };
        let plan = match self.operate(&OperatorRequest::Propose(propose))? {
            OperatorReply::Plan(plan) => plan,
            reply => bail!("no plan: {reply:?}"),
        };
        let confirm = Confirm {
            operation: self.operation()?,
            plan: plan.id,
        };
        match self.operate(&OperatorRequest::Confirm(confirm))? {
            OperatorReply::Confirmed(confirmed) => Ok(confirmed),
            reply => bail!("not confirmed: {reply:?}"),
        }
    }

    /// Sends a request to the leader, again until there is an answer.
    pub fn operate(&self, request: &OperatorRequest) -> Result<OperatorReply, ControlError> {
        let options = CallOptions {
            total_timeout: PATIENCE,
            attempt_timeout: ATTEMPT,
            retry: RetryPolicy::Idempotent,
        };
        self.client
            .call_blocking(method::OPERATOR, request, options)
    }

    /// Sends a request that the leader may hold for some time.
    pub fn operate_once(&self, request: &OperatorRequest) -> Result<OperatorReply, ControlError> {
        let options = CallOptions {
            total_timeout: PATIENCE,
            attempt_timeout: PATIENCE,
            retry: RetryPolicy::AtMostOnce,
        };
        self.client
            .call_blocking(method::OPERATOR, request, options)
    }

    fn list_members(&self) -> anyhow::Result<Vec<MemberStatus>> {
        match self.operate(&OperatorRequest::ListMembers)? {
            OperatorReply::Members(members) => Ok(members),
            reply => bail!("no list of members: {reply:?}"),
        }
    }

    fn operation(&mut self) -> anyhow::Result<OperationId> {
        self.operations += 1;
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
        let text = format!("load{}", self.operations);
        Ok(OperationId::new(unix.as_millis() as u64, &text)?)
    }

    fn create_identity(&self, index: usize) -> anyhow::Result<MemberId> {
        let output = self.command(index).arg("--init").output()?;
        anyhow::ensure!(output.status.success(), "--init failed: {output:?}");
        Ok(String::from_utf8(output.stdout)?.trim().parse()?)
    }

    fn command(&self, index: usize) -> Command {
        let founders: Vec<String> = self
            .members
            .iter()
            .enumerate()
            .map(|(index, member)| format!("{}@{}", member.id, self.advertised[index]))
            .collect();
        let mut command = Command::new(&self.program);
        command
            .arg("--data-dir")
            .arg(self.directory.path().join(format!("control{index}")))
            .arg("--inner-key-file")
            .arg(self.key_file())
            .args(["--inner-address", &inner_address(index)])
            .args(["--advertise-address", &self.advertised[index]])
            .args(["--admin-address", &admin_address(index)])
            .args(["--log-level", "error"])
            .stdin(Stdio::null());
        if !founders.is_empty() {
            command.args(["--bootstrap", &founders.join(",")]);
        }
        command
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for index in 0..self.members.len() {
            let _ = self.kill(index);
        }
    }
}

/// A program of this workspace, expected next to this one.
pub fn program(name: &str) -> anyhow::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name(name);
    anyhow::ensure!(
        path.exists(),
        "{name} is missing next to this program; build the workspace with the same profile"
    );
    Ok(path)
}

/// The key of the group.
pub fn key() -> anyhow::Result<SharedKey> {
    Ok(SharedKey::new(KEY)?)
}

/// Where member `index` listens.
pub fn inner_address(index: usize) -> String {
    loopback::address(FIRST_INNER_PORT + index as u16).to_string()
}

fn admin_address(index: usize) -> String {
    loopback::address(FIRST_ADMIN_PORT + index as u16).to_string()
}
