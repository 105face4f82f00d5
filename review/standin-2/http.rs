//! HTTP/1.1: one call on a new connection, and a server with a thread for each connection.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let first = line.split_whitespace().map(str::to_owned).collect();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message {
        first,
        headers,
        body: String::new(),
    };
    let length = message.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(message)
}

/// Makes a call; returns the status and the body, or why there was no response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!(
        "Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let answer = read_message(&mut BufReader::new(stream))?;
    let status = answer.first.get(1).and_then(|word| word.parse().ok());
    Ok((status.ok_or(io::ErrorKind::InvalidData)?, answer.body))
}

/// A response: status and JSON body; `None` breaks the connection off.
pub type Answer = Option<(u16, String)>;

/// A listener with its connections.
pub struct Server {
    is_open: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handle: impl Fn(&Message) -> Answer + Send + Sync + 'static,
    ) -> io::Result<Server> {
        let listener = bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Server {
            is_open: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
        };
        let (is_open, connections) = (server.is_open.clone(), server.connections.clone());
        let handle = Arc::new(handle);
        thread::spawn(move || {
            while is_open.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().push(copy);
                }
                let handle = handle.clone();
                let is_open = is_open.clone();
                thread::spawn(move || serve(stream, &*handle, &is_open));
            }
        });
        Ok(server)
    }

    /// Closes the listener and all connections at once.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// The listener of an earlier life may still be closing.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut left = 50;
    loop {
        match TcpListener::bind(address) {
            Err(error) if left == 0 => return Err(error),
            Err(_) => left -= 1,
            Ok(listener) => return Ok(listener),
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn serve(stream: TcpStream, handle: &dyn Fn(&Message) -> Answer, is_open: &AtomicBool) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(request) = read_message(&mut reader) {
        let answer = handle(&request);
        let Some((status, body)) = answer.filter(|_| is_open.load(Ordering::SeqCst)) else {
            break;
        };
        let text = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}
