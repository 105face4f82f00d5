//! Tests the simulated upstream as a process: its limits, its faults and its graceful shutdown. If
//! it dropped requests during the shutdown, tests would attribute the failures to the entries.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rouille::Request;
use rouille::Response;
use rouille::Server;
use sapphirepost_protocol::gossip::AnnounceReply;
use sapphirepost_protocol::gossip::Announcement;
use sapphirepost_protocol::gossip::UpstreamStatus;
use sapphirepost_protocol::header;

/// An upstream process that is killed when this is dropped.
struct UpstreamProcess(Child);

impl Drop for UpstreamProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_fake_entry(announcements: flume::Sender<Announcement>) -> SocketAddr {
    let handler = move |request: &Request| {
        let mut text = String::new();
        request.data().unwrap().read_to_string(&mut text).unwrap();
        let announcement = serde_json::from_str(&text).unwrap();
        let _ = announcements.send(announcement);
        Response::json(&AnnounceReply { next_ms: 1000 })
    };
    let server = Server::new("127.0.0.1:0", handler).unwrap();
    let address = server.server_addr();
    thread::spawn(move || server.run());
    address
}

fn start_upstream(folder: &Path, entry: SocketAddr, options: &[&str]) -> UpstreamProcess {
    let key = folder.join("key");
    std::fs::write(&key, "0123456789abcdef").unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_sapphirepost-standin"))
        .args([
            "upstream",
            "--name",
            "u",
            "--service",
            "web",
            "--failure-domain",
            "a",
        ])
        .args(["--entries", &entry.to_string(), "--key-file"])
        .arg(&key)
        .arg("--journal")
        .arg(folder.join("journal"))
        .args(options)
        .spawn()
        .unwrap();
    UpstreamProcess(child)
}

fn get(address: &str, path: &str) -> attohttpc::Result<(u16, Option<String>, String)> {
    let response = attohttpc::get(format!("http://{address}{path}"))
        .read_timeout(Duration::from_secs(3))
        .send()?;
    let status = response.status().as_u16();
    let outcome = response.headers().get(header::OUTCOME);
    let outcome = outcome.map(|value| value.to_str().unwrap().to_owned());
    let length: usize = response.headers()["content-length"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    let text = response.text()?;
    // The HTTP client accepts a body that is shorter than its declared length.
    let text = if text.len() < length {
        "truncated".to_owned()
    } else {
        text
    };
    Ok((status, outcome, text))
}

#[test]
fn limits_are_enforced_and_shutdown_finishes_requests() {
    let folder = tempfile::tempdir().unwrap();
    let (sender, announcements) = flume::unbounded();
    let entry = start_fake_entry(sender);
    let options = ["--slots", "2", "--connections", "4", "--leave-ms", "500"];
    let mut running = start_upstream(folder.path(), entry, &options);
    let first = announcements.recv_timeout(Duration::from_secs(5)).unwrap();
    assert_eq!((first.slots, first.connections), (2, 4));
    let address = first.address.clone();
    let slow: Vec<_> = (0..2)
        .map(|_| {
            let address = address.clone();
            thread::spawn(move || get(&address, "/web/slow?run_ms=1500").unwrap())
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    let (status, outcome, _) = get(&address, "/web/third").unwrap();
    assert_eq!(
        (status, outcome.as_deref()),
        (503, Some(header::OUTCOME_REFUSED))
    );
    let _held: Vec<_> = (0..2)
        .map(|_| TcpStream::connect(&address).unwrap())
        .collect();
    thread::sleep(Duration::from_millis(100));
    assert!(
        get(&address, "/web/fifth").is_err(),
        "a fifth connection was served"
    );

    let pid = running.0.id().to_string();
    let signalled_at = Instant::now();
    assert!(
        Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .unwrap()
            .success()
    );
    let leaving = announcements
        .iter()
        .find(|announcement| announcement.status == UpstreamStatus::Leaving)
        .unwrap();
    assert!(leaving.sequence > first.sequence);
    assert!(signalled_at.elapsed() < Duration::from_millis(500));
    for request in slow {
        let (status, _, body) = request.join().unwrap();
        assert_eq!(status, 200, "{body}");
    }
    assert!(running.0.wait().unwrap().success());
    let journal = std::fs::read_to_string(folder.path().join("journal")).unwrap();
    assert_eq!(journal.matches("request_ran").count(), 2, "{journal}");
}

/// Each fault flag must cause exactly its own failure. Otherwise, tests of the entries would test
/// another failure than they name.
#[test]
fn each_fault_causes_only_its_own_failure() {
    let cases = ["--truncate", "--stall", "--fail-fast", "--lie"];
    for fault in cases {
        let folder = tempfile::tempdir().unwrap();
        let (sender, announcements) = flume::unbounded();
        let _running = start_upstream(folder.path(), start_fake_entry(sender), &[fault]);
        let first = announcements.recv_timeout(Duration::from_secs(5)).unwrap();
        let result = get(&first.address, "/web/a");
        let journal = std::fs::read_to_string(folder.path().join("journal")).unwrap();
        let runs = journal.matches("request_ran").count();
        match (fault, result) {
            ("--truncate", Ok((_, _, text))) => assert_eq!((text.as_str(), runs), ("truncated", 1)),
            ("--stall", Err(_)) => assert_eq!(runs, 0),
            ("--fail-fast", Ok((status, _, _))) => assert_eq!((status, runs), (500, 0)),
            ("--lie", Ok((_, outcome, _))) => {
                assert_eq!(
                    (outcome.as_deref(), runs),
                    (Some(header::OUTCOME_REFUSED), 1)
                );
            }
            (fault, result) => panic!("{fault}: {result:?}"),
        }
    }
}

#[test]
fn silent_fault_affects_only_connections_already_open() {
    let folder = tempfile::tempdir().unwrap();
    let (sender, announcements) = flume::unbounded();
    let options = ["--silent", "--fault-after-ms", "800"];
    let _running = start_upstream(folder.path(), start_fake_entry(sender), &options);
    let first = announcements.recv_timeout(Duration::from_secs(5)).unwrap();
    let mut old = TcpStream::connect(&first.address).unwrap();
    thread::sleep(Duration::from_millis(1000));
    let request = "GET /web/a HTTP/1.1\r\nhost: a\r\n\r\n";
    std::io::Write::write_all(&mut old, request.as_bytes()).unwrap();
    old.set_read_timeout(Some(Duration::from_millis(500)))
        .unwrap();
    assert!(
        old.read(&mut [0; 100]).is_err(),
        "the old connection received a response"
    );
    assert_eq!(get(&first.address, "/web/a").unwrap().0, 200);
}
