//! Runs an entry host.

use {
    cassiafield::{
        connection::{EtcdStore, HttpEngineClient, HttpHostListClient, HttpServiceClient},
        process::{start_log, EntryDependencies, EntryServer, EntrySettings},
    },
    getopts::Options,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{env, fs, io::Write as _, process::ExitCode, sync::Arc},
};

/// Exit code for an invalid settings file or command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file (INI)", "FILE");
    options.optflag("", "check", "check the settings and exit: 0 if valid, 2 if not");
    options.optflag("", "print-defaults", "print the default settings and exit");
    options.optflag("h", "help", "print this help");
    let matches = match options.parse(env::args().skip(1)) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return bad_usage(&format!("unexpected argument {:?}", matches.free[0])),
        Err(error) => return bad_usage(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: cassiafield-entry --settings FILE [--check]"));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("print-defaults") {
        print!("{}", EntrySettings::defaults());
        return ExitCode::SUCCESS;
    }
    let Some(file) = matches.opt_str("settings") else { return bad_usage("--settings is missing") };
    if matches.opt_present("check") {
        return match read_settings(&file) {
            Ok(_) => {
                println!("{file}: in order");
                ExitCode::SUCCESS
            }
            Err(code) => code,
        };
    }
    // A signal that arrives before its handler is installed ends the process at once.
    let signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("cassiafield-entry: cannot install the signal handlers: {error}");
            return ExitCode::FAILURE;
        }
    };
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run(settings, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cassiafield-entry: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn bad_usage(error: &str) -> ExitCode {
    eprintln!("cassiafield-entry: {error}; see --help");
    ExitCode::from(EXIT_USAGE)
}

fn read_settings(file: &str) -> Result<EntrySettings, ExitCode> {
    let text = fs::read_to_string(file).map_err(|error| bad_usage(&format!("{file}: {error}")))?;
    EntrySettings::parse(file, &text).map_err(|errors| {
        for error in errors {
            eprintln!("{error}");
        }
        ExitCode::from(EXIT_USAGE)
    })
}

fn run(settings: EntrySettings, mut signals: Signals) -> anyhow::Result<()> {
    start_log(settings.log_format, settings.log_level);
    if signals.pending().next().is_some() {
        return Ok(());
    }
    let dependencies = EntryDependencies {
        store: Arc::new(EtcdStore::new(settings.store_url.clone())),
        host_list: Arc::new(HttpHostListClient::new(settings.hosts_url.clone())),
        engines: Arc::new(HttpEngineClient::new()),
        services: Arc::new(HttpServiceClient),
    };
    let server = EntryServer::start(settings, dependencies)?;
    println!("listening {} {}", server.caller_address(), server.peer_address());
    std::io::stdout().flush()?;
    signals.forever().next();
    server.close();
    Ok(())
}
