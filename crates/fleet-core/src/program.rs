//! What both programs share: command line, settings, signals, runtime.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::constants;
use crate::log::Event;
use crate::settings::{Settings, SettingsError};
use gumdrop::Options;
use std::process::ExitCode;

#[derive(Debug, Options)]
struct Words {
    /// print this help
    help: bool,
    /// print the version
    #[options(no_short)]
    version: bool,
    /// only check the settings, and end
    check: bool,
    /// settings file; else the one that ANISEDYKE_SETTINGS names
    #[options(meta = "FILE")]
    settings: Option<String>,
    /// error, warning, info or debug
    #[options(meta = "LEVEL", default = "info")]
    log_level: String,
}

pub struct About {
    pub name: &'static str,
    pub version: &'static str,
    pub what: &'static str,
    /// settings that this program can't do without and that are missing
    pub needs: fn(&Settings) -> Vec<&'static str>,
}

const USAGE: u8 = 2;
const SETTINGS: u8 = 3;
const RUN: u8 = 1;

#[expect(
    clippy::too_many_lines,
    reason = "older than the lint; mended when the file is next changed"
)]
pub fn start<F, R, E>(about: About, run: F) -> ExitCode
where
    F: FnOnce(
        Settings,
        slog::Logger,
        tokio::sync::watch::Receiver<bool>,
        tokio::sync::mpsc::Receiver<Settings>,
    ) -> R,
    R: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words = match Words::parse_args_default(&args) {
        Ok(w) => w,
        Err(e) => {
            eprintln!("{}: {e}\ntry {} --help", about.name, about.name);
            return ExitCode::from(USAGE);
        }
    };
    if words.help {
        println!(
            "{}: {}\n\nusage: {} [options]\n\n{}",
            about.name,
            about.what,
            about.name,
            Words::usage()
        );
        return ExitCode::SUCCESS;
    }
    if words.version {
        println!("{} {}", about.name, about.version);
        return ExitCode::SUCCESS;
    }
    let Ok(level) = words.log_level.parse::<slog::Level>() else {
        eprintln!("{}: --log-level: `{}` is not a level", about.name, words.log_level);
        return ExitCode::from(USAGE);
    };
    let loaded = words.settings.map_or_else(Settings::path, Ok).and_then(|path| {
        let p = Settings::load(&path)?;
        if let Some(field) = (about.needs)(&p).first() {
            return Err(SettingsError::Missing { field });
        }
        Ok((path, p))
    });
    let (path, settings) = match loaded {
        Ok(x) => x,
        Err(e) => {
            eprintln!("{}: {e}", about.name);
            return ExitCode::from(SETTINGS);
        }
    };
    if words.check {
        println!("{path}: usable");
        return ExitCode::SUCCESS;
    }
    let log = crate::log::root(level, &settings.node_name, about.name);
    let built = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.cores)
        .max_blocking_threads(1)
        .thread_stack_size(constants::STACK_BYTES)
        .enable_all()
        .build();
    let rt = match built {
        Ok(rt) => rt,
        Err(e) => {
            eprintln!("{}: no runtime: {e}", about.name);
            return ExitCode::from(RUN);
        }
    };
    let out = rt.block_on(async {
        let (stop, reread) = watch_signals(path, settings.clone(), about.needs, log.clone());
        run(settings, log.clone(), stop, reread).await
    });
    rt.shutdown_background();
    match out {
        Ok(()) => {
            crate::log_event!(log, Event::Stopped);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{}: {e}", about.name);
            ExitCode::from(RUN)
        }
    }
}

type Watched = (tokio::sync::watch::Receiver<bool>, tokio::sync::mpsc::Receiver<Settings>);

/// SIGTERM stops; SIGHUP and a slow schedule read the settings again.
fn watch_signals(
    path: String,
    first: Settings,
    needs: fn(&Settings) -> Vec<&'static str>,
    log: slog::Logger,
) -> Watched {
    use tokio::signal::unix::{SignalKind, signal};
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let (tx, rx) = tokio::sync::mpsc::channel(1);
    tokio::spawn(async move {
        let (Ok(mut term), Ok(mut hup), Ok(mut int)) = (
            signal(SignalKind::terminate()),
            signal(SignalKind::hangup()),
            signal(SignalKind::interrupt()),
        ) else {
            return;
        };
        let mut now = first;
        let mut last = String::new();
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = int.recv() => break,
                _ = hup.recv() => {}
                () = tokio::time::sleep(constants::SETTINGS_REREAD) => {}
            }
            let read = Settings::load(&path).and_then(|p| match needs(&p).first() {
                Some(field) => Err(SettingsError::Missing { field }),
                None => Ok(p),
            });
            match read {
                Ok(p) if p != now => {
                    crate::log_event!(log, Event::SettingsReread);
                    last.clear();
                    now = p.clone();
                    let _ = tx.send(p).await;
                }
                Ok(_) => last.clear(),
                Err(e) => {
                    let text = e.to_string();
                    if text != last {
                        crate::log_event!(log, Event::SettingsRejected, "why" => &text);
                        last = text;
                    }
                }
            }
        }
        stop.send_replace(true);
        std::future::pending::<()>().await;
    });
    (stopped, rx)
}
