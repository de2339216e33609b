//! The platform's part: starts the router with the deploy file's command, and observes it.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The router as a child process, killed on drop.
pub struct Router {
    child: Child,
    pub address: SocketAddr,
    is_reaped: bool,
}

/// Returns the value of a key of the deploy file.
fn deploy_value(root: &Path, key: &str) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("read the deploy file");
    text.lines()
        .find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='))
        .and_then(|value| value.trim().strip_prefix('"')?.split('"').next().map(str::to_owned))
        .expect("the key in the deploy file")
}

/// Returns the repository's root: `ROOT`.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").expect("ROOT is set"))
}

/// Returns a loopback address that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

impl Router {
    /// Starts the router in the temporary folder `WORK`. `settings` and `known` are JSON.
    pub fn start(name: &str, discovery: SocketAddr, memory_mb: u64, sockets: u64, known: &str, settings: &str) -> Router {
        let root = root();
        let work = PathBuf::from(std::env::var("WORK").expect("WORK is set"));
        let address = free_address();
        let path = work.join(format!("{name}.json"));
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\"known\":{known},\"settings\":{settings}}}",
            crate::seed().wrapping_mul(0x9e37_79b9_7f4a_7c15)
        );
        std::fs::write(&path, config).expect("write the configuration");
        let log = File::create(work.join(format!("{name}.log"))).expect("create the router's log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(deploy_value(&root, "run"))
            .current_dir(&root)
            .env("RELAY_CONFIG", &path)
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env_remove("RELAY_EDGE")
            .env("TMPDIR", &work)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log's handle"))
            .stderr(log)
            .spawn()
            .expect("start the router");
        // The run script ends this process if the driver can't.
        let _ = std::fs::write(work.join(format!("{name}.pid")), child.id().to_string());
        Router { child, address, is_reaped: false }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    /// Returns a field of the process's status in KiB, such as `RssAnon`.
    pub fn status_kib(&self, field: &str) -> Option<u64> {
        status_kib(self.pid(), field)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        if !self.is_reaped {
            self.is_reaped = self.child.try_wait().is_ok_and(|status| status.is_some());
        }
        self.is_reaped
    }
}

pub fn status_kib(pid: u32, field: &str) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(field)?.strip_prefix(':'))?;
    line.split_whitespace().next()?.parse().ok()
}

impl Drop for Router {
    fn drop(&mut self) {
        if !self.is_reaped {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}
