//! The router under test as a child process, with its configuration files, log and signals.

use crate::client::Client;
use crate::discovery::FakeDiscovery;
use crate::shared_state::{SharedState, WAIT_TIMEOUT};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Instant;

/// Returns the settings that tests start from, with three request classes: `board` (eventually consistent reads), `own`
/// (read-your-writes) and `book` (writes with an idempotency key). Durations are in nanoseconds.
pub fn base_settings() -> Value {
    let class = |name: &str, repeat: &str, deadline_ms: u64| {
        json!({"name": name, "repeat": repeat, "group": "cell", "credit": 1.0, "lateWorth": 0.5,
               "onTime": 900_000_000u64, "hardLimit": deadline_ms * 1_000_000, "window": 2_000_000_000u64})
    };
    json!({
        "az": 0, "zones": ["a", "b"], "groupSize": 2, "period": 5_000_000, "registryMode": "subscribe",
        "ceilings": {"maxAttempts": 10, "mayCancel": true, "probes": true, "retryAfter": true,
            "maxRetryAfter": 1_000_000_000u64, "secondCopies": true, "connectTimeout": 250_000_000,
            "idleClose": 15_000_000_000u64},
        "classes": [class("board", "retryable", 30_000), class("own", "retryable", 30_000),
            class("book", "dedup", 30_000)],
        "familyInfo": {"freshness": ["eventual", "causal", "mutate"], "guards": "bounce", "maxAge": [0, 0, 0],
            "listRole": "silent", "originTime": 0, "sessionMarks": "brought", "stamps": true},
        "report": {"columns": ["x0", "x1"], "source": "piggyback"},
        "rules": {"coldFrom": 0.16, "drainGrace": 250_000_000, "fall": 1_500_000_000, "fallMultiple": 3.0,
            "warmAfter": 17_000_000_000u64, "askEvery": 10_000_000_000u64}
    })
}

/// The limits in the router's configuration.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// The value of `limits.sockets`: file descriptors.
    pub sockets: u64,
    /// The value of `limits.memory_mb`, in MiB. It is not enforced: tests compare the process's memory with it.
    pub memory_mb: u64,
}

impl From<u64> for ProcessLimits {
    /// Returns limits of `sockets` file descriptors and 192 MiB.
    fn from(sockets: u64) -> ProcessLimits {
        ProcessLimits {
            sockets,
            memory_mb: 192,
        }
    }
}

/// Owns the process of the router under test, which is killed on drop.
pub struct RouterProcess {
    child: Child,
    /// The address on which the router accepts clients.
    pub address: SocketAddr,
    /// The lines of the log so far.
    pub log: SharedState<Vec<String>>,
    /// The configuration that the router started with.
    config: Value,
    /// The directory of the configuration files.
    dir: tempfile::TempDir,
}

impl RouterProcess {
    /// Starts the program at `exe` and waits until it listens. In its configuration, `known` is the initial endpoint
    /// list. `extensions` is the text of its extensions file (YAML), if there is one.
    ///
    /// # Panics
    /// If the program can't be started or does not listen within [`WAIT_TIMEOUT`].
    pub fn start(
        exe: &str,
        discovery: &FakeDiscovery,
        known: &[Value],
        limits: impl Into<ProcessLimits>,
        settings: Value,
        extensions: Option<&str>,
    ) -> RouterProcess {
        RouterProcess::start_with_discovery_at(
            exe,
            discovery.address,
            known,
            limits,
            settings,
            extensions,
        )
    }

    /// Starts the program like [`start`](RouterProcess::start), with the address of any discovery service.
    ///
    /// # Panics
    /// If the program can't be started or does not listen within [`WAIT_TIMEOUT`].
    pub fn start_with_discovery_at(
        exe: &str,
        discovery: SocketAddr,
        known: &[Value],
        limits: impl Into<ProcessLimits>,
        settings: Value,
        extensions: Option<&str>,
    ) -> RouterProcess {
        let limits = limits.into();
        let dir = tempfile::tempdir().expect("create a temporary directory");
        let path = dir.path().join("config.json");
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": {"rev": 1, "all": true, "targets": known}, "settings": settings});
        std::fs::write(&path, config.to_string()).expect("write the configuration");
        let mut command = Command::new(exe);
        if let Some(extensions) = extensions {
            let path = dir.path().join("edge.yaml");
            std::fs::write(&path, extensions).expect("write the extensions");
            command.arg("--edge").arg(path);
        }
        let mut child = command
            .env("RELAY_CONFIG", &path)
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_EDGE")
            .env("RELAY_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the router program");
        let log = SharedState::new(Vec::<String>::new());
        let (lines, stderr) = (
            log.clone(),
            child.stderr.take().expect("standard error of the router"),
        );
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lines.with(|lines| lines.push(line));
            }
        });
        let listen_address = |lines: &mut Vec<String>| {
            let line = lines.iter().find(|line| line.contains("listening"))?;
            line.split("address: ")
                .nth(1)?
                .split(',')
                .next()?
                .parse()
                .ok()
        };
        let address = log
            .wait_for(WAIT_TIMEOUT, listen_address)
            .expect("a log line with the address on which the router listens");
        RouterProcess {
            child,
            address,
            log,
            config,
            dir,
        }
    }

    /// Replaces the extensions file and makes the router reload its configuration. The router must have been started
    /// with extensions.
    ///
    /// # Panics
    /// If the file can't be replaced or the signal can't be sent.
    pub fn reload_extensions(&self, extensions: &str) {
        let (new, path) = (
            self.dir.path().join("new.yaml"),
            self.dir.path().join("edge.yaml"),
        );
        std::fs::write(&new, extensions).expect("write the extensions");
        std::fs::rename(new, path).expect("replace the extensions");
        self.signal("HUP");
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the peak resident memory of the process in kB.
    ///
    /// # Panics
    /// If the process has exited.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()))
            .expect("read the status of the router process");
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let peak = peak.expect("the peak memory of the router process");
        let digits = peak.trim().trim_end_matches(" kB");
        digits.parse().expect("a number of kB")
    }

    /// Sends a signal to the process, by its name without `SIG`, such as `HUP`.
    ///
    /// # Panics
    /// If the signal can't be sent.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(
            Command::new("sh")
                .args(["-c", &kill])
                .status()
                .is_ok_and(|status| status.success())
        );
    }

    /// Replaces a top-level field of the configuration that the router started with and makes the router reload it.
    ///
    /// # Panics
    /// If the file can't be replaced or the signal can't be sent.
    pub fn reload_config(&self, field: &str, value: Value) {
        let mut config = self.config.clone();
        config[field] = value;
        let (new, path) = (
            self.dir.path().join("new.json"),
            self.dir.path().join("config.json"),
        );
        std::fs::write(&new, config.to_string()).expect("write the configuration");
        std::fs::rename(new, path).expect("replace the configuration");
        self.signal("HUP");
    }

    /// Waits until the process has exited and returns its exit status.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("wait for the router process")
    }

    /// Waits until a line of the log contains `text`; returns whether one does within [`WAIT_TIMEOUT`].
    pub fn wait_for_log(&self, text: &str) -> bool {
        self.log
            .wait_for(WAIT_TIMEOUT, |lines| {
                lines.iter().any(|line| line.contains(text)).then_some(())
            })
            .is_some()
    }

    /// Makes the router log its counters and returns that line.
    ///
    /// # Panics
    /// If the line is not logged within [`WAIT_TIMEOUT`].
    pub fn counters(&self) -> String {
        let logged = self.log.with(|lines| lines.len());
        self.signal("USR1");
        let counters_line = |lines: &mut Vec<String>| {
            lines[logged..]
                .iter()
                .find(|line| line.contains("counters"))
                .cloned()
        };
        self.log
            .wait_for(WAIT_TIMEOUT, counters_line)
            .expect("a log line with the counters")
    }

    /// Waits until the counters contain `text`, such as `served=5`; returns whether they do within [`WAIT_TIMEOUT`].
    pub fn wait_for_counter(&self, text: &str) -> bool {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if format!("{} ", self.counters()).contains(&format!(" {text} ")) {
                return true;
            }
        }
        false
    }

    /// Returns whether the last line of the log contains a counter with its value, such as `served=5`.
    pub fn has_final_counter(&self, text: &str) -> bool {
        self.log.with(|lines| {
            lines
                .last()
                .is_some_and(|line| line.contains(&format!(" {text} ")))
        })
    }

    /// Connects a client and completes its startup.
    ///
    /// # Panics
    /// If the router refuses the connection or does not complete the startup.
    pub fn connect_client(&self) -> Client {
        let mut client = Client::connect(self.address);
        client.complete_startup();
        client
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
