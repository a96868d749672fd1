//! Runs a stand-in for the platform, an engine, a service or a network path, or a complete local
//! fleet; for development and tests only.

use {
    anyhow::{bail, Context as _},
    cassiafield::process::{start_log, LogFormat},
    cassiafield_core::{
        process::{EndpointRecord, EndpointRole, EndpointState},
        request::LayerSpan,
    },
    cassiafield_standin::{
        EngineSpec, EngineStandin, FleetSpec, LocalFleet, PlatformStandin, ServiceSpec,
        ServiceStandin, TcpRelay,
    },
    compact_str::CompactString,
    getopts::{Matches, Options},
    std::{
        env,
        io::{BufRead as _, Write as _},
        process::ExitCode,
        str::FromStr,
        thread,
        time::Duration,
    },
};

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;
const USAGE: &str = "Usage: cassiafield-standin platform|engine|service|relay|local [OPTIONS]";

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("cassiafield-standin: {error}; see --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let role = matches.free.first().map_or("", String::as_str);
    if matches.opt_present("help") || role.is_empty() {
        print!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    match run(role, &matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cassiafield-standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("l", "listen", "address to bind (default 127.0.0.1:0)", "ADDRESS");
    options.optopt("p", "platform", "base URL of the platform stand-in", "URL");
    options.optopt("e", "endpoint", "name of the endpoint", "NAME");
    options.optopt("z", "zone", "availability zone (default zone-a)", "NAME");
    options.optopt("m", "model", "name of the model (default demo-model)", "NAME");
    options.optopt("", "layers", "number of layers of the model (default 16)", "N");
    options.optopt("", "span", "layers that the engine holds, START..END", "SPAN");
    options.optopt("", "slots", "concurrent requests (default 16)", "N");
    options.optopt("", "token-ms", "processing time per token in this stage (default 5)", "MS");
    options.optopt("", "prompt-ms", "processing time of a prompt (default 0)", "MS");
    options.optopt("", "service", "name of the service (default permits)", "NAME");
    options.optopt("", "before-ms", "delay before a call runs (default 0)", "MS");
    options.optopt("", "after-ms", "delay between run and answer (default 0)", "MS");
    options.optopt("t", "target", "address that the relay forwards to", "ADDRESS");
    options.optflag("h", "help", "print this help");
    options
}

fn value<T: FromStr>(matches: &Matches, name: &str, default: &str) -> anyhow::Result<T> {
    let text = matches.opt_str(name).unwrap_or_else(|| default.to_owned());
    text.parse().map_err(|_| anyhow::anyhow!("--{name}: invalid value {text:?}"))
}

fn millis(matches: &Matches, name: &str, default: &str) -> anyhow::Result<Duration> {
    Ok(Duration::from_millis(value(matches, name, default)?))
}

fn run(role: &str, matches: &Matches) -> anyhow::Result<()> {
    let listen: String = value(matches, "listen", "127.0.0.1:0")?;
    match role {
        "platform" => {
            let platform = PlatformStandin::start(&listen)?;
            print_address(platform.address())?;
            wait_forever();
        }
        "engine" => {
            let engine = EngineStandin::start(&listen, engine_spec(matches)?)?;
            engine.register(&platform_url(matches)?)?;
            print_address(engine.address()?)?;
            wait_forever();
        }
        "service" => {
            let service = ServiceStandin::start(&listen, service_spec(matches)?)?;
            service.register(&platform_url(matches)?)?;
            print_address(&service.record().address)?;
            wait_forever();
        }
        "relay" => {
            let relay = TcpRelay::start(&listen, value(matches, "target", "")?)?;
            print_address(relay.address())?;
            read_relay_modes(&relay)?;
        }
        "local" => run_local(matches)?,
        other => bail!("unknown stand-in {other:?}; see --help"),
    }
    Ok(())
}

/// Prints the bound address; scripts and tests wait for this line.
fn print_address(address: impl std::fmt::Display) -> anyhow::Result<()> {
    println!("listening {address}");
    std::io::stdout().flush()?;
    Ok(())
}

fn wait_forever() -> ! {
    loop {
        thread::park();
    }
}

fn platform_url(matches: &Matches) -> anyhow::Result<String> {
    matches.opt_str("platform").context("--platform is missing")
}

fn record(matches: &Matches, role: EndpointRole) -> anyhow::Result<EndpointRecord> {
    Ok(EndpointRecord {
        endpoint: value(matches, "endpoint", "")?,
        address: CompactString::default(),
        zone: value(matches, "zone", "zone-a")?,
        role,
        state: EndpointState::Live,
        slots: value(matches, "slots", "16")?,
        link_micros: 100,
    })
}

fn engine_spec(matches: &Matches) -> anyhow::Result<EngineSpec> {
    let span: String = value(matches, "span", "0..16")?;
    let (start, end) = span.split_once("..").context("--span: expected START..END")?;
    let span = LayerSpan::try_from((start.parse()?, end.parse()?))?;
    let role = EndpointRole::Stage {
        model: value(matches, "model", "demo-model")?,
        layers: value(matches, "layers", "16")?,
        span,
        accelerator: "toy".parse()?,
    };
    Ok(EngineSpec {
        record: record(matches, role)?,
        token_time: millis(matches, "token-ms", "5")?,
        prompt_time: millis(matches, "prompt-ms", "0")?,
        kept: None,
    })
}

fn service_spec(matches: &Matches) -> anyhow::Result<ServiceSpec> {
    let role = EndpointRole::Service { service: value(matches, "service", "permits")? };
    Ok(ServiceSpec {
        record: record(matches, role)?,
        delay_before_run: millis(matches, "before-ms", "0")?,
        delay_after_run: millis(matches, "after-ms", "0")?,
        platform_url: platform_url(matches)?,
    })
}

/// Applies the mode or `delay MS` on each line of standard input to the relay.
fn read_relay_modes(relay: &TcpRelay) -> anyhow::Result<()> {
    for line in std::io::stdin().lock().lines() {
        let line = line?;
        if let Some(delay) = line.strip_prefix("delay ") {
            relay.set_delay(Duration::from_millis(delay.trim().parse()?));
        } else {
            relay.set_mode(line.trim().parse().map_err(anyhow::Error::msg)?);
        }
    }
    wait_forever();
}

fn run_local(matches: &Matches) -> anyhow::Result<()> {
    start_log(LogFormat::Text, tracing::Level::WARN);
    let mut spec = FleetSpec::demo()?;
    spec.listen = value(matches, "listen", "127.0.0.1:8080")?;
    let fleet = LocalFleet::start(&spec)?;
    let address = fleet.caller_addresses()[0];
    println!("the local fleet is running; send a request from another terminal:\n");
    println!(
        "curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {}' -d \
         '{{\"model\":\"demo-model\",\"stream\":true,\"max_tokens\":12,\"messages\":[{{\"role\":\
         \"user\",\"content\":\"When do I feed the lawn?\"}}]}}'\n",
        FleetSpec::DEMO_API_KEY
    );
    println!("platform at http://{}; stop with Ctrl-C", fleet.platform().address());
    std::io::stdout().flush()?;
    wait_forever();
}
