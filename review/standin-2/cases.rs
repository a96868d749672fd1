//! The cases. Each returns whether the rule was broken, or why it could not run.

use {
    crate::{
        fleet::{
            configuration, free_port, sleep_ms, sleep_to, wait_until, Fleet, Host, Process, Request,
            Route, Server, SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM,
        },
        http::{Answer, Wire},
        server::whole_answer,
    },
    std::{
        collections::BTreeMap,
        io::Write as _,
        net::TcpStream,
        sync::{
            atomic::{AtomicBool, AtomicUsize, Ordering},
            Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

pub type Verdict = Result<bool, String>;

const KEY: &str = "key-of-the-ranch";
const SECOND_KEY: &str = "second-key-of-the-ranch";
const BODY: &str = "{\"calf\":\"SE-0815\",\"to\":\"Mora\"}";

/// The routes of all cases: an unsafe one and a safe one.
const ROUTES: [Route<'static>; 2] = [
    Route { name: "permit-file", prefix: "/permit/", kind: "unsafe", attempts: 1, is_public: false },
    Route { name: "tag-check", prefix: "/tag/", kind: "safe", attempts: 2, is_public: false },
];

fn check(is_true: bool, reason: &str) -> Result<(), String> {
    if is_true {
        Ok(())
    } else {
        Err(reason.to_owned())
    }
}

const fn filing(path: &str, deadline_ms: u64) -> Request<'_> {
    Request { method: "POST", path, key: Some(KEY), deadline_ms, body: BODY }
}

const fn lookup(path: &str, deadline_ms: u64) -> Request<'_> {
    Request { method: "GET", path, key: Some(KEY), deadline_ms, body: "" }
}

fn start_one_server(fleet: &Fleet) -> Server {
    fleet.start_server("i-desk-1", &format!("127.0.0.1:{}", free_port("127.0.0.1")))
}

/// Starts a host and waits until it serves.
fn start_ready_host(fleet: &Fleet, host: &Host) -> Result<Process, String> {
    let process = fleet.start_host(host);
    check(fleet.wait_ready(host, Duration::from_secs(15)), "the host is not ready")?;
    let is_served = wait_until(Duration::from_secs(5), || {
        fleet.request(host, &filing("/permit/now", 1_000)).1.status == 200
    });
    check(is_served, "the host serves nothing in calm")?;
    Ok(process)
}

/// A machine is suspended while a server ends in the middle of its answer and comes back.
pub fn frozen_half_answer(fleet: &Fleet) -> Verdict {
    const REQUESTS: usize = 6;
    let mut servers: Vec<Server> = (1..=3)
        .map(|number| {
            let address = format!("127.0.0.1:{}", free_port("127.0.0.1"));
            fleet.start_server(&format!("i-desk-{number}"), &address)
        })
        .collect();
    fleet.store.put("op/config", &configuration(1, &ROUTES, &[KEY]));
    let host = Host::new("front-1", 11);
    host.write_settings(fleet, 8);
    let process = start_ready_host(fleet, &host)?;
    // Longer than `contact_ms` without disruption.
    sleep_ms(3_200);
    let answers: Vec<(String, Answer)> = thread::scope(|scope| {
        let clients: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let host = &host;
                let request = if number % 2 == 0 {
                    filing("/permit/half", 9_000)
                } else {
                    lookup("/tag/half", 9_000)
                };
                scope.spawn(move || fleet.request(host, &request))
            })
            .collect();
        let are_begun = wait_until(Duration::from_secs(3), || {
            fleet.lines.starting("first-half").len() == REQUESTS
        });
        if are_begun && fleet.has_trouble {
            sleep_ms(200);
            fleet.record.add(&format!("platform: {} is suspended", host.name));
            process.signal(SIGSTOP);
            sleep_ms(300);
            // The server that has begun the first answer is the one that ends.
            let first = fleet.lines.starting("first-half")[0].server.clone();
            if let Some(server) = servers.iter_mut().find(|server| server.id == first) {
                fleet.record.add(&format!("server {first} is killed"));
                fleet.silence(&first);
                server.process.kill();
                sleep_ms(1_500);
                *server = fleet.start_server(&first, &server.address.clone());
                fleet.record.add(&format!("server {first} is back under its id and at its address"));
            }
            sleep_ms(1_200);
            fleet.record.add(&format!("platform: {} wakes after 3.0 s", host.name));
            process.signal(SIGCONT);
        }
        clients.into_iter().filter_map(|client| client.join().ok()).collect()
    });
    check(answers.len() == REQUESTS, "not every client has ended")?;
    let mut is_broken = false;
    for (attempt, answer) in &answers {
        let is_success = (200..300).contains(&answer.status) && answer.is_complete;
        let is_whole = answer.message.body == whole_answer(attempt).into_bytes();
        if is_success && !is_whole {
            is_broken = true;
            fleet.record.add(&format!(
                "MIXED: {attempt} got a complete {} with {} of {} bytes of the server's answer",
                answer.status,
                answer.message.body.len(),
                whole_answer(attempt).len(),
            ));
        }
    }
    let are_whole = answers.iter().all(|(_, answer)| answer.status == 200);
    check(fleet.has_trouble || are_whole, "not all are served without the disruption")?;
    Ok(is_broken)
}

/// The settings file names a shorter time to stop, SIGHUP says so, and the process is stopped.
pub fn shorter_grace(fleet: &Fleet) -> Verdict {
    let _server = start_one_server(fleet);
    fleet.store.put("op/config", &configuration(1, &ROUTES, &[KEY]));
    let host = Host::new("front-1", 11);
    host.write_settings(fleet, 8);
    let mut process = start_ready_host(fleet, &host)?;
    sleep_ms(1_000);
    let grace_s = if fleet.has_trouble { 4 } else { 8 };
    if fleet.has_trouble {
        host.write_settings(fleet, grace_s);
        fleet.record.add("platform: the settings file has changed, grace_s is 4; SIGHUP");
        process.signal(SIGHUP);
    }
    // Longer than `contact_ms` after the change.
    sleep_ms(4_000);
    fleet.record.add(&format!("platform: SIGTERM; SIGKILL follows after grace_s, {grace_s} s"));
    let stopped_at = Instant::now();
    process.signal(SIGTERM);
    let results: Vec<(String, bool, Answer)> = thread::scope(|scope| {
        // Other clients keep the host at work, as on any machine in use.
        for _ in 0..2 {
            let host = &host;
            scope.spawn(move || {
                sleep_to(stopped_at, 300);
                fleet.request(host, &filing("/permit/work3200", 6_000));
            });
        }
        let clients: Vec<_> = (0..4_u64)
            .map(|number| {
                let host = &host;
                scope.spawn(move || file_over_open_channel(fleet, host, stopped_at, number))
            })
            .collect();
        let end = Duration::from_secs(u64::from(grace_s));
        while stopped_at.elapsed() < end && !process.has_ended() {
            sleep_ms(10);
        }
        if process.has_ended() {
            let at = stopped_at.elapsed().as_millis();
            fleet.record.add(&format!("host: ended by itself {at} ms after SIGTERM"));
        } else {
            fleet.record.add("platform: SIGKILL, grace_s has passed");
            process.signal(SIGKILL);
        }
        clients.into_iter().filter_map(|client| client.join().ok()).collect()
    });
    check(results.len() == 4, "not every client has ended")?;
    let mut is_broken = false;
    for (attempt, _, answer) in &results {
        let runs = fleet.lines.starting(&format!("run {attempt} "));
        if !runs.is_empty() && !(answer.status > 0 && answer.is_complete) {
            is_broken = true;
            fleet.record.add(&format!(
                "LOST: {attempt} was read, passed on to a server, and its channel ended without an answer"
            ));
        }
    }
    Ok(is_broken)
}

/// Opens a channel 1 s after the SIGTERM, while the platform still sends channels there, and files a permit over it
/// 3.1 s after the SIGTERM.
fn file_over_open_channel(
    fleet: &Fleet,
    host: &Host,
    stopped_at: Instant,
    number: u64,
) -> (String, bool, Answer) {
    let attempt = format!("{:08x}f11e000{number}", std::process::id());
    let mut answer = Answer::default();
    sleep_to(stopped_at, 1_000);
    let Ok(stream) = TcpStream::connect(&host.front) else { return (attempt, false, answer) };
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok();
    let mut wire = Wire::new(stream);
    sleep_to(stopped_at, 3_100 + 40 * number);
    let head = format!(
        "POST /permit/work1200 HTTP/1.1\r\nHost: {}\r\nX-Cassiafield-Attempt-Id: {attempt}\r\nX-Cassiafield-Deadline-Ms: 2500\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{BODY}",
        crate::fleet::DOOR,
        BODY.len()
    );
    let sent_ms = stopped_at.elapsed().as_millis();
    fleet.record.add(&format!("client: POST /permit/work1200 attempt {attempt}, {sent_ms} ms after SIGTERM, deadline 2500 ms"));
    let is_sent = wire.write(head.as_bytes()).is_ok();
    if let Ok(Some(mut message)) = wire.read_head() {
        answer.status = message.status();
        answer.is_complete = wire.read_body(&mut message, true);
        answer.message = message;
    }
    let ended_ms = stopped_at.elapsed().as_millis();
    fleet.record.add(&format!(
        "client: channel of {attempt}: status {}, complete: {}, {ended_ms} ms after SIGTERM",
        answer.status, answer.is_complete
    ));
    (attempt, is_sent, answer)
}

/// The store comes back from an older copy, in which a key is still held that was taken away.
pub fn revoked_in_drill(fleet: &Fleet) -> Verdict {
    let _server = start_one_server(fleet);
    fleet.store.put("op/config", &configuration(1, &ROUTES, &[KEY, SECOND_KEY]));
    let host = Host::new("front-1", 11);
    host.write_settings(fleet, 8);
    let _process = start_ready_host(fleet, &host)?;
    sleep_ms(2_000);
    let second = Request { key: Some(SECOND_KEY), ..lookup("/tag/now", 1_000) };
    check(fleet.request(&host, &second).1.status == 200, "the second key is not served in calm")?;
    let copy = fleet.store.copy();
    let copied_at = Instant::now();
    sleep_ms(1_500);
    // The next read of the configuration follows 0.8 s after this one.
    check(fleet.store.wait_for_config_read(Duration::from_secs(4)), "no read of the configuration")?;
    let next = configuration(2, &ROUTES, &[KEY]);
    fleet.store.put("op/config", &next);
    let acknowledged_at = Instant::now();
    fleet.record.add("operator: version 2 takes the second key away; the store has acknowledged it");
    if fleet.has_trouble {
        sleep_to(acknowledged_at, 200);
        fleet.record.add("platform: the store is away");
        fleet.store.leave();
        sleep_to(acknowledged_at, 4_000);
        fleet.store.come_back(Some(copy));
        let age = copied_at.elapsed().as_secs_f64();
        fleet.record.add(&format!("platform: the store is back from a copy {age:.1} s old; Store-Era has risen"));
        fleet.beat_now();
    }
    let mut is_broken = false;
    for millis in [5_150, 5_300, 5_450] {
        sleep_to(acknowledged_at, millis);
        let sent_ms = acknowledged_at.elapsed().as_millis();
        let (attempt, answer) = fleet.request(&host, &second);
        if !fleet.lines.starting(&format!("run {attempt} ")).is_empty() {
            is_broken = true;
            fleet.record.add(&format!(
                "CONFIG: {attempt} was sent {sent_ms} ms after the acknowledgement and has run, status {}",
                answer.status
            ));
        }
    }
    sleep_to(acknowledged_at, 5_600);
    if fleet.has_trouble {
        fleet.store.put("op/config", &next);
        fleet.record.add("operator: version 2 is written again, 1.6 s after the store's return");
    }
    let is_refused = wait_until(Duration::from_secs(4), || {
        sleep_ms(200);
        fleet.request(&host, &second).1.status == 401
    });
    fleet.record.add(&format!("the second key is refused in the end: {is_refused}"));
    let sound = fleet.request(&host, &lookup("/tag/now", 1_000)).1;
    check(sound.status == 200, "the first key is not served at the end")?;
    Ok(is_broken)
}

/// The verdict on a request that crashes servers is lost with the store's history, and the machine restarts.
pub fn verdict_lost_in_drill(fleet: &Fleet) -> Verdict {
    const VERDICTS: &str = "cassiafield/blocked-parts";
    const COUNT: usize = 6;
    let mut servers: Vec<Server> = (1..=COUNT)
        .map(|number| {
            let address = format!("127.0.0.1:{}", free_port("127.0.0.1"));
            fleet.start_server(&format!("i-desk-{number}"), &address)
        })
        .collect();
    fleet.store.put("op/config", &configuration(1, &ROUTES, &[KEY]));
    let host = Host::new("front-1", 11);
    host.write_settings(fleet, 8);
    let mut process = start_ready_host(fleet, &host)?;
    sleep_ms(3_200);
    let copy = fleet.store.copy();
    let copied_at = Instant::now();
    let mut back_at = BTreeMap::new();
    let deadly = lookup("/tag/crash", 1_000);
    // The request comes again until it is refused, and the verdict is kept in the store.
    let mut refusals = 0;
    let mut third_crash_at = None;
    while copied_at.elapsed() < Duration::from_secs(12) && refusals < 5 {
        let (_, answer) = fleet.request(&host, &deadly);
        restart_ended(fleet, &mut servers, &mut back_at);
        let crashes = fleet.lines.all().iter().filter(|line| line.text.contains("/tag/crash")).count();
        if crashes >= 3 && third_crash_at.is_none() {
            third_crash_at = Some(Instant::now());
        }
        refusals = if answer.status == 503 { refusals + 1 } else { 0 };
        sleep_ms(250);
    }
    check(refusals >= 5, "the request that crashes servers is not refused")?;
    let is_kept =
        wait_until(Duration::from_secs(3), || fleet.store.size_of(VERDICTS) > 40);
    check(is_kept, "the verdict is not kept in the store")?;
    let third_crash_at = third_crash_at.ok_or("fewer than three crashes")?;
    fleet.record.add("the request that crashes servers is refused, and the store holds the verdict");
    if fleet.has_trouble {
        fleet.record.add("platform: the store is away");
        fleet.store.leave();
        sleep_ms(1_000);
        fleet.store.come_back(Some(copy));
        let age = copied_at.elapsed().as_secs_f64();
        fleet.record.add(&format!("platform: the store is back from a copy {age:.1} s old; Store-Era has risen"));
        fleet.store.put("op/config", &configuration(1, &ROUTES, &[KEY]));
        fleet.beat_now();
    }
    for _ in 0..24 {
        sleep_ms(250);
        restart_ended(fleet, &mut servers, &mut back_at);
    }
    fleet.record.add(&format!("the store holds the verdict: {}", fleet.store.holds(VERDICTS)));
    fleet.record.add("platform: SIGKILL of the host, which starts again");
    process.kill();
    sleep_ms(1_000);
    let _again = start_ready_host(fleet, &host)?;
    sleep_ms(3_300);
    let before = fleet.lines.all().iter().filter(|line| line.text.contains("/tag/crash")).count();
    let began_at = Instant::now();
    while began_at.elapsed() < Duration::from_secs(10) {
        fleet.request(&host, &deadly);
        restart_ended(fleet, &mut servers, &mut back_at);
        sleep_ms(250);
    }
    let after = fleet.lines.all().iter().filter(|line| line.text.contains("/tag/crash")).count();
    fleet.record.add(&format!(
        "{} retries have reached servers, from {:.1} s after the third crash on",
        after - before,
        (began_at - third_crash_at).as_secs_f64()
    ));
    Ok(after - before > 3)
}

/// Starts servers again 1.5 s after they have ended.
fn restart_ended(
    fleet: &Fleet,
    servers: &mut [Server],
    back_at: &mut BTreeMap<String, Instant>,
) {
    for server in servers {
        if !server.process.has_ended() {
            continue;
        }
        let due = back_at.entry(server.id.clone()).or_insert_with(|| {
            fleet.silence(&server.id);
            fleet.record.add(&format!("server {} has ended", server.id));
            Instant::now() + Duration::from_millis(1_500)
        });
        if Instant::now() >= *due {
            back_at.remove(&server.id);
            *server = fleet.start_server(&server.id.clone(), &server.address.clone());
        }
    }
}

/// A crowd of clients sends bodies very slowly, and ordinary clients try beside it.
pub fn slow_crowd(fleet: &Fleet) -> Verdict {
    const MAX_FDS: u32 = 600;
    const CROWD: usize = 260;
    const CLIENTS: usize = 8;
    const CONTACT: Duration = Duration::from_millis(3_000);
    let _server = start_one_server(fleet);
    fleet.store.put("op/config", &configuration(1, &ROUTES, &[KEY, SECOND_KEY]));
    let host = Host::new("front-1", 11);
    host.write_limited_settings(fleet, 8, MAX_FDS);
    let mut process = start_ready_host(fleet, &host)?;
    sleep_ms(3_200);
    let is_over = AtomicBool::new(false);
    let taken = Mutex::new(vec![Instant::now()]);
    let tries = AtomicUsize::new(0);
    let mut unready = 0;
    let began_at = Instant::now();
    thread::scope(|scope| {
        if fleet.has_trouble {
            fleet.record.add(&format!("crowd: {CROWD} clients send a byte of a body of 4,000 bytes every 0.5 s"));
            let (host, is_over) = (&host, &is_over);
            scope.spawn(move || crawl(host, CROWD, is_over));
            sleep_ms(1_000);
        }
        for _ in 0..CLIENTS {
            let (host, is_over, taken, tries) = (&host, &is_over, &taken, &tries);
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let (_, answer) = fleet.request(host, &filing("/permit/now", 1_000));
                    tries.fetch_add(1, Ordering::Relaxed);
                    if answer.status > 0 {
                        taken.lock().unwrap().push(Instant::now());
                    }
                    sleep_ms(400);
                }
            });
        }
        for _ in 0..20 {
            sleep_ms(500);
            let is_ready = crate::fleet::is_ready(&host.ready);
            unready += usize::from(!is_ready);
            fleet.record.add(&format!("platform: GET /readyz: ready {is_ready}"));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    check(!process.has_ended(), "the host has ended")?;
    let mut taken = taken.into_inner().unwrap();
    taken.push(Instant::now());
    taken.sort();
    let longest = taken.windows(2).map(|two| two[1] - two[0]).max().unwrap_or_default();
    fleet.record.add(&format!(
        "{CLIENTS} clients tried {} channels in {:.1} s, {} were taken; longest time without: {} ms; not ready: {unready} of 20",
        tries.load(Ordering::Relaxed),
        began_at.elapsed().as_secs_f64(),
        taken.len() - 2,
        longest.as_millis()
    ));
    let is_broken = longest > CONTACT + Duration::from_millis(500) && unready == 0;
    if is_broken {
        fleet.record.add("RECOVER: the host said that it is ready, and took no new channel for longer than contact_ms");
    }
    Ok(is_broken)
}

/// Holds `count` channels, each with a request whose body comes a byte at a time.
fn crawl(host: &Host, count: usize, is_over: &AtomicBool) {
    let head = format!(
        "POST /permit/now HTTP/1.1\r\nHost: {}\r\nX-Cassiafield-Attempt-Id: ATTEMPT\r\nX-Cassiafield-Deadline-Ms: 60000\r\nAuthorization: Bearer {SECOND_KEY}\r\nContent-Length: 4000\r\n\r\n",
        crate::fleet::DOOR
    );
    let mut channels: Vec<TcpStream> = Vec::new();
    let mut next_attempt = 0;
    while !is_over.load(Ordering::Relaxed) {
        while channels.len() < count {
            let Ok(mut stream) = TcpStream::connect(&host.front) else { break };
            next_attempt += 1;
            let attempt = format!("{:08x}c0{next_attempt:06x}", std::process::id());
            if stream.write_all(head.replace("ATTEMPT", &attempt).as_bytes()).is_ok() {
                channels.push(stream);
            }
        }
        sleep_ms(500);
        channels.retain_mut(|stream| stream.write_all(b"x").is_ok());
    }
}

/// The leases of all hosts run out while the store is down; a server names a limit all the while.
pub fn limit_after_lapse(fleet: &Fleet) -> Verdict {
    const HOSTS: u8 = 4;
    const STALE: Duration = Duration::from_millis(2_500);
    let _server = start_one_server(fleet);
    fleet.store.serve_stale(STALE);
    let public = [Route { is_public: true, ..ROUTES[1] }];
    fleet.store.put("op/config", &configuration(1, &public, &[KEY]));
    let hosts: Vec<Host> =
        (1..=HOSTS).map(|number| Host::new(&format!("front-{number}"), 10 + number)).collect();
    let mut processes = Vec::new();
    for host in &hosts {
        host.write_settings(fleet, 8);
        processes.push(fleet.start_host(host));
    }
    for host in &hosts {
        check(fleet.wait_ready(host, Duration::from_secs(15)), "a host is not ready")?;
    }
    sleep_ms(8_000);
    let is_over = AtomicBool::new(false);
    let began_at = Instant::now();
    thread::scope(|scope| {
        for host in &hosts {
            for _ in 0..8 {
                let is_over = &is_over;
                scope.spawn(move || {
                    let request = Request { key: None, ..lookup("/tag/limited", 600) };
                    while !is_over.load(Ordering::Relaxed) {
                        fleet.request(host, &request);
                        sleep_ms(200);
                    }
                });
            }
        }
        sleep_ms(10_000);
        if fleet.has_trouble {
            fleet.record.add("platform: the store is down");
            fleet.store.leave();
            sleep_ms(2_000);
            fleet.store.end_leases();
            fleet.record.add("platform: the leases have run out meanwhile");
            sleep_ms(2_500);
            fleet.store.come_back(None);
            fleet.beat_now();
            fleet.record.add("platform: the store is back after 4.5 s");
        } else {
            sleep_ms(4_500);
        }
        sleep_ms(12_000);
        is_over.store(true, Ordering::Relaxed);
    });
    let arrivals: Vec<Instant> = fleet
        .lines
        .starting("run ")
        .into_iter()
        .map(|line| line.at)
        .filter(|at| *at >= began_at + Duration::from_millis(3_500))
        .collect();
    let window = Duration::from_secs(4);
    let count_from = |from: Instant| {
        arrivals.iter().filter(|at| **at >= from && **at < from + window).count()
    };
    let most = arrivals.iter().map(|from| (count_from(*from), *from)).max();
    let Some((most, from)) = most else { return Err("no arrivals".to_owned()) };
    let allowed = 1.5 * crate::server::NAMED_LIMIT * window.as_secs_f64() + 5.0;
    for second in 0..27 {
        let start = began_at + Duration::from_secs(second);
        let count = arrivals.iter().filter(|at| **at >= start && **at < start + Duration::from_secs(1)).count();
        fleet.record.add(&format!("second {second}: {count} requests at the server"));
    }
    fleet.record.add(&format!(
        "most in 4 s: {most} from {:.1} s on, allowed {allowed}",
        (from - began_at).as_secs_f64()
    ));
    Ok(most as f64 > allowed)
}
