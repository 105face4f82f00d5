//! Addresses for processes of an experiment.
//!
//! Each run uses a loopback address of its own and fixed ports below the range of outgoing
//! connections, so that a restarted process finds its port free and two runs do not collide.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// The address `port` of this run.
pub fn address(port: u16) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    // The second byte keeps clear of 127.0.0.0/16, which other programs use.
    let ip = Ipv4Addr::new(127, 77, high, low);
    SocketAddr::new(IpAddr::V4(ip), port)
}
