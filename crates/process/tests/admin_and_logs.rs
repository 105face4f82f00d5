//! Tests what operators see of a process: health, readiness, metrics, dump and log lines.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use log::Level;
use log::Record;
use prometheus_client::metrics::counter::Counter;
use sapphirepost_process::Readiness;
use sapphirepost_process::admin::AdminServer;
use sapphirepost_process::admin::AdminSources;
use sapphirepost_process::admin::dump_from_channel;
use sapphirepost_process::byte_budget::ByteBudget;
use sapphirepost_process::line_limits::LineLimits;
use sapphirepost_process::logging::LogLevels;
use sapphirepost_process::logging::format_line;
use sapphirepost_process::metrics::Metrics;
use sapphirepost_process::rate_limit::RateLimiter;
use sapphirepost_types::Millis;

fn get(server: &AdminServer, path: &str) -> (u16, String) {
    let url = format!("http://{}{path}", server.address());
    let response = attohttpc::get(url).send().unwrap();
    (response.status().as_u16(), response.text().unwrap())
}

#[test]
fn each_admin_path_serves_its_report() {
    let (sender, requests) = flume::bounded::<flume::Sender<serde_json::Value>>(1);
    let sources = AdminSources {
        readiness: Readiness::new(),
        metrics: Metrics::new(),
        dump: dump_from_channel(sender, Duration::from_millis(100)),
        budget: ByteBudget::default(),
    };
    let starts: Counter = sources
        .metrics
        .register("starts", "Starts", Counter::default());
    starts.inc();
    let readiness = sources.readiness.clone();
    let server = AdminServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), sources).unwrap();
    assert_eq!(get(&server, "/healthz").0, 200);
    assert_eq!(get(&server, "/readyz").0, 200);
    readiness.degrade("config", "config3 was not confirmed as current for 10 s");
    assert_eq!(
        get(&server, "/readyz"),
        (
            200,
            "ready\nconfig: config3 was not confirmed as current for 10 s\n".to_owned()
        ),
        "degraded entries must stay ready: otherwise the load balancer would drop all entries of a \
         partitioned failure domain"
    );
    readiness.block("config", "the current version is not known");
    let (status, reasons) = get(&server, "/readyz");
    assert_eq!(
        (status, reasons.as_str()),
        (503, "config: the current version is not known\n")
    );
    let metrics = get(&server, "/metrics").1;
    assert!(
        metrics.contains("sapphirepost_process_resident_memory_bytes "),
        "{metrics}"
    );
    assert!(
        get(&server, "/metrics")
            .1
            .contains("sapphirepost_starts_total 1")
    );
    assert_eq!(
        get(&server, "/dump").0,
        503,
        "the owner of the state does not reply"
    );
    drop(requests.try_recv());
    thread::spawn(move || {
        let reply = requests.recv().unwrap();
        reply.send(serde_json::json!({"tasks": 3})).unwrap();
    });
    assert_eq!(get(&server, "/dump"), (200, r#"{"tasks":3}"#.to_owned()));
}

/// A listener that reads the declared body before it responds would be blocked by clients that send
/// no body, and would crash if the declared length exceeds the available memory.
#[test]
fn declared_body_lengths_neither_block_nor_crash_the_listener() {
    let sources = AdminSources {
        readiness: Readiness::new(),
        metrics: Metrics::new(),
        dump: Arc::new(|| Ok(serde_json::json!({}))),
        budget: ByteBudget::default(),
    };
    let server = AdminServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), sources).unwrap();
    let lengths = [5000, 5000, 5000, 5000, 99_999_999_999_999_u64];
    let _open_streams = ["GET", "POST"].map(|method| {
        lengths.map(|length| {
            let head = format!("{method} /healthz HTTP/1.1\r\ncontent-length: {length}\r\n\r\n");
            let mut stream = TcpStream::connect(server.address()).unwrap();
            stream.write_all(head.as_bytes()).unwrap();
            stream
        })
    });
    thread::sleep(Duration::from_millis(100));
    let start = Instant::now();
    assert_eq!(get(&server, "/healthz").0, 200);
    assert!(start.elapsed() < Duration::from_millis(500));
}

/// An unescaped line break in a caller's text could forge a second log event.
#[test]
fn line_breaks_in_an_event_are_escaped() {
    let pairs = [("request", "1-a\nb"), ("status", "503"), ("empty", "")];
    let record = Record::builder()
        .level(Level::Info)
        .target("entry")
        .key_values(&pairs)
        .build();
    let line = format_line(UNIX_EPOCH, &format_args!("refused\nforged"), &record);
    let expected = r#"1970-01-01T00:00:00.000Z INFO entry refused\nforged request="1-a\nb" status=503 empty="""#;
    assert_eq!(line, expected);
}

#[test]
fn log_levels_are_parsed_per_module() {
    let levels: LogLevels = "warn,sapphirepost_routing=debug".parse().unwrap();
    assert_eq!(levels.to_string(), "warn,sapphirepost_routing=debug");
    assert!("loud".parse::<LogLevels>().is_err());
}

#[test]
fn repeated_events_are_counted_instead_of_logged() {
    let limiter = RateLimiter::new(1000);
    assert_eq!(limiter.allow("refused", Millis(0)), Some(0));
    assert_eq!(limiter.allow("refused", Millis(10)), None);
    assert_eq!(limiter.allow("other", Millis(10)), Some(0));
    assert_eq!(limiter.allow("refused", Millis(1000)), Some(1));
}

/// Guards against lines written once a second that are left out when many other targets write much.
#[test]
fn the_first_lines_of_a_target_are_written_while_others_are_left_out() {
    let mut limits = LineLimits::default();
    let start = Instant::now();
    for second in 0..3 {
        let now = start + Duration::from_secs(second);
        for target in ["runs", "steps", "calls", "workers", "jobs"] {
            (0..1_000).for_each(|_| {
                limits.allow(target, now);
            });
        }
        assert!(!limits.allow("jobs", now), "the process is at its limit");
        assert!(limits.allow("load", now));
        assert!(limits.is_first("load"));
        let allowed = (0..1_000).filter(|_| limits.allow("load", now)).count();
        assert_eq!(allowed, 7);
    }
}

/// Guards against frequent lines of one kind that crowd out the rare ones of another.
#[test]
fn lines_of_one_target_do_not_crowd_out_another() {
    let mut limits = LineLimits::default();
    let start = Instant::now();
    let allowed = (0..2_000).filter(|_| limits.allow("runs", start)).count();
    assert_eq!(allowed, 600);
    assert!(limits.allow("jobs", start));
    assert_eq!(
        limits.describe_dropped(),
        "log lines left out: 1400 target=runs\n"
    );
    limits.forget_dropped();
    assert_eq!(limits.describe_dropped(), "");
    assert!(limits.allow("runs", start + Duration::from_secs(1)));
}

/// Guards against a process whose many targets together write without a bound.
#[test]
fn all_targets_together_have_a_limit() {
    let mut limits = LineLimits::default();
    let start = Instant::now();
    let targets: Vec<String> = (0..40).map(|number| format!("target{number}")).collect();
    let lines = targets.iter().flat_map(|target| [target; 1_000]);
    let allowed = lines.filter(|target| limits.allow(target, start)).count();
    assert_eq!(allowed, 2_400);
}
