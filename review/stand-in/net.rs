//! Sockets with the small segments and windows of a long link, and a relay that stands for a link.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SockAddr, length: u32) -> i32;
    fn close(socket: i32) -> i32;
}

/// `struct sockaddr_in` of Linux.
#[repr(C)]
struct SockAddr {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Connects with segments and a receive buffer of the given sizes in bytes, as over a long link. On the loopback interface
/// segments of 64 KB and windows of megabytes would hide that the reader is slow.
pub fn connect_over_link(to: SocketAddrV4, segment: i32, window: i32) -> io::Result<TcpStream> {
    let address = SockAddr {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        address: to.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the arguments are valid for the calls, and the descriptor is owned by this function until it is returned.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let size = size_of::<i32>() as u32;
        let is_set = setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &window, size) == 0
            && setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, size) == 0;
        if !is_set || connect(descriptor, &address, size_of::<SockAddr>() as u32) != 0 {
            let error = io::Error::last_os_error();
            close(descriptor);
            return Err(error);
        }
        Ok(TcpStream::from_raw_fd(descriptor))
    }
}

/// Returns an address of a machine in the loopback network of a run.
pub fn machine(network: [u8; 2], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, network[0], network[1], host)
}
