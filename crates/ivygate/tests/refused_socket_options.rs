//! A node on a system that refuses socket options that are only optimizations. The test compiles a library
//! and preloads it into the node's process: setting TCP_NODELAY fails with EBADF, and all other calls go to
//! the system.

mod support;

use std::process::{Command, Stdio};
use support::*;

const REFUSES_NO_DELAY: &str = r#"
#define _GNU_SOURCE
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/syscall.h>
#include <unistd.h>
int setsockopt(int socket, int level, int name, const void *value, socklen_t length) {
    if (level == IPPROTO_TCP && name == TCP_NODELAY) { errno = EBADF; return -1; }
    return (int)syscall(SYS_setsockopt, socket, level, name, value, length);
}
"#;

#[test]
fn refused_socket_option_breaks_no_connection_and_ejects_no_server() {
    let source = scratch(REFUSES_NO_DELAY);
    let library = source.with_extension("so");
    let mut compiler = Command::new("cc");
    compiler.args(["-shared", "-fPIC", "-x", "c", "-o"]).arg(&library).arg(&source).stdin(Stdio::null());
    assert!(compiler.status().expect("a C compiler, as the build needs one").success());
    let app = AppServer::start(|_| Reply::ok("x"));
    let replacement = AppServer::start(|_| Reply::ok("late"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivygate"));
    command.env("LD_PRELOAD", &library);
    let node = Node::started(command, &config(discovery.address, &list, SETTINGS, 1024));
    for (number, class) in ["read", "edit", "order"].into_iter().enumerate() {
        assert_eq!(node.ask(&request(class, &format!("r{number}"))).status(), 200, "{class}");
    }
    // All requests used one connection: none was treated as a failed connect and retried.
    assert_eq!((app.request_count(), app.accepted.load(std::sync::atomic::Ordering::SeqCst)), (3, 1));
    // Updates of the server list arrive as well.
    discovery.push(&listing(2, true, &[target("b", replacement.address, "north", "SERVING")]));
    wait_until("the new list is in use", || {
        node.ask(&request("read", &format!("l{}", replacement.request_count()))).body == b"late"
    });
    for path in [source, library] {
        let _ = std::fs::remove_file(path);
    }
}
