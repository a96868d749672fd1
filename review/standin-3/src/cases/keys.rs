//! A version adds a public route below one with keys; callers still send their keys.

use {
    crate::{
        http::{exchange, response, Call},
        play::{answer_headers, register, Play},
        world::{configuration, plain_service, serve, start_one, start_store, Route},
    },
    std::{
        io,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";

fn configuration_of(version: u32, has_public_route: bool) -> String {
    let route = |prefix, more| Route {
        prefix,
        kind: "safe",
        service: "desk",
        timeout_ms: 2_000,
        attempts: 2,
        more,
    };
    let mut routes = vec![route("/desk/", "")];
    if has_public_route {
        routes.push(route("/desk/open/", ",\"public\":true"));
    }
    let tenants = format!(",\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]");
    configuration(version, &routes, &plain_service("desk"), &tenants)
}

pub fn run(play: &Play) -> io::Result<bool> {
    let (store, store_address) = start_store(play, &configuration_of(7, false))?;
    let leaked = Arc::new(Mutex::new(Vec::new()));
    let address = play.address(11);
    let (seen, record) = (Arc::clone(&leaked), Arc::clone(&play.record));
    serve(
        address,
        Arc::new(move |request, channel| {
            let id = request.header("x-cassiafield-attempt-id").unwrap_or("-").to_owned();
            let tenant = request.header("x-cassiafield-tenant").unwrap_or("none").to_owned();
            let key = request.header("authorization").unwrap_or("none").to_owned();
            record.log(format!("server runs {id}: tenant {tenant}, authorization {key}"));
            if key.contains(KEY) {
                seen.lock().unwrap().push(id);
            }
            channel.write(&response(200, "OK", &answer_headers(request, "s"), b"done")).is_ok()
        }),
    )?;
    register(&store, "i-1", "desk", address, "");
    let host = start_one(play, store_address)?;
    let send = |count: usize| {
        for _ in 0..count {
            let id = play.request_id();
            let call = Call {
                method: "GET",
                host: "a.example".to_owned(),
                path: "/desk/open/x".to_owned(),
                headers: vec![
                    ("X-Cassiafield-Attempt-Id".to_owned(), id.clone()),
                    ("X-Cassiafield-Deadline-Ms".to_owned(), "2000".to_owned()),
                    ("Authorization".to_owned(), format!("Bearer {KEY}")),
                ],
                body: Vec::new(),
            };
            let (answer, _) = exchange(host.plan.front, &call, Duration::from_secs(3));
            let text = answer.map_or_else(|e| e.to_string(), |a| a.status().to_string());
            play.record.log(format!("client gets {text} for {id}"));
            thread::sleep(Duration::from_millis(20));
        }
    };
    send(20);
    if play.has_trouble {
        store.put("op/config", &configuration_of(9, true));
        play.record.log("the operator writes version 9, which adds the public route /desk/open/");
    }
    thread::sleep(Duration::from_secs(4));
    send(20);
    let leaked = leaked.lock().unwrap();
    play.record.log(format!("{} requests reached the server with the client's key", leaked.len()));
    Ok(leaked.is_empty())
}
