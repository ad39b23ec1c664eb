//! Programs as processes of their own.

use super::support::TestNode;
use std::process::{Child, Command};

/// A router in a process of its own, as in production. Killed on drop, so that a failed test leaves no process behind.
pub struct RouterProcess(Child);

impl RouterProcess {
    pub fn start(node: &TestNode, grace_seconds: u64) -> RouterProcess {
        let settings = node.data_dir.join("router.conf");
        std::fs::create_dir_all(&node.data_dir).unwrap();
        let bounds = format!("bounds.graceS={grace_seconds}\n");
        std::fs::write(&settings, node.settings_text(false) + &bounds).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_router"));
        command
            .arg("--settings")
            .arg(settings)
            .stdout(std::process::Stdio::null())
            .stderr(std::process::Stdio::null());
        RouterProcess(command.spawn().unwrap())
    }

    /// The most resident memory since the process started, in bytes.
    pub fn peak_memory_bytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
    }

    pub fn terminate(&self) {
        let pid = rustix::process::Pid::from_child(&self.0);
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    }

    pub async fn exit(mut self) -> std::process::ExitStatus {
        tokio::task::spawn_blocking(move || self.0.wait().unwrap()).await.unwrap()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
