//! The project's programs as separate processes, each with a loopback address and a settings file.

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::SystemTime;

use crate::http;
use crate::record::Record;

pub const CONTROL_PORT: u16 = 18_166;
pub const FRONT_PORT: u16 = 18_161;
pub const READY_PORT: u16 = 18_167;
pub const RUNNER_PORT: u16 = 18_080;
const INTERNAL_FIRST: u16 = 17_720;

/// A temporary folder and a range of loopback addresses for one play.
pub struct Place {
    pub folder: PathBuf,
    net: (u8, u8),
}

impl Place {
    pub fn new() -> Result<Place, String> {
        let nanos = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let nanos = nanos.map_or(0, |since| since.as_nanos() as u64);
        let mixed = nanos ^ (u64::from(std::process::id()) << 20);
        let name = format!("review-2-{}-{nanos}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        for attempt in 0..50 {
            let mixed = mixed.wrapping_add(attempt * 7_919);
            let net = ((mixed % 200) as u8 + 20, (mixed / 200 % 250) as u8 + 1);
            let place = Place {
                folder: folder.clone(),
                net,
            };
            let ports = [CONTROL_PORT, FRONT_PORT, READY_PORT, RUNNER_PORT];
            let inner = INTERNAL_FIRST..=INTERNAL_FIRST + 15;
            let is_free = |port: u16| TcpListener::bind((place.ip(1), port)).is_ok();
            if ports.into_iter().chain(inner).all(is_free) {
                return Ok(place);
            }
        }
        Err("no free ports".to_owned())
    }

    /// The address of machine `number`.
    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, number)
    }

    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(number), port))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The bounds of a deployment that its settings and the judge need.
#[derive(Clone, Copy)]
pub struct Bounds {
    /// Machines that may be lost at the same time.
    pub machines: u32,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Role {
    Control,
    Entry,
}

/// A machine with one process of the system.
pub struct Machine {
    pub name: String,
    pub number: u8,
    role: Role,
    settings: PathBuf,
    data: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Machine {
    pub fn new(
        place: &Place,
        role: Role,
        number: u8,
        seeds: &[u8],
        bounds: Bounds,
        record: &Record,
    ) -> Result<Machine, String> {
        let name = match role {
            Role::Control => format!("core-{number}"),
            Role::Entry => format!("edge-{number}"),
        };
        let machine = Machine {
            settings: place.folder.join(format!("{name}.json")),
            data: place.folder.join(format!("{name}-data")),
            log: place.folder.join(format!("{name}.log")),
            name,
            number,
            role,
            child: None,
            record: record.clone(),
        };
        machine.write_settings(place, seeds, bounds, true)?;
        Ok(machine)
    }

    /// Writes the settings file, as the platform does at a start.
    pub fn write_settings(
        &self,
        place: &Place,
        seeds: &[u8],
        bounds: Bounds,
        bootstrap: bool,
    ) -> Result<(), String> {
        let ip = place.ip(self.number);
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}\"", place.address(*seed, CONTROL_PORT)))
            .collect();
        let (class, serves, listen, data, cpu, memory) = match self.role {
            Role::Control => (
                "core",
                "control",
                format!("{{\"control-plane\":\"{ip}:{CONTROL_PORT}\"}}"),
                format!("\"{}\"", self.data.display()),
                0.5,
                256,
            ),
            Role::Entry => (
                "edge",
                "edge",
                format!("{{\"frontend\":\"{ip}:{FRONT_PORT}\",\"ready\":\"{ip}:{READY_PORT}\"}}"),
                "null".to_owned(),
                0.25,
                260,
            ),
        };
        let text = format!(
            "{{\"node-name\":\"{}\",\"role\":\"{serves}\",\"machine-class\":\"{class}\",\
             \"serves\":[\"{serves}\"],\"ip\":\"{ip}\",\"zone\":\"z1\",\"region\":\"r1\",\
             \"zones\":{{\"z1\":\"r1\",\"z2\":\"r1\",\"z3\":\"r1\"}},\"bind-addrs\":{listen},\
             \"internal-ports\":[{INTERNAL_FIRST},{}],\"seeds\":[{}],\"bootstrap\":{bootstrap},\
             \"fault-counted\":{},\"limits\":{{\"cpu-quota\":{cpu},\"cores\":1,\"memory-mb\":{memory},\
             \"max-fds\":4096,\"link-mbps\":1000.0,\"disk-mb\":128}},\"data-dir\":{data},\
             \"discovery\":\"registry\",\"entry\":\"vip\",\"heartbeat-ms\":1000,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"],\
             \"fault-tolerance\":{{\"machines\":{},\"zones\":1,\"region-count\":0}},\
             \"bounds\":{{\"seed-lag-s\":3,\"addr-reuse-s\":2,\"contact-ms\":3000,\"ack-ms\":4000,\
             \"catch-up-s\":4,\"drain-ms\":2000,\"grace-s\":6,\"loss-slack-ms\":200,\
             \"config-apply-ms\":2000,\"rollback-slack-ms\":250,\"outer-ms\":5000,\"recovery-s\":12,\
             \"hold-max-ms\":6000,\"stop-ms\":200,\"gang-ms\":3000,\"cancel_ms\":3000,\
             \"visible_ms\":3000,\"early_ms\":250,\"finish_s\":14,\"status_s\":120,\
             \"remote-factor\":1.5,\"checkpoint-s\":0.5,\"restore-ms\":250,\"lease-ms\":3000}},\
             \"config_mode\":\"highest\",\"orders\":\"invoke\",\"advice\":null}}",
            self.name,
            INTERNAL_FIRST + 15,
            seeds.join(","),
            self.role == Role::Control,
            bounds.machines,
        );
        fs::write(&self.settings, text).map_err(|error| error.to_string())
    }

    /// Starts the process, with the command of the deploy file.
    pub fn start(&mut self) -> Result<(), String> {
        let program = match self.role {
            Role::Control => "target/release/sapphirepost-platform-control",
            Role::Entry => "target/release/sapphirepost-platform-entry",
        };
        if self.role == Role::Control {
            fs::create_dir_all(&self.data).map_err(|error| error.to_string())?;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(Path::new(program))
            .env("SAPPHIREPOST_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        self.child = Some(child);
        self.record.note(&format!("{} starts", self.name));
        Ok(())
    }

    /// SIGKILL, as at a loss of power; what the process has synced stays.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&format!("{} loses power", self.name));
        }
    }

    /// The disk is replaced by an empty one.
    pub fn lose_disk(&mut self) -> Result<(), String> {
        self.record.note(&format!("{} loses its disk", self.name));
        fs::remove_dir_all(&self.data).map_err(|error| error.to_string())
    }

    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends an operator's call to each control in turn until one answers with a status below 500.
pub fn operator(
    controls: &[SocketAddr],
    method: &str,
    body: &str,
    record: &Record,
) -> Option<(u16, String)> {
    let mut last = None;
    for control in controls {
        let timeout = Duration::from_secs(1);
        match http::call(*control, method, "/config", &[], body, timeout) {
            Ok((status, text)) if status < 500 => return Some((status, text)),
            Ok((status, text)) => last = Some((status, text)),
            Err(error) => {
                record.note(&format!("operator: {method} /config at {control}: {error}"));
            }
        }
    }
    last
}

/// A configuration with one service and one queue for each of `prefixes`.
pub fn config(version: u64, prefixes: &[&str]) -> String {
    let routes: Vec<String> = prefixes
        .iter()
        .map(|prefix| {
            format!(
                "{{\"name\":\"r-{}\",\"host\":\"a.example\",\"path-prefix\":\"{prefix}\",\
                 \"kind\":\"non_idempotent\",\"timeout-ms\":3000,\"target-latency-ms\":3000,\
                 \"priority\":1,\"service\":\"svc\",\"max-attempts\":3,\"deadline-factor\":4.0}}",
                prefix.trim_matches('/')
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"svc\",\
         \"health-path\":\"/healthz\",\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"admission-check\":false,\"standby\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        routes.join(",")
    )
}
