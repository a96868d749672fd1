//! A fleet of separate processes on free ports.

mod child_process;

pub(crate) use child_process::{complete, file, opened_streams, ChildProcess};
use {
    cassiafield::{connection::EtcdStore, request::hash_bearer_key, version::ListEditor},
    cassiafield_core::version::{ListChange, ListEdit, PlanDraft, PlanLimits, ZoneShare},
    cassiafield_standin::{TcpRelay, ToyModel},
    serde_json::{json, Value},
    std::{
        fs,
        path::PathBuf,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

pub(crate) const API_KEY: &str = "test-key";
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const LAYERS: u16 = 16;

/// Size and parameters of a test fleet.
pub(crate) struct ProcessFleetSpec {
    /// Engines per stage; there are two stages.
    pub(crate) replicas: u16,
    pub(crate) services: u16,
    pub(crate) entry_hosts: u16,
    pub(crate) token_ms: u64,
    pub(crate) after_ms: u64,
    pub(crate) settings: &'static str,
    /// Indices of entry hosts that read the lagging list of hosts.
    pub(crate) lagging: &'static [u16],
    /// Indices of entry hosts that reach the platform through the relay.
    pub(crate) relayed: &'static [u16],
    /// Availability zones; entry hosts are assigned to them in turn.
    pub(crate) zones: u16,
}

impl Default for ProcessFleetSpec {
    fn default() -> Self {
        Self {
            replicas: 2,
            services: 1,
            entry_hosts: 1,
            token_ms: 4,
            after_ms: 0,
            settings: "",
            lagging: &[],
            relayed: &[],
            zones: 1,
        }
    }
}

pub(crate) struct ProcessFleet {
    pub(crate) platform: ChildProcess,
    pub(crate) engines: Vec<ChildProcess>,
    pub(crate) services: Vec<ChildProcess>,
    pub(crate) entry_hosts: Vec<ChildProcess>,
    pub(crate) directory: PathBuf,
    /// Relay between the platform and the relayed entry hosts.
    pub(crate) relay: TcpRelay,
    spec: ProcessFleetSpec,
}

impl ProcessFleet {
    pub(crate) fn start(spec: ProcessFleetSpec) -> Self {
        let name = format!("cassiafield-test-{:016x}", fastrand::u64(..));
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).unwrap();
        let platform = ChildProcess::standin(&["platform"]);
        let relay = TcpRelay::start("127.0.0.1:0", platform.address().parse().unwrap()).unwrap();
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            entry_hosts: Vec::new(),
            directory,
            relay,
            spec,
        };
        fleet.write_lists();
        for stage in 0..2 {
            for replica in 0..fleet.spec.replicas {
                fleet.start_engine(stage, replica);
            }
        }
        for index in 0..fleet.spec.services {
            fleet.start_service(index);
        }
        for index in 0..fleet.spec.entry_hosts {
            fleet.start_entry(index);
        }
        for index in 0..fleet.entry_hosts.len() {
            fleet.wait_serving(index);
        }
        fleet
    }

    pub(crate) fn store(&self) -> Arc<EtcdStore> {
        Arc::new(EtcdStore::new(self.platform_url()))
    }

    pub(crate) fn platform_url(&self) -> String {
        format!("http://{}", self.platform.address())
    }

    pub(crate) fn limits() -> PlanDraft {
        PlanDraft {
            request_rate: 1e5,
            request_burst: 1e5,
            token_rate: 1e8,
            token_burst: 1e8,
            concurrent: 3_000,
            max_tokens: 2_000,
            weight: 1,
            models: ["demo-model".parse().unwrap()].into(),
            services: ["permits".parse().unwrap()].into(),
        }
    }

    pub(crate) fn edit(&self, change: ListChange) -> u64 {
        let editor = ListEditor::new(self.store());
        let edit = ListEdit { id: fastrand::u128(..), author: "test".into(), change };
        editor.submit(&edit).unwrap().revision.0
    }

    fn write_lists(&self) {
        let zones = (0..self.spec.zones).map(|index| ZoneShare {
            zone: zone_name(index).parse().unwrap(),
            hosts: self.spec.entry_hosts.div_ceil(self.spec.zones),
            weight: 1,
        });
        let limits = PlanLimits::try_from(Self::limits()).unwrap();
        let plan: cassiafield_core::ids::PlanId = "plan".parse().unwrap();
        self.edit(ListChange::Batch(vec![
            ListChange::SetZones(zones.collect()),
            ListChange::SetPlan { plan: plan.clone(), limits, base: None },
            ListChange::SetOrganisation {
                organisation: "traders".parse().unwrap(),
                plan,
                key_hashes: vec![hash_bearer_key(API_KEY).into()],
                base: None,
            },
        ]));
    }

    fn start_engine(&mut self, stage: u16, replica: u16) {
        let half = LAYERS / 2;
        let span = format!("{}..{}", stage * half, (stage + 1) * half);
        let endpoint = format!("engine-{stage}-{replica}");
        let token_ms = self.spec.token_ms.to_string();
        let engine = ChildProcess::standin(&[
            "engine",
            "--platform",
            &self.platform_url(),
            "--endpoint",
            &endpoint,
            "--span",
            &span,
            "--token-ms",
            &token_ms,
            "--slots",
            "64",
        ]);
        self.engines.push(engine);
    }

    fn start_service(&mut self, index: u16) {
        let endpoint = format!("permits-{index}");
        let after_ms = self.spec.after_ms.to_string();
        let service = ChildProcess::standin(&[
            "service",
            "--platform",
            &self.platform_url(),
            "--endpoint",
            &endpoint,
            "--after-ms",
            &after_ms,
        ]);
        self.services.push(service);
    }

    /// Starts an entry host and registers it with the platform, replacing an earlier one of this
    /// index.
    pub(crate) fn start_entry(&mut self, index: u16) {
        let file = self.directory.join(format!("entry-{index}.ini"));
        let url = self.platform_url();
        let zone = zone_name(index % self.spec.zones);
        let platform = if self.spec.relayed.contains(&index) {
            format!("http://{}", self.relay.address())
        } else {
            url.clone()
        };
        let list =
            if self.spec.lagging.contains(&index) { "/v1/hosts/lagging" } else { "/v1/hosts" };
        let text = format!(
            "[host]\nid = entry-{index}\nzone = {zone}\nlisten = 127.0.0.1:0\n\
             peer_listen = 127.0.0.1:0\n[platform]\nstore_url = {platform}\n\
             hosts_url = {platform}{list}\n{}",
            self.spec.settings
        );
        fs::write(&file, text).unwrap();
        let entry = ChildProcess::entry(&["--settings", file.to_str().unwrap()]);
        let record = json!({
            "host": format!("entry-{index}"), "address": entry.peer_address(), "zone": zone,
        });
        ureq::post(&format!("{url}/standin/entry")).send_json(record).unwrap();
        let index = usize::from(index);
        if index < self.entry_hosts.len() {
            self.entry_hosts[index] = entry;
        } else {
            self.entry_hosts.push(entry);
        }
    }

    pub(crate) fn wait_serving(&self, index: usize) {
        wait_until("the entry host serves", || {
            self.entry_hosts[index].complete("warm", 1).is_ok_and(|response| response.status == 200)
        });
    }

    pub(crate) fn set_faults(&self, faults: &Value) {
        ureq::post(&format!("{}/standin/faults", self.platform_url())).send_json(faults).unwrap();
    }

    pub(crate) fn run_counts(&self) -> Value {
        let url = format!("{}/standin/runs", self.platform_url());
        ureq::get(&url).call().unwrap().into_json().unwrap()
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn zone_name(index: u16) -> String {
    format!("zone-{index}")
}

pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

pub(crate) fn expected_completion(prompt: &str, max_tokens: u32) -> String {
    ToyModel::new(LAYERS).generate(prompt, max_tokens).concat()
}
