//! The router as a process.

use crate::client::Client;
use crate::discovery::FakeDiscovery;
use crate::shared_state::{SharedState, WAIT_TIMEOUT};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Instant;

/// The settings that tests start from: classes `board` (any member), `own` (sessions) and `book` (a keyed write).
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

/// The router as a process; ended when dropped.
pub struct RouterProcess {
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// The lines of its log.
    pub log: SharedState<Vec<String>>,
    config: Value,
    dir: tempfile::TempDir,
}

impl RouterProcess {
    /// Starts the program at `exe` with these sockets and settings, `edge` as its own settings in YAML, and waits
    /// until it listens.
    ///
    /// # Panics
    /// If it can't be started or does not listen in time.
    pub fn start(
        exe: &str,
        discovery: &FakeDiscovery,
        known: &[Value],
        sockets: u64,
        settings: Value,
        edge: Option<&str>,
    ) -> RouterProcess {
        RouterProcess::start_with_discovery_at(
            exe,
            discovery.address,
            known,
            sockets,
            settings,
            edge,
        )
    }

    /// The same with discovery at an address, whoever serves there.
    ///
    /// # Panics
    /// If it can't be started or does not listen in time.
    pub fn start_with_discovery_at(
        exe: &str,
        discovery: SocketAddr,
        known: &[Value],
        sockets: u64,
        settings: Value,
        edge: Option<&str>,
    ) -> RouterProcess {
        let dir = tempfile::tempdir().expect("a folder");
        let path = dir.path().join("config.json");
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": {"rev": 1, "all": true, "targets": known}, "settings": settings});
        std::fs::write(&path, config.to_string()).expect("a configuration");
        let mut command = Command::new(exe);
        if let Some(edge) = edge {
            let path = dir.path().join("edge.yaml");
            std::fs::write(&path, edge).expect("settings");
            command.arg("--edge").arg(path);
        }
        let mut child = command
            .env("RELAY_CONFIG", &path)
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_EDGE")
            .env("RELAY_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the router's program");
        let log = SharedState::new(Vec::<String>::new());
        let (l, stderr) = (log.clone(), child.stderr.take().expect("its log"));
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                l.with(|l| l.push(line));
            }
        });
        let listening = |l: &mut Vec<String>| {
            let line = l.iter().find(|l| l.contains("listening"))?;
            line.split("address: ")
                .nth(1)?
                .split(',')
                .next()?
                .parse()
                .ok()
        };
        let address = log
            .wait_for(WAIT_TIMEOUT, listening)
            .expect("the router did not start");
        RouterProcess {
            child,
            address,
            log,
            config,
            dir,
        }
    }

    /// Replaces the router's own settings and has it read them again.
    pub fn reload_extensions(&self, edge: &str) {
        let (new, path) = (
            self.dir.path().join("new.yaml"),
            self.dir.path().join("edge.yaml"),
        );
        std::fs::write(&new, edge).expect("settings");
        std::fs::rename(new, path).expect("settings");
        self.signal("HUP");
    }

    /// The number of its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal, such as `HUP`.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(
            Command::new("sh")
                .args(["-c", &kill])
                .status()
                .is_ok_and(|s| s.success())
        );
    }

    /// Replaces a field of the configuration file and has the router read it again.
    pub fn reload_config(&self, field: &str, value: Value) {
        let mut config = self.config.clone();
        config[field] = value;
        let (new, path) = (
            self.dir.path().join("new.json"),
            self.dir.path().join("config.json"),
        );
        std::fs::write(&new, config.to_string()).expect("a configuration");
        std::fs::rename(new, path).expect("a configuration");
        self.signal("HUP");
    }

    /// Waits for its end.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("its end")
    }

    /// Waits until a line of its log holds `text`; says whether one does.
    pub fn wait_for_log(&self, text: &str) -> bool {
        self.log
            .wait_for(WAIT_TIMEOUT, |l| {
                l.iter().any(|l| l.contains(text)).then_some(())
            })
            .is_some()
    }

    /// The counters as they are now, printed on request.
    pub fn counters(&self) -> String {
        let before = self.log.with(|l| l.len());
        self.signal("USR1");
        let line =
            |l: &mut Vec<String>| l[before..].iter().find(|l| l.contains("counters")).cloned();
        self.log.wait_for(WAIT_TIMEOUT, line).expect("no counters")
    }

    /// Waits until the counters hold `text`.
    pub fn wait_for_counter(&self, text: &str) -> bool {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if format!("{} ", self.counters()).contains(&format!(" {text} ")) {
                return true;
            }
        }
        false
    }

    /// Whether its last line holds this count.
    pub fn has_final_counter(&self, text: &str) -> bool {
        self.log
            .with(|l| l.last().is_some_and(|l| l.contains(&format!(" {text} "))))
    }

    /// A client that has been welcomed.
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
