//! A replicated group of control processes, and the client of an operator.

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
/// Limit for a request with all of its attempts, and for a member to catch up.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A request without a reply is sent again after this time.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

/// One control process; `child` is `None` while it is not running.
#[derive(Debug)]
struct Member {
    id: MemberId,
    child: Option<Child>,
}

/// A group of control processes; they are killed when it is dropped.
pub struct Group {
    /// The runtime of the RPC clients.
    pub runtime: Runtime,
    members: Vec<Member>,
    client: ControlClient,
    directory: TempDir,
    program: PathBuf,
    operation_count: u64,
    /// Address at which other processes reach each member.
    advertised: Vec<String>,
}

impl Group {
    /// Starts a group of `size` voters, reached without relays, and waits until it has a leader.
    pub fn start(size: usize) -> anyhow::Result<Group> {
        Group::start_advertised((0..size).map(inner_address).collect())
    }

    /// Starts a group whose members are reached at `advertised`: for each member its
    /// [`inner_address`], or the address of a relay to it, which the caller has to start before.
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
            operation_count: 0,
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

    /// Creates a client with a connection of its own, as an entry has.
    pub fn new_client(&self) -> anyhow::Result<ControlClient> {
        let runtime = self.runtime.handle().clone();
        Ok(ControlClient::new(runtime, &self.advertised, Some(key()?)))
    }

    /// Returns the addresses at which other processes reach the members.
    pub fn advertised(&self) -> &[String] {
        &self.advertised
    }

    /// Returns the path of the file with the shared key of the group.
    pub fn key_file(&self) -> PathBuf {
        self.directory.path().join("key")
    }

    /// Starts the process of member `index` with its existing data directory.
    pub fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        let child = self.command(index).spawn().context("starting control")?;
        self.members[index].child = Some(child);
        Ok(())
    }

    /// Kills the process of member `index` with SIGKILL and waits for its end. Does nothing if it
    /// is not running.
    pub fn kill(&mut self, index: usize) -> anyhow::Result<()> {
        if let Some(mut child) = self.members[index].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Returns the process ID of member `index`, or `None` if it is not running.
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.members[index].child.as_ref().map(Child::id)
    }

    /// Returns the index of the leader, after waiting for one if there is none.
    pub fn leader(&self) -> anyhow::Result<usize> {
        let members = self.list_members()?;
        let leader = members.iter().find(|member| member.leader);
        let leader = leader.context("no member is listed as the leader")?.member;
        let position = self.members.iter().position(|member| member.id == leader);
        position.context("the leader is not a member of this group")
    }

    /// Waits until member `index` has synced its log to disk as far as any other member.
    pub fn wait_for_member(&self, index: usize) -> anyhow::Result<()> {
        let id = self.members[index].id;
        let until = Instant::now() + TIMEOUT;
        while Instant::now() < until {
            let members = self.list_members()?;
            let highest = members.iter().map(|member| member.matched).max();
            let caught_up = members
                .iter()
                .any(|member| member.member == id && Some(member.matched) == highest);
            if caught_up {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        bail!("{id} has not caught up")
    }

    /// Proposes an intent and confirms its plan. Requests without a reply are sent again.
    pub fn confirm(&mut self, intent: Intent) -> anyhow::Result<Confirmed> {
        let operation = self.next_operation_id()?;
        let propose = Propose { operation, intent };
        let plan = match self.request(&OperatorRequest::Propose(propose))? {
            OperatorReply::Plan(plan) => plan,
            reply => bail!("no plan: {reply:?}"),
        };
        let confirm = Confirm {
            operation: self.next_operation_id()?,
            plan: plan.id,
        };
        match self.request(&OperatorRequest::Confirm(confirm))? {
            OperatorReply::Confirmed(confirmed) => Ok(confirmed),
            reply => bail!("not confirmed: {reply:?}"),
        }
    }

    /// Sends a request to the leader, and sends it again until there is a reply or [`TIMEOUT`] has
    /// passed.
    pub fn request(&self, request: &OperatorRequest) -> Result<OperatorReply, ControlError> {
        let options = CallOptions {
            total_timeout: TIMEOUT,
            attempt_timeout: ATTEMPT_TIMEOUT,
            retry: RetryPolicy::Idempotent,
        };
        self.client
            .call_blocking(method::OPERATOR, request, options)
    }

    /// Sends a request to the leader once; the leader may hold it until [`TIMEOUT`].
    pub fn request_once(&self, request: &OperatorRequest) -> Result<OperatorReply, ControlError> {
        let options = CallOptions {
            total_timeout: TIMEOUT,
            attempt_timeout: TIMEOUT,
            retry: RetryPolicy::AtMostOnce,
        };
        self.client
            .call_blocking(method::OPERATOR, request, options)
    }

    fn list_members(&self) -> anyhow::Result<Vec<MemberStatus>> {
        match self.request(&OperatorRequest::ListMembers)? {
            OperatorReply::Members(members) => Ok(members),
            reply => bail!("no list of members: {reply:?}"),
        }
    }

    fn next_operation_id(&mut self) -> anyhow::Result<OperationId> {
        self.operation_count += 1;
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
        let text = format!("load{}", self.operation_count);
        Ok(OperationId::new(unix.as_millis() as u64, &text)?)
    }

    fn create_identity(&self, index: usize) -> anyhow::Result<MemberId> {
        let output = self.command(index).arg("--init").output()?;
        anyhow::ensure!(output.status.success(), "--init failed: {output:?}");
        Ok(String::from_utf8(output.stdout)?.trim().parse()?)
    }

    fn command(&self, index: usize) -> Command {
        let initial_voters: Vec<String> = self
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
        if !initial_voters.is_empty() {
            command.args(["--bootstrap", &initial_voters.join(",")]);
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

/// Returns the path of a program of this workspace, which must be in the directory of this one.
pub fn program(name: &str) -> anyhow::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name(name);
    anyhow::ensure!(
        path.exists(),
        "{name} is missing next to this program; build the workspace with the same profile"
    );
    Ok(path)
}

/// Returns the shared key of the group.
pub fn key() -> anyhow::Result<SharedKey> {
    Ok(SharedKey::new(KEY)?)
}

/// Returns the address at which member `index` listens for inner connections.
pub fn inner_address(index: usize) -> String {
    loopback::address(FIRST_INNER_PORT + index as u16).to_string()
}

fn admin_address(index: usize) -> String {
    loopback::address(FIRST_ADMIN_PORT + index as u16).to_string()
}
