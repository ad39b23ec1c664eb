//! A controller as its program runs it: over TCP, with files, on this machine.

use control_plane::engines::client::EngineClient;
use fleet_core::program::Start;
use fleet_core::settings::Settings;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// For a busy machine; nothing is measured by it.
const LIMIT: Duration = Duration::from_secs(20);

fn free_port(ip: Ipv4Addr) -> u16 {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
}

/// A controller, ended when dropped.
pub struct Program {
    control: SocketAddr,
    dir: std::path::PathBuf,
    task: JoinHandle<()>,
    _ends: (watch::Sender<bool>, mpsc::Sender<Settings>),
}

impl Program {
    /// Starts the first of so many seeds; the others don't run. Each test of the workspace has a network of its own,
    /// so that no port is given to two.
    pub fn start(net: u8, seeds: u8) -> Program {
        let ip = Ipv4Addr::new(127, 0, net, 1);
        let (control, peers) = (free_port(ip), free_port(ip));
        let dir = std::env::temp_dir().join(format!("controller-{net}-{}", std::process::id()));
        let seeds: Vec<String> =
            (1..=seeds).map(|n| format!("127.0.{net}.{n}:{control}")).collect();
        let text = format!(
            "nodeName=a\nip={ip}\nzone=z\nportRange={peers},{}\nbindAddrs.control={ip}:{control}\n\
             seeds={}\nbootstrap=true\ndataDir={}\n",
            peers.saturating_add(9),
            seeds.join(","),
            dir.display()
        );
        let settings = Settings::parse(&text).unwrap();
        let (stop, stopped) = watch::channel(false);
        let (reread, rereads) = mpsc::channel(1);
        let log = fleet_core::log::root(slog::Level::Error, "a", "controller");
        let task = tokio::spawn(async move {
            let start = Start { settings, log, stop: stopped, reread: rereads, metrics: None };
            control_plane::run(start).await.unwrap();
        });
        let control = SocketAddr::new(ip.into(), control);
        Program { control, dir, task, _ends: (stop, reread) }
    }

    /// Calls it, again until it listens; status and body of the answer.
    pub async fn call(
        &self,
        method: http::Method,
        path: &str,
        base: &str,
        body: &str,
    ) -> (u16, String) {
        loop {
            let mut client = EngineClient::new(Ipv4Addr::LOCALHOST, self.control);
            if client.open().await.is_err() {
                assert!(!self.task.is_finished(), "the controller ended");
                tokio::task::yield_now().await;
                continue;
            }
            let path = format!("/anisedyke/{path}");
            let headers = [("X-Base-Revision", base)];
            let body = body.as_bytes().to_vec();
            let answer = client.send(method, &path, &headers, body, LIMIT).await.unwrap();
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            return (answer.status.as_u16(), text);
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.task.abort();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
