//! Definitions of the arguments of `run`. The doc comments are printed as help texts.

use argh::FromArgs;
use sapphirepost_types::Name;
use sapphirepost_types::OperationId;
use sapphirepost_types::Resources;

/// Run a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct RunArguments {
    #[argh(subcommand)]
    pub(crate) kind: RunKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum RunKind {
    Service(ServiceArguments),
    Batch(BatchArguments),
    Gang(GangArguments),
}

macro_rules! run_arguments {
    ($(#[$meta:meta])* $name:ident { $($(#[$extra:meta])* $field:ident: [$($type:tt)*],)* }) => {
        #[derive(FromArgs)]
        $(#[$meta])*
        pub(crate) struct $name {
            /// name of the job
            #[argh(positional)]
            pub(crate) name: Name,
            /// team whose quota is charged
            #[argh(option)]
            pub(crate) team: Name,
            /// number of tasks
            #[argh(option)]
            pub(crate) tasks: u32,
            /// needs of one task, as <millicores>m/<memory>Mi[/<accelerators>a]
            #[argh(option)]
            pub(crate) resources: Resources,
            $($(#[$extra])* pub(crate) $field: $($type)*,)*
            /// may displace tasks of normal priority
            #[argh(switch)]
            pub(crate) urgent: bool,
            /// keep or move: what tasks do while their worker has no contact
            #[argh(option)]
            pub(crate) on_partition: Option<String>,
            /// cost of a checkpoint of one task, for instance 5s; without it tasks cannot
            /// checkpoint
            #[argh(option)]
            pub(crate) checkpoint_cost: Option<String>,
            /// text that is handed to the worker
            #[argh(option, default = "String::new()")]
            pub(crate) payload: String,
            /// confirm the plan
            #[argh(switch)]
            pub(crate) yes: bool,
            /// operation ID, to repeat a command whose outcome is unknown
            #[argh(option)]
            pub(crate) operation: Option<OperationId>,
        }
    };
}

run_arguments!(
    /// Run a service: it is kept at its size until cancelled.
    #[argh(
        subcommand,
        name = "service",
        example = "sapphirepost run service web --team front --tasks 3 --resources 500m/256Mi"
    )]
    ServiceArguments {}
);

run_arguments!(
    /// Run a batch: its tasks run to their ends.
    #[argh(
        subcommand,
        name = "batch",
        example = "sapphirepost run batch nightly --team data --tasks 40 --resources 1000m/512Mi \
--run-time 90s --deadline 6h"
    )]
    BatchArguments {
        /// expected run time of one task, for instance 90s
        #[argh(option)]
        run_time: [String],
        /// time from now by which the last task must have finished, for instance 6h
        #[argh(option)]
        deadline: [Option<String>],
    }
);

run_arguments!(
    /// Run a gang: all tasks start together or none does.
    #[argh(
        subcommand,
        name = "gang",
        example = "sapphirepost run gang train --team lab --tasks 8 --resources 4000m/8192Mi/1a \
--run-time 10min"
    )]
    GangArguments {
        /// expected run time of one task, for instance 10min
        #[argh(option)]
        run_time: [String],
    }
);
