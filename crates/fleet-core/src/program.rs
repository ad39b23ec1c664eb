//! Process startup shared by both programs: command line, settings, signals, runtime.

use crate::constants;
use crate::log::Event;
use crate::settings::{Settings, SettingsError};
use gumdrop::Options;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Debug, Options)]
struct CommandLine {
    /// print this help
    help: bool,
    /// print the version
    #[options(no_short)]
    version: bool,
    /// check the settings file and exit
    check: bool,
    /// settings file (default: the one named by ANISEDYKE_SETTINGS)
    #[options(meta = "FILE")]
    settings: Option<String>,
    /// error, warning, info or debug
    #[options(meta = "LEVEL", default = "info")]
    log_level: String,
    /// serve metrics on this port of the node's address
    #[options(no_short, meta = "PORT")]
    metrics: Option<u16>,
}

/// Description of a program.
pub struct ProgramInfo {
    /// Name of the program.
    pub name: &'static str,
    /// Version of its crate.
    pub version: &'static str,
    /// Short description for the help text.
    pub description: &'static str,
    /// Returns the names of settings that this program requires and that are missing.
    pub missing_settings: fn(&Settings) -> Vec<&'static str>,
}

/// Exit code: the program failed to start or to run.
const EXIT_FAILURE: u8 = 1;
/// Exit code: unknown option or invalid value.
const EXIT_USAGE: u8 = 2;
/// Exit code: settings missing or malformed.
const EXIT_SETTINGS: u8 = 3;

/// Settings and the file that they were read from.
struct LoadedSettings {
    path: String,
    settings: Settings,
    metrics_port: Option<u16>,
}

/// What a running program gets from its startup.
pub struct ProgramContext {
    /// The settings read at startup.
    pub settings: Settings,
    /// The root logger.
    pub log: slog::Logger,
    /// Becomes true when the program has to shut down.
    pub stop: tokio::sync::watch::Receiver<bool>,
    /// Receives changed settings while the program runs.
    pub reloaded_settings: tokio::sync::mpsc::Receiver<Settings>,
    /// Listen address for metrics; `None` to serve none.
    pub metrics: Option<std::net::SocketAddr>,
}

/// Runs a program from parsing its command line to its exit code.
pub fn start<F, R, E>(about: ProgramInfo, run: F) -> ExitCode
where
    F: FnOnce(ProgramContext) -> R,
    R: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let (level, loaded) = match prepare(&about) {
        Ok(prepared) => prepared,
        Err(code) => return code,
    };
    let LoadedSettings { path, settings, metrics_port } = loaded;
    let metrics = metrics_port.map(|port| std::net::SocketAddr::new(settings.ip.into(), port));
    let log = crate::log::root(level, &settings.node_name, about.name);
    let runtime = match build_runtime(settings.cores) {
        Ok(runtime) => runtime,
        Err(e) => return fail(&about, EXIT_FAILURE, format!("cannot start runtime: {e}")),
    };
    let result = runtime.block_on(async {
        let (stop, reloaded_settings) =
            watch_signals(path, settings.clone(), about.missing_settings, log.clone());
        run(ProgramContext { settings, log: log.clone(), stop, reloaded_settings, metrics }).await
    });
    runtime.shutdown_background();
    match result {
        Ok(()) => {
            crate::log_event!(log, Event::Stopped);
            ExitCode::SUCCESS
        }
        Err(e) => fail(&about, EXIT_FAILURE, e),
    }
}

fn fail(about: &ProgramInfo, code: u8, message: impl std::fmt::Display) -> ExitCode {
    eprintln!("{}: {message}", about.name);
    ExitCode::from(code)
}

/// Reads the command line and the settings; an exit code is returned if the program has to exit here, with or without
/// an error.
fn prepare(about: &ProgramInfo) -> Result<(slog::Level, LoadedSettings), ExitCode> {
    let command_line = read_command_line(about)?;
    let Ok(level) = command_line.log_level.parse::<slog::Level>() else {
        let message = format!("--log-level: `{}` is not a log level", command_line.log_level);
        return Err(fail(about, EXIT_USAGE, message));
    };
    let mut loaded =
        load(about, command_line.settings).map_err(|e| fail(about, EXIT_SETTINGS, e))?;
    loaded.metrics_port = command_line.metrics;
    if command_line.check {
        println!("{}: usable", loaded.path);
        return Err(ExitCode::SUCCESS);
    }
    Ok((level, loaded))
}

fn read_command_line(about: &ProgramInfo) -> Result<CommandLine, ExitCode> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let name = about.name;
    let command_line = CommandLine::parse_args_default(&args)
        .map_err(|e| fail(about, EXIT_USAGE, format!("{e}\ntry {name} --help")))?;
    if command_line.help {
        let usage = CommandLine::usage();
        println!("{name}: {}\n\nusage: {name} [options]\n\n{usage}", about.description);
        return Err(ExitCode::SUCCESS);
    }
    if command_line.version {
        println!("{name} {}", about.version);
        return Err(ExitCode::SUCCESS);
    }
    Ok(command_line)
}

fn load(about: &ProgramInfo, path: Option<String>) -> Result<LoadedSettings, SettingsError> {
    let path = path.map_or_else(Settings::path, Ok)?;
    let settings = load_and_check(&path, about.missing_settings)?;
    Ok(LoadedSettings { path, settings, metrics_port: None })
}

/// Loads the settings and checks that the ones this program requires are present.
fn load_and_check(
    path: &str,
    needs: fn(&Settings) -> Vec<&'static str>,
) -> Result<Settings, SettingsError> {
    let settings = Settings::load(path)?;
    match needs(&settings).first() {
        Some(field) => Err(SettingsError::Missing { field }),
        None => Ok(settings),
    }
}

fn build_runtime(cores: usize) -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(cores)
        .max_blocking_threads(1)
        .thread_stack_size(constants::STACK_BYTES)
        .enable_all()
        .build()
}

type SignalChannels = (tokio::sync::watch::Receiver<bool>, tokio::sync::mpsc::Receiver<Settings>);

/// Handles signals: SIGTERM and SIGINT stop the program; SIGHUP and a periodic timer reload the settings.
fn watch_signals(
    path: String,
    initial: Settings,
    needs: fn(&Settings) -> Vec<&'static str>,
    log: slog::Logger,
) -> SignalChannels {
    let (stop, stop_receiver) = tokio::sync::watch::channel(false);
    let (reload_sender, reloaded_settings) = tokio::sync::mpsc::channel(1);
    let mut reloader =
        SettingsReloader { path, needs, current: initial, last_error: String::new(), log };
    // Handlers are installed before anything is served: until then a signal ends the process at once.
    let (Ok(mut terminate), Ok(mut hangup), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::hangup()),
        signal(SignalKind::interrupt()),
    ) else {
        return (stop_receiver, reloaded_settings);
    };
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => {}
                () = tokio::time::sleep(constants::SETTINGS_RELOAD_INTERVAL) => {}
            }
            if let Some(settings) = reloader.reload() {
                let _ = reload_sender.send(settings).await;
            }
        }
        stop.send_replace(true);
        std::future::pending::<()>().await;
    });
    (stop_receiver, reloaded_settings)
}

/// Reloads the settings; an error is logged once until it changes.
struct SettingsReloader {
    path: String,
    needs: fn(&Settings) -> Vec<&'static str>,
    current: Settings,
    last_error: String,
    log: slog::Logger,
}

impl SettingsReloader {
    /// Returns the settings if they are valid and have changed.
    fn reload(&mut self) -> Option<Settings> {
        let settings = match load_and_check(&self.path, self.needs) {
            Ok(settings) => settings,
            Err(e) => {
                let message = e.to_string();
                if message != self.last_error {
                    crate::log_event!(self.log, Event::SettingsRejected, "why" => &message);
                    self.last_error = message;
                }
                return None;
            }
        };
        self.last_error.clear();
        if settings == self.current {
            return None;
        }
        crate::log_event!(self.log, Event::SettingsReloaded);
        self.current = settings.clone();
        Some(settings)
    }
}
