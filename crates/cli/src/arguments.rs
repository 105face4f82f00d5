//! Definitions of the command line arguments. The doc comments are printed as help texts.

mod run;

use argh::FromArgs;
use sapphirepost_types::ConfigVersion;
use sapphirepost_types::MemberId;
use sapphirepost_types::Name;
use sapphirepost_types::OperationId;
use sapphirepost_types::PlanId;
use sapphirepost_types::Resources;

pub(crate) use crate::arguments::run::RunArguments;
pub(crate) use crate::arguments::run::RunKind;

/// Operates a sapphirepost cluster.
#[derive(FromArgs)]
#[argh(
    example = "Run a service and confirm its plan:
  sapphirepost run service web --team front --tasks 3 --resources 500m/256Mi
  sapphirepost confirm plan1",
    example = "Drain a worker, confirming the plan at once:
  sapphirepost drain wall-a-003 --yes",
    example = "Set a value and wait until every entry applies it:
  sapphirepost config set standings.season 2026 --yes --wait",
    note = "Changes show a plan and take effect once it is confirmed. Each change shows its
operation ID; repeat a command whose outcome is unknown with --operation <id>.

Exit codes: 0 done, 2 usage, 3 refused, 4 not found, 5 outcome unknown or not yet
in effect everywhere, 6 no entry or no leader within reach.

Each option of this level can also be set by the environment variable
SAPPHIREPOST_<NAME>, for instance SAPPHIREPOST_ENTRIES."
)]
pub(crate) struct Arguments {
    /// operator addresses of entries, comma-separated ip:port; the next one is tried when one
    /// does not answer
    #[argh(option)]
    pub(crate) entries: Option<String>,
    /// file with the operator key
    #[argh(option)]
    pub(crate) key_file: Option<String>,
    /// longest time for one request in milliseconds (100 to 120000, default 10000)
    #[argh(option)]
    pub(crate) timeout_ms: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Run(RunArguments),
    Resize(ResizeArguments),
    Drain(DrainArguments),
    Undrain(UndrainArguments),
    DeclareLost(DeclareLostArguments),
    Quota(QuotaArguments),
    Plan(PlanArguments),
    Confirm(ConfirmArguments),
    Cancel(CancelArguments),
    Status(StatusArguments),
    Tenants(TenantsArguments),
    Explain(ExplainArguments),
    Config(ConfigArguments),
    Control(ControlArguments),
    Dump(DumpArguments),
}

macro_rules! change_arguments {
    ($(#[$meta:meta])* $name:ident { $($(#[$extra:meta])* $field:ident: [$($type:tt)*],)* }) => {
        #[derive(FromArgs)]
        $(#[$meta])*
        pub(crate) struct $name {
            $($(#[$extra])* pub(crate) $field: $($type)*,)*
            /// confirm the plan
            #[argh(switch)]
            pub(crate) yes: bool,
            /// operation ID, to repeat a command whose outcome is unknown
            #[argh(option)]
            pub(crate) operation: Option<OperationId>,
        }
    };
}

change_arguments!(
    /// Change the number of tasks of a service.
    #[argh(subcommand, name = "resize", example = "sapphirepost resize web 5 --yes")]
    ResizeArguments {
        /// name of the service
        #[argh(positional)]
        job: [Name],
        /// new number of tasks
        #[argh(positional)]
        tasks: [u32],
    }
);

change_arguments!(
    /// Move all tasks off a worker and place nothing more there.
    #[argh(subcommand, name = "drain", example = "sapphirepost drain wall-a-003 --yes")]
    DrainArguments {
        /// name of the worker
        #[argh(positional)]
        worker: [Name],
        /// let the only replica of a service stop before its successor runs
        #[argh(switch)]
        allow_interruption: [bool],
    }
);

change_arguments!(
    /// Let a drained worker take tasks again.
    #[argh(subcommand, name = "undrain", example = "sapphirepost undrain wall-a-003 --yes")]
    UndrainArguments {
        /// name of the worker
        #[argh(positional)]
        worker: [Name],
    }
);

change_arguments!(
    /// Declare a silent worker lost, so that its kept tasks are placed again. Make sure first
    /// that its VM is off: a task that still runs there would run twice.
    #[argh(subcommand, name = "declare-lost", example = "sapphirepost declare-lost wall-a-003 --yes")]
    DeclareLostArguments {
        /// name of the worker
        #[argh(positional)]
        worker: [Name],
    }
);

change_arguments!(
    /// Set or lift the quota of a team.
    #[argh(
        subcommand,
        name = "quota",
        example = "sapphirepost quota data --limit 64000m/131072Mi/0a --yes",
        example = "sapphirepost quota data --unlimited --yes"
    )]
    QuotaArguments {
        /// name of the team
        #[argh(positional)]
        team: [Name],
        /// the most that running tasks of the team may use together
        #[argh(option)]
        limit: [Option<Resources>],
        /// lift the limit
        #[argh(switch)]
        unlimited: [bool],
    }
);

change_arguments!(
    /// Cancel a job.
    #[argh(subcommand, name = "cancel", example = "sapphirepost cancel nightly --yes")]
    CancelArguments {
        /// name of the job
        #[argh(positional)]
        job: [Name],
    }
);

/// Show plans.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan", example = "sapphirepost plan show plan7")]
pub(crate) struct PlanArguments {
    #[argh(subcommand)]
    pub(crate) command: PlanCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum PlanCommand {
    Show(PlanShowArguments),
}

/// Show a plan.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct PlanShowArguments {
    /// the plan, for instance plan7
    #[argh(positional)]
    pub(crate) plan: PlanId,
}

/// Put a plan into effect.
#[derive(FromArgs)]
#[argh(subcommand, name = "confirm", example = "sapphirepost confirm plan7")]
pub(crate) struct ConfirmArguments {
    /// the plan, for instance plan7
    #[argh(positional)]
    pub(crate) plan: PlanId,
    /// operation ID, to repeat a command whose outcome is unknown
    #[argh(option)]
    pub(crate) operation: Option<OperationId>,
}

/// Show jobs and workers.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArguments {}

/// Show the tenants of the queue table: limits, use, and jobs that the present leader has rejected.
#[derive(FromArgs)]
#[argh(subcommand, name = "tenants")]
pub(crate) struct TenantsArguments {}

/// Say why a job waits, runs where it runs, or was refused.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain", example = "sapphirepost explain nightly")]
pub(crate) struct ExplainArguments {
    /// name of the job
    #[argh(positional)]
    pub(crate) job: Name,
}

/// Show and change the configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct ConfigArguments {
    #[argh(subcommand)]
    pub(crate) command: ConfigCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ConfigCommand {
    Get(ConfigGetArguments),
    Set(ConfigSetArguments),
    History(ConfigHistoryArguments),
}

/// Show all values, or one.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct ConfigGetArguments {
    /// key
    #[argh(positional)]
    pub(crate) key: Option<Name>,
}

change_arguments!(
    /// Set or remove a value.
    #[argh(
        subcommand,
        name = "set",
        example = "sapphirepost config set standings.season 2026 --yes --wait",
        example = "sapphirepost config set standings.season --remove --yes"
    )]
    ConfigSetArguments {
        /// key
        #[argh(positional)]
        key: [Name],
        /// new value
        #[argh(positional)]
        value: [Option<String>],
        /// remove the key
        #[argh(switch)]
        remove: [bool],
        /// refuse unless this is the current version, for instance config4
        #[argh(option)]
        expected: [Option<ConfigVersion>],
        /// wait until every entry has applied the change, and name those that have not
        #[argh(switch)]
        wait: [bool],
        /// longest wait in milliseconds (default 12000)
        #[argh(option, default = "12_000")]
        wait_ms: [u64],
    }
);

/// Show past changes, the newest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct ConfigHistoryArguments {
    /// the most changes to show
    #[argh(option, default = "20")]
    pub(crate) limit: u32,
}

/// Show and change the control processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub(crate) struct ControlArguments {
    #[argh(subcommand)]
    pub(crate) command: ControlCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ControlCommand {
    List(ControlListArguments),
    Add(ControlAddArguments),
    Remove(ControlRemoveArguments),
}

/// Show the control processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct ControlListArguments {}

/// Add a control process: first without a vote, promoted once it has caught up.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "add",
    example = "sapphirepost control add member4711 10.1.0.4:7100 --yes"
)]
pub(crate) struct ControlAddArguments {
    /// the member, which the new process logs at its start
    #[argh(positional)]
    pub(crate) member: MemberId,
    /// its inner address
    #[argh(positional)]
    pub(crate) address: String,
    /// carry out the change
    #[argh(switch)]
    pub(crate) yes: bool,
}

/// Remove a control process.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "remove",
    example = "sapphirepost control remove member4711 --yes"
)]
pub(crate) struct ControlRemoveArguments {
    /// the member
    #[argh(positional)]
    pub(crate) member: MemberId,
    /// carry out the change
    #[argh(switch)]
    pub(crate) yes: bool,
}

/// Show the state of one process.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump", example = "sapphirepost dump 10.1.0.4:7102")]
pub(crate) struct DumpArguments {
    /// admin address of the process
    #[argh(positional)]
    pub(crate) address: std::net::SocketAddr,
}
