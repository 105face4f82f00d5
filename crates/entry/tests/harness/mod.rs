//! Starts entry processes, a fake upstream and callers for the tests with real processes.

#![allow(dead_code)] // Each test target uses only a part of this module.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use attohttpc::ProxySettings;
use serde_json::json;

const KEY: &str = "0123456789abcdef";

/// The port by which a test process reserves its IP address.
const LOCK_PORT: u16 = 19_999;
/// The first of [`PORTS`] ports below the range that the system assigns to outgoing connections, so
/// that a free port stays free until the entry binds it.
const FIRST_PORT: u16 = 20_000;
const PORTS: u16 = 12_000;

/// An IP address that no other test process uses, so that none takes a port between its draw and
/// its use.
pub struct ReservedIp {
    pub ip: Ipv4Addr,
    /// Holds the reservation until the process ends.
    _lock: TcpListener,
}

impl ReservedIp {
    /// Reserves an address of 127.79.0.0/16 that is free.
    pub fn new() -> ReservedIp {
        let start = std::process::id();
        let mut candidates = (0..u32::from(u16::MAX)).map(|offset| {
            let [_, _, high, low] = start.wrapping_add(offset).to_be_bytes();
            Ipv4Addr::new(127, 79, high, low)
        });
        let reserve = |ip| {
            let lock = TcpListener::bind((ip, LOCK_PORT)).ok()?;
            Some(ReservedIp { ip, _lock: lock })
        };
        candidates.find_map(reserve).unwrap()
    }
}

/// Held while a process is started and while a port is tried. A child has the sockets of all threads
/// between its fork and its exec, and would keep a port that is being tried from the entry that it
/// is for.
static STARTING: Mutex<()> = Mutex::new(());

pub fn free_address() -> SocketAddr {
    static RESERVED: LazyLock<ReservedIp> = LazyLock::new(ReservedIp::new);
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = SocketAddr::from((RESERVED.ip, FIRST_PORT + offset));
        let _starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(15);
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Entry processes with a common roster; they are killed on drop.
pub struct EntryGroup {
    pub callers: Vec<SocketAddr>,
    workers: Vec<SocketAddr>,
    admin: Vec<SocketAddr>,
    arguments: Vec<Vec<String>>,
    pub children: Vec<Option<Child>>,
    _directory: tempfile::TempDir,
}

impl EntryGroup {
    pub fn start(count: usize, extra: &[&str]) -> EntryGroup {
        let directory = tempfile::tempdir().unwrap();
        let key_file = directory.path().join("key");
        std::fs::write(&key_file, KEY).unwrap();
        let key_file = key_file.to_string_lossy().into_owned();
        let members: Vec<String> = (0..count)
            .map(|index| format!("entry{index}@a={}", free_address()))
            .collect();
        let mut group = EntryGroup {
            callers: (0..count).map(|_| free_address()).collect(),
            workers: (0..count).map(|_| free_address()).collect(),
            admin: (0..count).map(|_| free_address()).collect(),
            arguments: Vec::new(),
            children: Vec::new(),
            _directory: directory,
        };
        for index in 0..count {
            let mut arguments: Vec<String> = [
                ("entry", format!("entry{index}")),
                ("roster", members.join(",")),
                ("callers-address", group.callers[index].to_string()),
                ("workers-address", group.workers[index].to_string()),
                ("operators-address", free_address().to_string()),
                ("admin-address", group.admin[index].to_string()),
                ("inner-key-file", key_file.clone()),
                ("workers-key-file", key_file.clone()),
            ]
            .into_iter()
            .flat_map(|(name, value)| [format!("--{name}"), value])
            .collect();
            arguments.extend(extra.iter().map(|text| text.to_string()));
            group.arguments.push(arguments);
            group.children.push(None);
            group.spawn(index);
        }
        group
    }

    pub fn spawn(&mut self, index: usize) {
        let starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
        let child = Command::new(env!("CARGO_BIN_EXE_sapphirepost-entry"))
            .args(&self.arguments[index])
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        drop(starting);
        self.children[index] = Some(child);
        // The listener for callers starts last.
        let callers = self.callers[index];
        wait_for("the caller listener", || {
            TcpStream::connect(callers).is_ok()
        });
    }

    /// Sends a signal to one entry.
    pub fn signal(&self, index: usize, signal: &str) {
        let id = self.children[index].as_ref().unwrap().id().to_string();
        let _starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
        let status = Command::new("kill").args([signal, &id]).status().unwrap();
        assert!(status.success());
    }

    /// Waits until an entry has ended; returns its exit code and log.
    pub fn wait_exit(&mut self, index: usize) -> (Option<i32>, String) {
        let mut child = self.children[index].take().unwrap();
        wait_for("the end of the entry", || {
            child.try_wait().unwrap().is_some()
        });
        let mut log = String::new();
        let _ = child.stderr.take().unwrap().read_to_string(&mut log);
        (child.wait().unwrap().code(), log)
    }

    pub fn get(&self, index: usize, path: &str) -> (u16, String) {
        let response = attohttpc::get(format!("http://{}{path}", self.admin[index]))
            .proxy_settings(ProxySettings::builder().build())
            .timeout(Duration::from_secs(2))
            .send();
        match response {
            Ok(response) => (
                response.status().as_u16(),
                response.text().unwrap_or_default(),
            ),
            Err(error) => (0, error.to_string()),
        }
    }

    pub fn announce(&self, index: usize, upstream: &Upstream, sequence: u64) {
        let body = json!({
            "name": "runner-0", "service": "logbook", "address": upstream.address.to_string(),
            "failure_domain": "a", "slots": 8, "connections": 64, "incarnation": 1,
            "sequence": sequence, "status": "serving",
        });
        let url = format!("http://{}/v1/upstreams/announce", self.workers[index]);
        let response = attohttpc::post(url)
            .proxy_settings(ProxySettings::builder().build())
            .header("authorization", format!("Bearer {KEY}"))
            .json(&body)
            .unwrap()
            .send()
            .unwrap();
        assert!(response.is_success(), "{}", response.text().unwrap());
    }

    /// Announces an upstream to the first entry and waits until all entries know it.
    pub fn announce_and_wait(&self, upstream: &Upstream) {
        self.announce(0, upstream, 1);
        for index in 0..self.children.len() {
            wait_for("the upstream to be known", || {
                self.get(index, "/dump").1.contains("\"runner-0\"")
            });
        }
    }
}

impl Drop for EntryGroup {
    fn drop(&mut self) {
        for (index, child) in self.children.iter_mut().enumerate() {
            let Some(child) = child else {
                continue;
            };
            let exit = child.try_wait();
            let _ = child.kill();
            let _ = child.wait();
            if let Some(mut stderr) = child.stderr.take().filter(|_| thread::panicking()) {
                let mut log = String::new();
                let _ = stderr.read_to_string(&mut log);
                eprintln!("log of entry {index}, exit before its kill {exit:?}:\n{log}");
            }
        }
    }
}

/// An upstream that responds with the target and body of the request. In the target, `wait=<ms>`
/// delays the response, `cut` truncates it, and `bytes=<n>` appends that many bytes.
pub struct Upstream {
    pub address: SocketAddr,
    /// The heads of all received requests.
    pub heads: Arc<Mutex<Vec<String>>>,
}

impl Upstream {
    pub fn start() -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let heads = Arc::new(Mutex::new(Vec::new()));
        let shared = heads.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let heads = shared.clone();
                thread::spawn(move || serve(stream, &heads));
            }
        });
        Upstream { address, heads }
    }

    /// The number of received requests whose head contains `part`.
    pub fn count(&self, part: &str) -> usize {
        let heads = self.heads.lock().unwrap();
        heads.iter().filter(|head| head.contains(part)).count()
    }
}

fn serve(stream: TcpStream, heads: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    while let Some((head, body)) = read_message(&mut reader) {
        heads.lock().unwrap().push(head.clone());
        let target = head.split(' ').nth(1).unwrap().to_owned();
        let option = |name: &str| -> Option<usize> {
            let (_, rest) = target.split_once(name)?;
            rest.split('&').next()?.parse().ok()
        };
        thread::sleep(Duration::from_millis(option("wait=").unwrap_or(0) as u64));
        let filler = "x".repeat(option("bytes=").unwrap_or(0));
        let body = format!("{target} {}{filler}", String::from_utf8_lossy(&body));
        let cut = if target.contains("cut") { 3 } else { 0 };
        let length = body.len() + cut;
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nkeep-alive: timeout=5\r\n\r\n{body}"
        );
        if writer.write_all(answer.as_bytes()).is_err() || cut > 0 {
            return;
        }
    }
}

/// Reads the head and the body of an HTTP message; without a declared length the body is empty.
/// `None` if the stream ends before the message does.
pub fn read_message(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head
        .lines()
        .find_map(|line| {
            line.to_lowercase()
                .strip_prefix("content-length: ")?
                .parse()
                .ok()
        })
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Sends `request` unchanged on a new connection and returns status, head and body of the response;
/// status 0 if the connection ends without a complete one.
pub fn send_raw(address: SocketAddr, request: &[u8]) -> (u16, String, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let _ = stream.write_all(request);
    let Some((head, body)) = read_message(&mut BufReader::new(stream)) else {
        return (0, String::new(), String::new());
    };
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    (status, head, String::from_utf8_lossy(&body).into_owned())
}

/// Sends a request with additional header lines and a body; returns as [`send_raw`] does.
pub fn call(
    address: SocketAddr,
    line: &str,
    headers: &[&str],
    body: &str,
) -> (u16, String, String) {
    let extra: String = headers
        .iter()
        .map(|header| format!("{header}\r\n"))
        .collect();
    let length = body.len();
    let request =
        format!("{line} HTTP/1.1\r\nhost: a\r\n{extra}content-length: {length}\r\n\r\n{body}");
    send_raw(address, request.as_bytes())
}

pub fn now_unix_ms() -> u128 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis()
}
