//! What a controller answers engines and operators in and out of contact with a majority.

use control_plane::engines::client::EngineClient;
use fleet_core::settings::Settings;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

const HEARTBEAT: &str = r#"{"service":"s","address":"10.0.0.9:80","state":"ready","callSeq":1}"#;
const CONFIGURATION: &str = r#"{"revision":1,"routes":[],"services":[],"limits":{}}"#;
/// Says that it was answered by what this node knows, without asking the others first.
const NO_CONTACT: &str = "no_contact";
/// For a busy machine; nothing is measured by it.
const LIMIT: Duration = Duration::from_secs(20);

fn free_port(ip: Ipv4Addr) -> u16 {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
}

/// A controller on this machine with so many seeds, of which only itself runs.
struct Running {
    control: SocketAddr,
    dir: std::path::PathBuf,
    task: tokio::task::JoinHandle<()>,
    _ends: (tokio::sync::watch::Sender<bool>, tokio::sync::mpsc::Sender<Settings>),
}

impl Running {
    /// Each test has a network of its own, so that no port is given to two.
    fn start(net: u8, seeds: u8) -> Running {
        let ip = Ipv4Addr::new(127, 0, net, 1);
        let (control, peers) = (free_port(ip), free_port(ip));
        let dir = std::env::temp_dir().join(format!("contact-{net}-{}", std::process::id()));
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
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let (reread, rereads) = tokio::sync::mpsc::channel(1);
        let log = fleet_core::log::root(slog::Level::Error, "a", "controller");
        let task = tokio::spawn(async move {
            control_plane::run(settings, log, stopped, rereads).await.unwrap();
        });
        let control = SocketAddr::new(ip.into(), control);
        Running { control, dir, task, _ends: (stop, reread) }
    }

    async fn answers(&self, method: http::Method, path: &str, body: &str) -> (u16, String) {
        loop {
            let mut client = EngineClient::new(Ipv4Addr::LOCALHOST, self.control);
            if client.open().await.is_err() {
                assert!(!self.task.is_finished(), "the controller ended");
                tokio::task::yield_now().await;
                continue;
            }
            let headers = [("X-Base-Revision", "0")];
            let body = body.as_bytes().to_vec();
            let a = client.send(method, path, &headers, body, LIMIT).await.unwrap();
            return (a.status.as_u16(), String::from_utf8_lossy(&a.body).into_owned());
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

#[tokio::test]
async fn out_of_contact_every_call_is_sent_on_to_another_node_and_heard_all_the_same() {
    let s = Running::start(1, 3);
    let post = http::Method::POST;
    let heartbeat = s.answers(post.clone(), "/anisedyke/Instances.Heartbeat/i-1", HEARTBEAT).await;
    assert!(heartbeat.0 == 503 && heartbeat.1.contains(NO_CONTACT), "{heartbeat:?}");
    let put = s.answers(post.clone(), "/anisedyke/version-put", r#"{"model":"m","revision":2}"#);
    let put = put.await;
    assert!(put.0 == 503 && put.1.contains(NO_CONTACT), "{put:?}");
    let replaced = s.answers(post.clone(), "/anisedyke/Config.Replace", CONFIGURATION).await;
    assert!(replaced.0 == 503 && replaced.1.contains(NO_CONTACT), "{replaced:?}");
    let fetched = s.answers(http::Method::GET, "/anisedyke/Config.Fetch", "").await;
    assert!(fetched.0 == 503 && fetched.1.contains(NO_CONTACT), "{fetched:?}");
    let fleet = s.answers(http::Method::GET, "/anisedyke/Fleet.Look", "").await;
    assert!(fleet.0 == 200 && fleet.1.contains("i-1"), "{fleet:?}");
    let members = s.answers(http::Method::GET, "/anisedyke/Members.Look", "").await;
    assert!(members.0 == 200 && members.1.contains(r#""inContact":false"#), "{members:?}");
    let deregistered = s.answers(post, "/anisedyke/Instances.Deregister/i-1", "").await;
    assert!(deregistered.0 == 503 && deregistered.1.contains(NO_CONTACT), "{deregistered:?}");
    let fleet = s.answers(http::Method::GET, "/anisedyke/Fleet.Look", "").await;
    assert!(fleet.1.contains("gone"), "{fleet:?}");
}

/// What is wrong in itself no other node would take either.
#[tokio::test]
async fn what_is_malformed_is_told_so_also_out_of_contact() {
    let s = Running::start(3, 3);
    for path in ["Instances.Heartbeat/i-1", "Instances.Deregister/i-1"] {
        let answer = s.answers(http::Method::POST, &format!("/anisedyke/{path}"), "{").await;
        assert!(answer.0 == 400 && answer.1.contains("malformed"), "{path}: {answer:?}");
        let large = " ".repeat(fleet_core::constants::HEARTBEAT_MAX_BYTES + 1);
        let answer = s.answers(http::Method::POST, &format!("/anisedyke/{path}"), &large).await;
        assert!(answer.0 == 413 && answer.1.contains("too_large"), "{path}: {answer:?}");
    }
    for path in ["Config.Replace", "version-put"] {
        let answer = s.answers(http::Method::POST, &format!("/anisedyke/{path}"), "{").await;
        assert!(answer.0 == 503 && answer.1.contains(NO_CONTACT), "{path}: {answer:?}");
    }
}

#[tokio::test]
async fn in_contact_heartbeats_and_changes_are_acknowledged() {
    let s = Running::start(2, 1);
    let post = http::Method::POST;
    let heartbeat = "/anisedyke/Instances.Heartbeat/i-1";
    while s.answers(post.clone(), heartbeat, HEARTBEAT).await.0 != 200 {}
    let replaced = s.answers(post, "/anisedyke/Config.Replace", CONFIGURATION).await;
    assert_eq!(replaced.0, 200, "{}", replaced.1);
    let fetched = s.answers(http::Method::GET, "/anisedyke/Config.Fetch", "").await;
    assert_eq!(fetched, (200, CONFIGURATION.to_owned()));
    let members = s.answers(http::Method::GET, "/anisedyke/Members.Look", "").await;
    assert!(members.0 == 200 && members.1.contains(r#""inContact":true"#), "{members:?}");
}
