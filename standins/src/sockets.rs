//! Finds out which process opened a connection on loopback, so that a proxy can treat the connections of one process apart.

use std::fs;
use std::net::SocketAddr;

use netlink_packet_core::{NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::{AF_INET, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_sys::protocols::NETLINK_SOCK_DIAG;
use netlink_sys::{Socket, SocketAddr as NetlinkAddr};

/// Returns the process among `candidates` that has the socket of an IPv4 connection; `None` if none of them has it.
pub(crate) fn find_owner(local: SocketAddr, remote: SocketAddr, candidates: &[u32]) -> Option<u32> {
    if candidates.is_empty() {
        return None;
    }
    let name = format!("socket:[{}]", find_inode(local, remote)?);
    let has_socket = |id: &u32| {
        let descriptors = fs::read_dir(format!("/proc/{id}/fd"));
        descriptors.is_ok_and(|mut list| {
            list.any(|entry| {
                entry.is_ok_and(|entry| fs::read_link(entry.path()).is_ok_and(|link| link.as_os_str() == name.as_str()))
            })
        })
    };
    candidates.iter().copied().find(has_socket)
}

/// Asks the kernel for the inode of one socket. Rows of `/proc/net/tcp` are missed at times when it has thousands of them.
fn find_inode(local: SocketAddr, remote: SocketAddr) -> Option<u32> {
    let mut socket = Socket::new(NETLINK_SOCK_DIAG).ok()?;
    socket.bind_auto().ok()?;
    socket.connect(&NetlinkAddr::new(0, 0)).ok()?;
    let request = InetRequest {
        family: AF_INET,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id: SocketId {
            source_port: local.port(),
            destination_port: remote.port(),
            source_address: local.ip(),
            destination_address: remote.ip(),
            interface_id: 0,
            // Matches any cookie.
            cookie: [0xff; 8],
        },
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    socket.send(&bytes, 0).ok()?;
    let (response, _) = socket.recv_from_full().ok()?;
    match NetlinkMessage::<SockDiagMessage>::deserialize(&response).ok()?.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) => Some(response.header.inode),
        _ => None,
    }
}
