//! Sockets with a small receive buffer, as a peer with little memory has. The standard library can't set its size, so
//! the calls of the system's C library are declared here; the numbers are those of Linux on x86-64 and on arm64.

use std::ffi::{c_int, c_void};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn connect(socket: c_int, address: *const SocketAddress, length: u32) -> c_int;
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
}

fn check(result: c_int) -> io::Result<c_int> {
    if result < 0 { Err(io::Error::last_os_error()) } else { Ok(result) }
}

fn set_receive_buffer(socket: c_int, bytes: c_int) -> io::Result<()> {
    let value = std::ptr::from_ref(&bytes).cast::<c_void>();
    // SAFETY: `value` points to a C integer that outlives the call.
    check(unsafe { setsockopt(socket, SOL_SOCKET, SO_RCVBUF, value, size_of::<c_int>() as u32) })?;
    Ok(())
}

/// Connects a socket whose receive buffer has this size.
pub fn connect_with_buffer(to: SocketAddrV4, bytes: usize) -> io::Result<TcpStream> {
    let ip: Ipv4Addr = *to.ip();
    let address = SocketAddress {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        ip: ip.octets(),
        zero: [0; 8],
    };
    // SAFETY: the numbers are valid, and the new descriptor is owned by the stream from here on.
    let stream = unsafe { TcpStream::from_raw_fd(check(socket(AF_INET, SOCK_STREAM, 0))?) };
    set_receive_buffer(stream.as_raw_fd(), bytes as c_int)?;
    // SAFETY: `address` has the layout of an IPv4 address and outlives the call.
    check(unsafe { connect(stream.as_raw_fd(), &address, size_of::<SocketAddress>() as u32) })?;
    Ok(stream)
}

/// Gives the connections of a listener a receive buffer of this size.
pub fn limit_buffer(listener: &TcpListener, bytes: usize) -> io::Result<()> {
    set_receive_buffer(listener.as_raw_fd(), bytes as c_int)
}
