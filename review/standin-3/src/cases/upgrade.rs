//! A server names a limit while the first of six machines is replaced by one with a newer build.

use {
    crate::{
        http::{exchange, response, Call},
        play::{answer_headers, bounds, register, HostPlan, Play},
        world::{configuration, plain_service, serve, start_store, Route},
    },
    std::{
        io,
        net::SocketAddrV4,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The version that runs when the upgrade begins; `review/build-3.sh` builds it from the history.
const PRODUCTION: &str = "target/review-3/production/target/release/cassiafield-gateway";
/// Numbers of the machines that run then, and of the one that comes in the place of the first.
const MACHINES: std::ops::RangeInclusive<u8> = 4..=9;
const NEW_MACHINE: u8 = 10;
/// What the server takes from all machines together, in requests a second.
const LIMIT: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(4);
const CONTACT: Duration = Duration::from_secs(3);
const CLIENTS_PER_MACHINE: usize = 3;

/// When requests reached the server, and by which machine.
type Arrivals = Arc<Mutex<Vec<(Instant, Option<u8>)>>>;

fn plan(play: &Play, machine: u8, store: SocketAddrV4, is_old: bool) -> HostPlan {
    let mut plan = HostPlan::new(play, &format!("front-{machine}"), machine, store);
    plan.is_first_start = machine != NEW_MACHINE;
    if is_old && play.has_trouble {
        plan.program = PRODUCTION;
    }
    plan
}

pub fn run(play: &Play) -> io::Result<bool> {
    let route = Route {
        prefix: "/desk/",
        kind: "safe",
        service: "desk",
        timeout_ms: 2_000,
        attempts: 1,
        more: "",
    };
    let text = configuration(7, &[route], &plain_service("desk"), "");
    let (store, store_address) = start_store(play, &text)?;
    let address = play.address(50);
    let arrivals: Arrivals = Arc::default();
    let (seen, record) = (Arc::clone(&arrivals), Arc::clone(&play.record));
    serve(
        address,
        Arc::new(move |request, channel| {
            let limit = LIMIT.to_string();
            let mut headers = answer_headers(request, "s");
            headers.push(("Server-Limit", &limit));
            if request.target() == "/healthz" {
                headers.push(("X-Cassiafield-Instance-Id", "i-1"));
                return channel.write(&response(200, "OK", &headers, b"")).is_ok();
            }
            // The query names the machine that the client has called.
            let from = request.target().rsplit('=').next().and_then(|from| from.parse().ok());
            record.log(format!(
                "server runs {} from {from:?}",
                request.header("x-cassiafield-attempt-id").unwrap_or("-")
            ));
            seen.lock().unwrap().push((Instant::now(), from));
            thread::sleep(Duration::from_millis(10));
            channel.write(&response(200, "OK", &headers, b"done")).is_ok()
        }),
    )?;
    register(&store, "i-1", "desk", address, "");
    let mut hosts = Vec::new();
    for machine in MACHINES {
        hosts.push(play.start_host(&plan(play, machine, store_address, true), &bounds(202))?);
    }
    for host in &hosts {
        if !play.wait_ready(host, Duration::from_secs(10)) {
            return Err(io::Error::other("a host did not get ready"));
        }
    }
    thread::sleep(CONTACT);
    let fronts: Vec<(u8, SocketAddrV4)> =
        MACHINES.zip(&hosts).map(|(machine, host)| (machine, host.plan.front)).collect();
    let fronts = Arc::new(Mutex::new(fronts));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..CLIENTS_PER_MACHINE * MACHINES.len() {
        let (fronts, is_over) = (Arc::clone(&fronts), Arc::clone(&is_over));
        let record = Arc::clone(&play.record);
        let ids: Vec<String> = (0..2_000).map(|_| play.request_id()).collect();
        clients.push(thread::spawn(move || {
            for id in ids {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let (machine, front) = {
                    let fronts = fronts.lock().unwrap();
                    fronts[client % fronts.len()]
                };
                let call = Call {
                    method: "GET",
                    host: "a.example".to_owned(),
                    path: format!("/desk/x?machine={machine}"),
                    headers: vec![
                        ("X-Cassiafield-Attempt-Id".to_owned(), id.clone()),
                        ("X-Cassiafield-Deadline-Ms".to_owned(), "2000".to_owned()),
                    ],
                    body: Vec::new(),
                };
                let (answer, time) = exchange(front, &call, Duration::from_secs(3));
                let text = answer.map_or_else(|e| e.to_string(), |a| a.status().to_string());
                record.log(format!("client gets {text} for {id} after {} ms", time.as_millis()));
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(5));
    // The platform sends clients to the other machines while the first one is replaced.
    fronts.lock().unwrap().remove(0);
    thread::sleep(Duration::from_secs(2));
    play.record.log("the first machine is stopped");
    hosts.remove(0).stop();
    let new = play.start_host(&plan(play, NEW_MACHINE, store_address, false), &bounds(202))?;
    if !play.wait_ready(&new, Duration::from_secs(20)) {
        return Err(io::Error::other("the new host did not get ready"));
    }
    fronts.lock().unwrap().push((NEW_MACHINE, new.plan.front));
    thread::sleep(Duration::from_secs(20));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let arrivals = arrivals.lock().unwrap();
    let of_new = arrivals.iter().find(|(_, from)| *from == Some(NEW_MACHINE));
    let Some((first_of_new, _)) = of_new else {
        return Err(io::Error::other("the new host has sent nothing"));
    };
    // All machines have passed on such an answer by then, and are in touch.
    let counted_from = *first_of_new + CONTACT;
    let times: Vec<Instant> =
        arrivals.iter().map(|(at, _)| *at).filter(|at| *at >= counted_from).collect();
    let count_from = |from: Instant| {
        times.iter().filter(|at| **at >= from && at.duration_since(from) < WINDOW).count()
    };
    let most = times.iter().map(|at| count_from(*at)).max().unwrap_or(0);
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    let by_new = arrivals
        .iter()
        .filter(|(at, from)| *at >= counted_from && *from == Some(NEW_MACHINE))
        .count();
    play.record.log(format!(
        "{most} requests in {} s reached the server, {allowed} are allowed; of {} in all the new \
         machine sent {by_new}",
        WINDOW.as_secs(),
        times.len()
    ));
    Ok(most as f64 <= allowed)
}
