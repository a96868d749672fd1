//! A process of the test fleet, and requests to it.

use {
    crate::fleet::API_KEY,
    serde_json::{json, Value},
    std::{
        io::{BufRead as _, BufReader},
        process::{Child, Command, ExitStatus, Stdio},
        time::Duration,
    },
};

pub(crate) struct ChildProcess {
    child: Child,
    /// Fields of the first line on standard output: `listening`, the address and, for an entry
    /// host, the peer address.
    startup_fields: Vec<String>,
}

pub(crate) struct ReadResponse {
    pub(crate) status: u16,
    pub(crate) verdict: String,
    pub(crate) body: Value,
}

impl ChildProcess {
    pub(crate) fn standin(arguments: &[&str]) -> Self {
        Self::start(env!("CARGO_BIN_EXE_cassiafield-standin"), arguments)
    }

    pub(crate) fn entry(arguments: &[&str]) -> Self {
        Self::start(env!("CARGO_BIN_EXE_cassiafield-entry"), arguments)
    }

    fn start(program: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let startup_fields: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        assert_eq!(
            startup_fields.first().map(String::as_str),
            Some("listening"),
            "{program}: {line:?}"
        );
        Self { child, startup_fields }
    }

    pub(crate) fn address(&self) -> &str {
        &self.startup_fields[1]
    }

    pub(crate) fn peer_address(&self) -> &str {
        &self.startup_fields[2]
    }

    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap();
        assert!(status.success());
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub(crate) fn status(&self) -> Option<Value> {
        let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(2)).build();
        let url = format!("http://{}/status", self.peer_address());
        agent.get(&url).call().ok()?.into_json().ok()
    }

    pub(crate) fn complete(&self, prompt: &str, max_tokens: u32) -> Result<ReadResponse, String> {
        complete(self.address(), prompt, max_tokens)
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Requests a completion; returns an error if there is no complete response.
pub(crate) fn complete(
    address: &str,
    prompt: &str,
    max_tokens: u32,
) -> Result<ReadResponse, String> {
    let body = json!({ "model": "demo-model", "prompt": prompt, "max_tokens": max_tokens });
    let request = agent().post(&format!("http://{address}/v1/completions"));
    let request = request.set("Authorization", &format!("Bearer {API_KEY}"));
    read(request.send_string(&body.to_string()))
}

/// Sends a filing with an idempotency key; returns an error if there is no complete response.
pub(crate) fn file(address: &str, key: &str) -> Result<ReadResponse, String> {
    let request = agent().post(&format!("http://{address}/v1/services/permits/file"));
    let request = request.set("Authorization", &format!("Bearer {API_KEY}"));
    read(request.set("Idempotency-Key", key).send_string(key))
}

/// Returns the number of streams that an engine has accepted.
pub(crate) fn opened_streams(address: &str) -> u64 {
    let load: Value =
        ureq::get(&format!("http://{address}/v1/load")).call().unwrap().into_json().unwrap();
    load["opened"].as_u64().unwrap()
}

fn agent() -> ureq::Agent {
    ureq::AgentBuilder::new().timeout(Duration::from_secs(60)).max_idle_connections(0).build()
}

fn read(result: Result<ureq::Response, ureq::Error>) -> Result<ReadResponse, String> {
    let response = match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => response,
        Err(error) => return Err(error.to_string()),
    };
    let status = response.status();
    let verdict = response.header("Cassiafield-Verdict").unwrap_or("").to_owned();
    let text = response.into_string().map_err(|error| error.to_string())?;
    let body = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    Ok(ReadResponse { status, verdict, body })
}
