//! The processes of one machine.

use crate::constants;
use crate::history::{Action, ProcessEvent, Program, Recorder};
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

/// What all machines of a run share.
pub struct Site {
    /// Second part of all addresses of the run.
    pub network: u8,
    /// Where the programs are.
    pub programs: PathBuf,
    /// Where settings, disks and logs go.
    pub folder: PathBuf,
    /// Where all is recorded.
    pub recorder: Arc<Recorder>,
}

impl Site {
    fn ip(&self, machine: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 1 + (machine / 200) as u8, 11 + (machine % 200) as u8)
    }

    /// Where the controllers take calls.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let ips = (0..constants::CORE_MACHINES).map(|machine| self.ip(machine));
        ips.map(|ip| SocketAddr::new(ip.into(), CONTROL_PORT)).collect()
    }

    /// The address of an engine; each one has its own.
    pub fn engine(&self, number: usize) -> SocketAddr {
        let ip =
            Ipv4Addr::new(127, self.network, 100 + (number / 200) as u8, 1 + (number % 200) as u8);
        SocketAddr::new(ip.into(), 8688)
    }
}

/// One machine: a router, and a controller if it is of the core.
pub struct Machine {
    number: usize,
    site: Arc<Site>,
    controller: Mutex<Option<Child>>,
    router: Mutex<Option<Child>>,
    /// Held over a stop and the start that follows it.
    changing: tokio::sync::Mutex<()>,
}

impl Machine {
    /// A machine on which nothing runs, with an empty disk.
    ///
    /// # Errors
    ///
    /// Its folder can't be made.
    pub fn new(number: usize, site: Arc<Site>) -> std::io::Result<Machine> {
        let machine = Machine {
            number,
            site,
            controller: Mutex::default(),
            router: Mutex::default(),
            changing: tokio::sync::Mutex::default(),
        };
        std::fs::create_dir_all(machine.folder().join("data"))?;
        machine.write_settings(true)?;
        Ok(machine)
    }

    /// Its number.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Where its router takes requests.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.site.ip(self.number).into(), FRONT_PORT)
    }

    /// Where its router tells whether it is ready.
    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.site.ip(self.number).into(), READINESS_PORT)
    }

    fn folder(&self) -> PathBuf {
        self.site.folder.join(format!("machine-{}", self.number))
    }

    /// Writes the settings anew; `bootstrap` before the first start alone.
    ///
    /// # Errors
    ///
    /// The file can't be written.
    pub fn write_settings(&self, bootstrap: bool) -> std::io::Result<()> {
        let ip = self.site.ip(self.number);
        let seeds: Vec<String> = self.site.controls().iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "nodeName=n{}\nip={ip}\nzone=z1\nregion=r\nzones.z1=r\nportRange=7640,7655\nseeds={}\n\
             bootstrap={bootstrap}\ndataDir={}\nbindAddrs.frontHttp={ip}:{FRONT_PORT}\n\
             bindAddrs.readiness={ip}:{READINESS_PORT}\nbindAddrs.control={ip}:{CONTROL_PORT}\n\
             heartbeatMs={}\ncounted=true\ntolerance.machines=1\nbounds.contactMs={}\nbounds.graceS={}\n\
             bounds.drainMs={}\nbounds.leaseMs=3000\nbounds.versionMs=8000\nbounds.retryRatio=0.2\n\
             bounds.retryWindowS=10\nbounds.retrySlack=60\nlimits.cores=1\n",
            self.number,
            seeds.join(","),
            self.folder().join("data").display(),
            constants::HEARTBEAT.as_millis(),
            constants::CONTACT.as_millis(),
            constants::GRACE.as_secs(),
            constants::DRAIN.as_millis(),
        );
        std::fs::write(self.settings_file(), text)
    }

    fn settings_file(&self) -> PathBuf {
        self.folder().join("settings.conf")
    }

    fn programs(&self) -> &'static [Program] {
        if self.number < constants::CORE_MACHINES {
            &[Program::Controller, Program::Router]
        } else {
            &[Program::Router]
        }
    }

    fn slot(&self, program: Program) -> &Mutex<Option<Child>> {
        match program {
            Program::Controller => &self.controller,
            Program::Router => &self.router,
        }
    }

    fn record(&self, program: Program, action: Action) {
        let at = self.site.recorder.now();
        let event = ProcessEvent { machine: self.number, program, action, at };
        self.site.recorder.add(|history| history.processes.push(event));
    }

    /// Starts all its processes.
    ///
    /// # Errors
    ///
    /// A program can't be started.
    pub fn start(&self) -> std::io::Result<()> {
        for program in self.programs() {
            let log = self.folder().join(format!("{}.log", program.name()));
            let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
            let child = Command::new(program_file(&self.site.programs, *program))
                .arg("--settings")
                .arg(self.settings_file())
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            *self.slot(*program).lock() = Some(child);
            self.record(*program, Action::Started);
        }
        Ok(())
    }

    /// SIGTERM to all its processes, SIGKILL to what is left after the grace period, and a start.
    ///
    /// # Errors
    ///
    /// A program can't be started again.
    pub async fn restart_in_order(&self, pause: std::time::Duration) -> std::io::Result<()> {
        let _changing = self.changing.lock().await;
        self.signal_all(Signal::TERM, Action::Terminated);
        let end = tokio::time::Instant::now() + constants::GRACE;
        while self.reap_all() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(constants::EXIT_POLL).await;
        }
        self.kill_all(Action::Overran);
        self.start_after(pause).await
    }

    async fn start_after(&self, pause: std::time::Duration) -> std::io::Result<()> {
        tokio::time::sleep(pause).await;
        self.write_settings(false)?;
        self.start()
    }

    /// SIGKILL to all its processes, and a start.
    ///
    /// # Errors
    ///
    /// A program can't be started again.
    pub async fn restart_by_kill(&self, pause: std::time::Duration) -> std::io::Result<()> {
        // beside a stop in order: the kill does not wait for the grace period
        self.kill_all(Action::Killed);
        let _changing = self.changing.lock().await;
        self.kill_all(Action::Killed);
        self.start_after(pause).await
    }

    /// SIGHUP to all its processes.
    pub fn hang_up(&self) {
        self.signal_all(Signal::HUP, Action::HungUp);
    }

    fn signal_all(&self, signal: Signal, action: Action) {
        for program in self.programs() {
            if let Some(child) = &*self.slot(*program).lock() {
                self.record(*program, action);
                let _ = kill_process(Pid::from_child(child), signal);
            }
        }
    }

    /// Takes in which processes have ended; how many run.
    fn reap_all(&self) -> usize {
        let mut running = 0;
        for program in self.programs() {
            let mut slot = self.slot(*program).lock();
            let Some(child) = &mut *slot else { continue };
            match child.try_wait() {
                Ok(None) => running += 1,
                Ok(Some(status)) => {
                    self.record(*program, how_ended(status));
                    *slot = None;
                }
                Err(_) => *slot = None,
            }
        }
        running
    }

    /// SIGKILL to all its processes, recorded as this.
    pub fn kill_all(&self, action: Action) {
        self.reap_all();
        for program in self.programs() {
            if let Some(mut child) = self.slot(*program).lock().take() {
                self.record(*program, action);
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    /// Looks whether a process has ended that nobody asked to.
    pub fn find_dead(&self) {
        if let Ok(_changing) = self.changing.try_lock() {
            for program in self.programs() {
                let mut slot = self.slot(*program).lock();
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

/// How a process ended that had been asked to. One that has not yet taken over SIGTERM is ended by it, and has nothing to
/// complete.
fn how_ended(status: ExitStatus) -> Action {
    let by_sigterm = status.signal() == Some(Signal::TERM.as_raw());
    if status.success() || by_sigterm { Action::Exited } else { Action::Died }
}

/// The file of a program.
pub fn program_file(folder: &Path, program: Program) -> PathBuf {
    folder.join(program.name())
}
