//! The processes of one machine.

use crate::constants;
use crate::history::{Action, PeakMemory, ProcessEvent, Program, Recorder};
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;

const CONTROL_PORT: u16 = 8169;
const FRONT_PORT: u16 = 8167;
const READINESS_PORT: u16 = 8162;

/// The environment that all machines of a run share.
pub struct RunContext {
    /// Second octet of all addresses of the run.
    pub network: u8,
    /// Directory of the programs.
    pub programs: PathBuf,
    /// Directory for settings, data and logs.
    pub folder: PathBuf,
    /// Records the events of the run.
    pub recorder: Arc<Recorder>,
}

impl RunContext {
    fn ip(&self, machine: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 1 + (machine / 200) as u8, 11 + (machine % 200) as u8)
    }

    /// Addresses at which the controllers accept `control` calls.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let ips = (0..constants::CONTROLLER_MACHINES).map(|machine| self.ip(machine));
        ips.map(|ip| SocketAddr::new(ip.into(), CONTROL_PORT)).collect()
    }

    /// The address of an engine, unique in the run.
    pub fn engine_address(&self, number: usize) -> SocketAddr {
        let ip =
            Ipv4Addr::new(127, self.network, 100 + (number / 200) as u8, 1 + (number % 200) as u8);
        SocketAddr::new(ip.into(), 8688)
    }
}

/// A machine with a router, and a controller if it is one of the first [`constants::CONTROLLER_MACHINES`].
pub struct Machine {
    number: usize,
    context: Arc<RunContext>,
    controller: Mutex<Option<Child>>,
    router: Mutex<Option<Child>>,
    /// Held from a stop until the following start is complete.
    restart_lock: tokio::sync::Mutex<()>,
}

impl Machine {
    /// Creates a machine with an empty data directory and no running processes.
    ///
    /// # Errors
    ///
    /// If its directory or its settings cannot be written.
    pub fn new(number: usize, context: Arc<RunContext>) -> std::io::Result<Machine> {
        let machine = Machine {
            number,
            context,
            controller: Mutex::default(),
            router: Mutex::default(),
            restart_lock: tokio::sync::Mutex::default(),
        };
        std::fs::create_dir_all(machine.folder().join("data"))?;
        machine.write_settings(true)?;
        Ok(machine)
    }

    /// Number of the machine.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Address at which its router accepts requests.
    pub fn front_address(&self) -> SocketAddr {
        SocketAddr::new(self.context.ip(self.number).into(), FRONT_PORT)
    }

    /// Address of its router's readiness endpoint.
    pub fn readiness_address(&self) -> SocketAddr {
        SocketAddr::new(self.context.ip(self.number).into(), READINESS_PORT)
    }

    fn folder(&self) -> PathBuf {
        self.context.folder.join(format!("machine-{}", self.number))
    }

    /// Writes the settings file; `bootstrap` is true only before the first start.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn write_settings(&self, bootstrap: bool) -> std::io::Result<()> {
        let ip = self.context.ip(self.number);
        let seeds: Vec<String> =
            self.context.control_addresses().iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "nodeName=n{}\nip={ip}\nzone=z1\nregion=r\nzones.z1=r\nportRange=7640,7655\nseeds={}\n\
             bootstrap={bootstrap}\ndataDir={}\nbindAddrs.frontHttp={ip}:{FRONT_PORT}\n\
             bindAddrs.readiness={ip}:{READINESS_PORT}\nbindAddrs.control={ip}:{CONTROL_PORT}\n\
             heartbeatMs={}\ncounted=true\ntolerance.machines=1\nbounds.contactMs={}\nbounds.graceS={}\n\
             bounds.drainMs={}\nbounds.applyMs={}\nbounds.leaseMs=3000\nbounds.versionMs={}\nbounds.retryRatio=0.2\n\
             bounds.retryWindowS=10\nbounds.retrySlack=60\nlimits.cores=1\n",
            self.number,
            seeds.join(","),
            self.folder().join("data").display(),
            constants::HEARTBEAT_INTERVAL.as_millis(),
            constants::CONTACT_PERIOD.as_millis(),
            constants::GRACE_PERIOD.as_secs(),
            constants::DRAIN_PERIOD.as_millis(),
            constants::APPLY_PERIOD.as_millis(),
            constants::VERSION_PERIOD.as_millis(),
        );
        std::fs::write(self.settings_file(), text)
    }

    fn settings_file(&self) -> PathBuf {
        self.folder().join("settings.conf")
    }

    fn programs(&self) -> &'static [Program] {
        if self.number < constants::CONTROLLER_MACHINES {
            &[Program::Controller, Program::Router]
        } else {
            &[Program::Router]
        }
    }

    fn child_slot(&self, program: Program) -> &Mutex<Option<Child>> {
        match program {
            Program::Controller => &self.controller,
            Program::Router => &self.router,
        }
    }

    fn record(&self, program: Program, action: Action) {
        let at = self.context.recorder.now();
        let event = ProcessEvent { machine: self.number, program, action, at };
        self.context.recorder.add(|history| history.processes.push(event));
    }

    /// Starts all processes.
    ///
    /// # Errors
    ///
    /// If a program cannot be started.
    pub fn start(&self) -> std::io::Result<()> {
        for program in self.programs() {
            let log = self.folder().join(format!("{}.log", program.name()));
            let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
            let child = Command::new(program_file(&self.context.programs, *program))
                .arg("--settings")
                .arg(self.settings_file())
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            *self.child_slot(*program).lock() = Some(child);
            self.record(*program, Action::Started);
        }
        Ok(())
    }

    /// Sends SIGTERM to all processes, kills those still running after the grace period, and restarts them.
    ///
    /// # Errors
    ///
    /// If a program cannot be restarted.
    pub async fn restart_gracefully(&self, pause: std::time::Duration) -> std::io::Result<()> {
        let _guard = self.restart_lock.lock().await;
        self.send_signal(Signal::TERM, Action::Terminated);
        let end = tokio::time::Instant::now() + constants::GRACE_PERIOD;
        while self.reap_exited() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(constants::EXIT_POLL_INTERVAL).await;
        }
        self.kill_all(Action::KilledAfterGrace);
        self.start_after(pause).await
    }

    async fn start_after(&self, pause: std::time::Duration) -> std::io::Result<()> {
        tokio::time::sleep(pause).await;
        self.write_settings(false)?;
        self.start()
    }

    /// Kills all processes and restarts them.
    ///
    /// # Errors
    ///
    /// If a program cannot be restarted.
    pub async fn restart_by_kill(&self, pause: std::time::Duration) -> std::io::Result<()> {
        // Kills before taking the lock, so that a graceful stop in progress does not delay the kill by its grace period.
        self.kill_all(Action::Killed);
        let _guard = self.restart_lock.lock().await;
        self.kill_all(Action::Killed);
        self.start_after(pause).await
    }

    /// Sends SIGHUP to all processes.
    pub fn send_hang_up(&self) {
        self.send_signal(Signal::HUP, Action::HungUp);
    }

    fn send_signal(&self, signal: Signal, action: Action) {
        for program in self.programs() {
            if let Some(child) = &*self.child_slot(*program).lock() {
                self.record(*program, action);
                let _ = kill_process(Pid::from_child(child), signal);
            }
        }
    }

    /// Reaps and records processes that have exited; returns how many are still running.
    fn reap_exited(&self) -> usize {
        let mut running = 0;
        for program in self.programs() {
            let mut slot = self.child_slot(*program).lock();
            let Some(child) = &mut *slot else { continue };
            match child.try_wait() {
                Ok(None) => running += 1,
                Ok(Some(status)) => {
                    self.record(*program, exit_action(status));
                    *slot = None;
                }
                Err(_) => *slot = None,
            }
        }
        running
    }

    /// Kills all processes, and records it as the given action.
    pub fn kill_all(&self, action: Action) {
        self.reap_exited();
        for program in self.programs() {
            if let Some(mut child) = self.child_slot(*program).lock().take() {
                self.record(*program, action);
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    /// Records the most memory that each running process has used so far.
    pub fn sample_memory(&self) {
        for program in self.programs() {
            let slot = self.child_slot(*program).lock();
            if let Some(bytes) = slot.as_ref().and_then(peak_memory_bytes) {
                let sample = PeakMemory { machine: self.number, program: *program, bytes };
                self.context.recorder.add_memory(sample);
            }
        }
    }

    /// Records processes that have exited without having been told to, unless a restart is in progress.
    pub fn record_unexpected_exits(&self) {
        if let Ok(_guard) = self.restart_lock.try_lock() {
            for program in self.programs() {
                let mut slot = self.child_slot(*program).lock();
                let has_ended =
                    slot.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)));
                if has_ended {
                    self.record(*program, Action::Died);
                    *slot = None;
                }
            }
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill_all(Action::Killed);
    }
}

/// The most resident memory of a running process; `None` if it has exited.
fn peak_memory_bytes(child: &Child) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = peak.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Classifies the exit of a process that was told to end. One that has not yet installed its handler is ended by
/// SIGTERM itself; this counts as a normal exit, since it has no work to complete.
fn exit_action(status: ExitStatus) -> Action {
    let by_sigterm = status.signal() == Some(Signal::TERM.as_raw());
    if status.success() || by_sigterm { Action::Exited } else { Action::Died }
}

/// The executable file of a program.
pub fn program_file(folder: &Path, program: Program) -> PathBuf {
    folder.join(program.name())
}
