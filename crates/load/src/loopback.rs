//! Loopback addresses for the processes of an experiment.
//!
//! Each run uses an IP address of its own, derived from its process ID, and fixed ports below the
//! ephemeral range, so that a restarted process can bind its port again and two runs do not
//! collide.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// Returns the socket address for `port` on the loopback IP address of this run.
pub fn address(port: u16) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    // The second byte is not 0, because other programs use 127.0.0.0/16.
    let ip = Ipv4Addr::new(127, 77, high, low);
    SocketAddr::new(IpAddr::V4(ip), port)
}
