//! HTTP/1.1 with bodies of a known length: a client connection, and a server with one thread for each
//! connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What a server has read of a request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// A connection of a client, opened when it is needed and kept while the server keeps it.
pub struct Client {
    pub address: String,
    pub timeout: Duration,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: &str, timeout: Duration) -> Client {
        Client {
            address: address.to_owned(),
            timeout,
            stream: None,
        }
    }

    /// Sends a request. Without a whole response in time, returns `None` and closes the connection.
    pub fn call(&mut self, method: &str, host: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let address = self.address.parse().ok()?;
                let stream = TcpStream::connect_timeout(&address, self.timeout).ok()?;
                stream.set_nodelay(true).ok()?;
                stream.set_read_timeout(Some(self.timeout)).ok()?;
                BufReader::new(stream)
            }
        };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.get_mut().write_all(request.as_bytes()).ok()?;
        let first = read_line(&mut stream)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let (headers, body) = read_rest(&mut stream)?;
        let is_closed = headers.iter().any(|(name, value)| name == "connection" && value == "close");
        if !is_closed {
            self.stream = Some(stream);
        }
        Some((status, body))
    }
}

/// One request on a connection of its own.
pub fn call(address: &str, method: &str, host: &str, path: &str, body: &str) -> Option<(u16, String)> {
    Client::new(address, Duration::from_millis(3_000)).call(method, host, path, body)
}

/// Serves requests until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(Request) -> (u16, String) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    for stream in listener.incoming().flatten() {
        let handle = handle.clone();
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let mut stream = BufReader::new(stream);
            while let Some(request) = read_request(&mut stream) {
                let (status, body) = handle(request);
                let response = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.get_mut().write_all(response.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let first = read_line(stream)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (headers, body) = read_rest(stream)?;
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}

fn read_rest(stream: &mut BufReader<TcpStream>) -> Option<(Vec<(String, String)>, String)> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((headers, String::from_utf8(body).ok()?))
}

fn read_line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let length = stream.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_owned())
}
