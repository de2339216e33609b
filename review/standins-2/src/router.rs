//! The router as a process, started with the command of the deploy file.

use crate::record::Record;
use crate::socket;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

/// The processes that run now.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case with "could not run" if it takes longer than `limit`, and the routers with it.
pub fn end_after(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        eprintln!("the case took too long");
        if let Ok(running) = RUNNING.lock() {
            for pid in running.iter() {
                socket::signal(*pid, socket::SIGKILL);
            }
        }
        std::process::exit(2);
    });
}

/// The router's process. It is killed at the end of the case.
pub struct Router {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

/// What a router is told, besides its addresses.
pub struct Told {
    pub settings: String,
    /// The list as the router last had it, in discovery's form.
    pub known: String,
    pub sockets: u32,
    pub memory_mb: u32,
    /// The project's own settings.
    pub edge: Option<String>,
}

fn root() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_ROOT").unwrap_or_else(|_| "../..".to_owned()))
}

/// Returns the value of `run` in the deploy file.
fn run_command() -> Option<String> {
    let deploy = fs::read_to_string(root().join("deploy/balancer.toml")).ok()?;
    let line = deploy.lines().find(|line| line.starts_with("run = "))?;
    Some(
        line.trim_start_matches("run = ")
            .trim_matches('"')
            .to_owned(),
    )
}

impl Router {
    /// Starts the router. `temporary` is an empty folder for its files.
    ///
    /// # Errors
    /// Fails if a file can't be written or the process can't be started.
    pub fn start(
        temporary: &Path,
        discovery: SocketAddr,
        told: &Told,
        record: &Record,
    ) -> std::io::Result<Router> {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let mut router = Command::new("/bin/sh");
        let command = run_command().ok_or_else(|| std::io::Error::other("no run command"))?;
        fs::create_dir_all(temporary.join("tmp"))?;
        if let Some(edge) = &told.edge {
            let path = temporary.join("edge.yaml");
            fs::write(&path, edge)?;
            router.env("RELAY_EDGE", path);
        }
        write_config(temporary, address, discovery, told)?;
        let log = File::create(temporary.join("router.log"))?;
        let child = router
            .args(["-c", &command])
            .current_dir(root())
            .env("RELAY_NAME", "n1")
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_CONFIG", temporary.join("config.json"))
            .env("RELAY_LOG", "debug")
            .env("TMPDIR", temporary.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let Ok(mut running) = RUNNING.lock() {
            running.push(child.id());
        }
        record.line(format!("started the router at {address}"));
        Ok(Router {
            child,
            address,
            folder: temporary.to_owned(),
        })
    }

    /// Returns the private memory of the process in KiB, without files; `None` if it has ended.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Sends a signal.
    pub fn signal(&self, number: i32) {
        socket::signal(self.child.id(), number);
    }

    /// Kills the process, as the platform does.
    pub fn kill(&self) {
        socket::signal(self.child.id(), socket::SIGKILL);
    }

    /// Returns the lines of the router's log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("router.log")).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

fn write_config(
    folder: &Path,
    address: SocketAddr,
    discovery: SocketAddr,
    told: &Told,
) -> std::io::Result<()> {
    let config = format!(
        r#"{{"name":"n1","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
 "known":{},
 "settings":{}}}"#,
        told.memory_mb, told.sockets, told.known, told.settings
    );
    // Replaced in one step, so that the router never reads half of it.
    fs::write(folder.join("config.new"), config)?;
    fs::rename(folder.join("config.new"), folder.join("config.json"))
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut running) = RUNNING.lock() {
            running.retain(|pid| *pid != self.child.id());
        }
    }
}
