//! Runs a controller as its program does, over TCP and with files, on this machine.

use control_plane::engines::client::HttpClient;
use fleet_core::program::ProgramContext;
use fleet_core::settings::Settings;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// Timeout of a call, generous for busy machines.
const LIMIT: Duration = Duration::from_secs(20);

fn free_port(ip: Ipv4Addr) -> u16 {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
}

/// A running controller, which is stopped when dropped.
pub struct Program {
    control: SocketAddr,
    dir: std::path::PathBuf,
    task: JoinHandle<()>,
    _channels: (watch::Sender<bool>, mpsc::Sender<Settings>),
}

impl Program {
    /// Starts the first of `seeds` seed nodes; the others don't run. Each test of the workspace uses a loopback network
    /// of its own (127.0.`net`), so that no port is assigned twice.
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
        let (reload, reloads) = mpsc::channel(1);
        let log = fleet_core::log::root(slog::Level::Error, "a", "controller");
        let task = tokio::spawn(async move {
            let start = ProgramContext {
                settings,
                log,
                stop: stopped,
                reloaded_settings: reloads,
                metrics: None,
            };
            control_plane::run(start).await.unwrap();
        });
        let control = SocketAddr::new(ip.into(), control);
        Program { control, dir, task, _channels: (stop, reload) }
    }

    /// Sends a request, once the controller accepts a connection; returns the status and the body of the response.
    pub async fn call(
        &self,
        method: http::Method,
        path: &str,
        base: &str,
        body: &str,
    ) -> (u16, String) {
        loop {
            let mut client = HttpClient::new(Ipv4Addr::LOCALHOST, self.control);
            if client.open().await.is_err() {
                assert!(!self.task.is_finished(), "the controller stopped");
                tokio::task::yield_now().await;
                continue;
            }
            let path = format!("/anisedyke/{path}");
            let headers = [("X-Base-Revision", base)];
            let body = body.as_bytes().to_vec();
            let response = client.send(method, &path, &headers, body, LIMIT).await.unwrap();
            let text = String::from_utf8_lossy(&response.body).into_owned();
            return (response.status.as_u16(), text);
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.task.abort();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
