use {
    crate::LineFit,
    cassiafield::connection::{LoadDigest, PeerDigest, PeerEnvelope},
    cassiafield_core::{
        ids::{EndpointId, HostId, ListRevision, ModelId, Moment, OrganisationId, ZoneId},
        process::{
            AllowanceLedger, EndpointRecord, EndpointRole, EndpointState, EndpointTable,
            RequestClass, RouteCapacity, RoutePlanner, RouteRequest, SlotAllocator, SlotDemand,
            UsageOutcome, UsageRecord,
        },
        request::LayerSpan,
        version::{
            EditOutcome, EditRecord, FleetLists, FloorFraction, ListChange, ListEdit, PlanDraft,
            PlanLimits, ZoneShare, MAX_RECENT_EDITS,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Write as _,
        hint::black_box,
        time::{Duration, Instant},
    },
};

/// Measures how the cost of decisions and the size of messages grow with the size of the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct CoreScaling;

/// Numbers of organisations to measure at.
const ORGANISATION_COUNTS: [usize; 5] = [25, 50, 100, 200, 400];
/// Numbers of endpoints to measure at.
const ENDPOINT_COUNTS: [usize; 5] = [16, 32, 64, 128, 256];
const HOSTS_PER_ZONE: u16 = 20;
const MODEL_COUNT: usize = 4;
/// Shortest time over which an operation is repeated for its mean.
const MIN_MEASURE_TIME: Duration = Duration::from_millis(40);

impl CoreScaling {
    /// Runs all measurements and returns a table with a linear fit for each row.
    ///
    /// # Errors
    ///
    /// Returns an error if the sample data is invalid.
    pub fn run(self) -> anyhow::Result<String> {
        let mut table = String::new();
        type Measure = fn(usize) -> anyhow::Result<f64>;
        let by_organisation_count: [(&str, Measure); 9] = [
            ("serialised lists, bytes", lists_bytes),
            ("parsing the lists, us", lists_parse),
            ("setting the floors of a new version, us", set_floors),
            ("admitting a request, us", admit),
            ("loan round without demand, us", idle_loan_round),
            ("loan request and answer for all organisations, us", loan_exchange),
            ("dividing the slots of a model, us", slot_split),
            ("digest, bytes", digest_bytes_by_organisations),
            ("usage record of an hour, bytes", usage_bytes),
        ];
        for (name, measure) in by_organisation_count {
            write_row(&mut table, name, "organisations", &ORGANISATION_COUNTS, measure)?;
        }
        let by_endpoint_count: [(&str, Measure); 3] = [
            ("planning a route, us", plan_route),
            ("replacing the endpoint list, us", replace_list),
            ("digest, bytes", digest_bytes_by_endpoints),
        ];
        for (name, measure) in by_endpoint_count {
            write_row(&mut table, name, "endpoints of a model", &ENDPOINT_COUNTS, measure)?;
        }
        Ok(table)
    }
}

fn write_row(
    table: &mut String,
    name: &str,
    variable: &str,
    values: &[usize],
    measure: impl Fn(usize) -> anyhow::Result<f64>,
) -> anyhow::Result<()> {
    let mut points = Vec::new();
    for &value in values {
        points.push((value as f64, measure(value)?));
    }
    let shown: Vec<String> = points.iter().map(|(x, y)| format!("{x:.0}: {y:.2}")).collect();
    let fit = LineFit::of(&points);
    let fit = fit.map_or_else(|| "no fit".to_owned(), |fit| fit.to_string());
    writeln!(table, "{name} by {variable}: {} | {fit}", shown.join(", "))?;
    Ok(())
}

/// Returns the mean time of `operation` in microseconds, after one unmeasured run.
fn mean_micros(mut operation: impl FnMut()) -> f64 {
    operation();
    let started = Instant::now();
    let mut runs = 0_u32;
    while started.elapsed() < MIN_MEASURE_TIME {
        operation();
        runs += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(runs)
}

fn organisation(index: usize) -> anyhow::Result<OrganisationId> {
    Ok(format!("organisation-{index}").parse()?)
}

fn limits() -> anyhow::Result<PlanLimits> {
    let model = |index: usize| format!("model-{index}").parse::<ModelId>();
    Ok(PlanLimits::try_from(PlanDraft {
        request_rate: 100.0,
        request_burst: 400.0,
        token_rate: 20_000.0,
        token_burst: 200_000.0,
        concurrent: 1_000,
        max_tokens: 2_000,
        weight: 1,
        models: (0..MODEL_COUNT).map(model).collect::<Result<_, _>>()?,
        services: ["permits".parse()?, "lookups".parse()?].into(),
    })?)
}

/// Builds lists in which each organisation has its own plan and the edit history is full.
fn lists(organisations: usize) -> anyhow::Result<FleetLists> {
    let zone = ZoneShare { zone: "zone-a".parse()?, hosts: HOSTS_PER_ZONE, weight: 1 };
    let mut changes = vec![ListChange::SetZones(vec![zone])];
    for index in 0..organisations {
        let plan: cassiafield_core::ids::PlanId = format!("plan-{index}").parse()?;
        changes.push(ListChange::SetPlan { plan: plan.clone(), limits: limits()?, base: None });
        changes.push(ListChange::SetOrganisation {
            organisation: organisation(index)?,
            plan,
            key_hashes: vec![format!("{index:064x}").into(), format!("a{index:063x}").into()],
            base: None,
        });
    }
    let edit = ListEdit { id: 1, author: "load".into(), change: ListChange::Batch(changes) };
    let EditOutcome::Applied(mut lists) = FleetLists::default().apply(&edit)? else {
        anyhow::bail!("the edit was already applied")
    };
    lists.edits = (0..MAX_RECENT_EDITS)
        .map(|index| EditRecord {
            id: fastrand::u128(..),
            author: "operator-name".into(),
            summary: format!("set organisation organisation-{index}").into(),
        })
        .collect();
    Ok(*lists)
}

fn lists_bytes(organisations: usize) -> anyhow::Result<f64> {
    Ok(serde_json::to_vec(&lists(organisations)?)?.len() as f64)
}

fn lists_parse(organisations: usize) -> anyhow::Result<f64> {
    let value = serde_json::to_vec(&lists(organisations)?)?;
    Ok(mean_micros(|| {
        black_box(serde_json::from_slice::<FleetLists>(&value).is_ok());
    }))
}

fn ledger(organisations: usize) -> anyhow::Result<(AllowanceLedger, FleetLists, FloorFraction)> {
    let lists = lists(organisations)?;
    let fraction = FloorFraction::of(&lists.zones, &lists.zones[0].zone, 0);
    let fraction = fraction.ok_or_else(|| anyhow::anyhow!("no such ordinal"))?;
    let mut ledger = AllowanceLedger::new(1, Duration::from_secs(120));
    ledger.set_floors(&lists, Some(&fraction), true, Moment::ORIGIN);
    Ok((ledger, lists, fraction))
}

fn set_floors(organisations: usize) -> anyhow::Result<f64> {
    let (mut ledger, lists, fraction) = ledger(organisations)?;
    let mut now = Moment::ORIGIN;
    Ok(mean_micros(|| {
        now = now + Duration::from_millis(1);
        ledger.set_floors(&lists, Some(&fraction), true, now);
    }))
}

fn admit(organisations: usize) -> anyhow::Result<f64> {
    let (mut ledger, _, _) = ledger(organisations)?;
    let callers = (0..organisations).map(organisation).collect::<Result<Vec<_>, _>>()?;
    let (mut now, mut next) = (Moment::from_millis(60_000), 0);
    Ok(mean_micros(|| {
        now = now + Duration::from_micros(500);
        next = (next + 1) % callers.len();
        if ledger.admit(&callers[next], 100, now).is_ok() {
            ledger.release(&callers[next], 50, now);
        }
    }))
}

fn idle_loan_round(organisations: usize) -> anyhow::Result<f64> {
    let (mut ledger, _, _) = ledger(organisations)?;
    let mut now = Moment::ORIGIN;
    Ok(mean_micros(|| {
        now = now + Duration::from_millis(50);
        black_box(ledger.loan_demands(now).len());
        black_box(ledger.loan_peers().len());
    }))
}

/// Measures a loan request of one host for all organisations and the response of another host.
fn loan_exchange(organisations: usize) -> anyhow::Result<f64> {
    let (lender, lists, fraction) = ledger(organisations)?;
    let mut borrower = AllowanceLedger::new(2, Duration::from_secs(120));
    borrower.set_floors(&lists, Some(&fraction), true, Moment::ORIGIN);
    let now = Moment::from_millis(1_000);
    for index in 0..organisations {
        let organisation = organisation(index)?;
        while borrower.admit(&organisation, 2_000, now).is_ok() {}
    }
    let now = now + Duration::from_millis(150);
    let demands = borrower.loan_demands(now);
    let host: HostId = "host-a".parse()?;
    Ok(mean_micros(|| {
        let (mut borrower, mut lender) = (borrower.clone(), lender.clone());
        let request = borrower.build_request(&host, &demands, now);
        let response = lender.handle_request(&host, &request, now);
        borrower.apply_response(&host, &response, now, now);
        black_box(response.grants.len());
    }))
}

fn slot_split(organisations: usize) -> anyhow::Result<f64> {
    let mut demands = BTreeMap::new();
    for index in 0..organisations {
        let demand =
            SlotDemand { weight: 1, current: 2.0, local: 1.7, preceding: 4.0, total: 30.0 };
        demands.insert(organisation(index)?, demand);
    }
    Ok(mean_micros(|| {
        black_box(SlotAllocator::new(2_000).local_limits(&demands, 0.4).len());
    }))
}

fn digest(organisations: usize, endpoints: usize) -> anyhow::Result<f64> {
    let lists = lists(organisations.max(1))?;
    let mut demands = BTreeMap::new();
    for model in 0..MODEL_COUNT {
        let mut demand = BTreeMap::new();
        for index in (0..organisations).filter(|index| index % MODEL_COUNT == model) {
            demand.insert(organisation(index)?, 1.25);
        }
        demands.insert(format!("model-{model}").parse()?, demand);
    }
    let mut in_flight = BTreeMap::new();
    for index in 0..endpoints {
        in_flight.insert(format!("engine-{index}").parse::<EndpointId>()?, 17);
    }
    let message = PeerDigest {
        address: "10.100.100.100:8081".into(),
        zone: "region-1-zone-a".parse::<ZoneId>()?,
        revision: ListRevision(123_456),
        stopping: false,
        leaving: BTreeSet::new(),
        load: Some(LoadDigest::pack(&lists, &in_flight, &demands)),
    };
    let envelope = PeerEnvelope { sender: "host-123".parse()?, message };
    Ok(rmp_serde::to_vec_named(&envelope)?.len() as f64)
}

fn digest_bytes_by_organisations(organisations: usize) -> anyhow::Result<f64> {
    digest(organisations, 0)
}

fn digest_bytes_by_endpoints(endpoints: usize) -> anyhow::Result<f64> {
    digest(0, endpoints)
}

fn usage_bytes(organisations: usize) -> anyhow::Result<f64> {
    let mut record = UsageRecord::default();
    for index in 0..organisations {
        let organisation = organisation(index)?;
        for class in [RequestClass::Generation, RequestClass::Lookup, RequestClass::Filing] {
            record.record_arrival(&organisation, class);
            let outcome = UsageOutcome::Served(100_000, Duration::from_millis(600));
            record.record_outcome(&organisation, class, outcome);
        }
    }
    Ok(rmp_serde::to_vec(&record)?.len() as f64)
}

fn records(endpoints: usize) -> anyhow::Result<Vec<EndpointRecord>> {
    const STAGES: usize = 4;
    const LAYERS_PER_STAGE: u16 = 16;
    (0..endpoints)
        .map(|index| {
            let start = (index % STAGES) as u16 * LAYERS_PER_STAGE;
            let role = EndpointRole::Stage {
                model: "model-0".parse()?,
                layers: STAGES as u16 * LAYERS_PER_STAGE,
                span: LayerSpan::try_from((start, start + LAYERS_PER_STAGE))?,
                accelerator: "kind-a".parse()?,
            };
            Ok(EndpointRecord {
                endpoint: format!("engine-{index}").parse()?,
                address: format!("10.0.0.{}:9000", index % 250).into(),
                zone: format!("zone-{}", index % 3).parse()?,
                role,
                state: EndpointState::Live,
                slots: 32,
                link_micros: 100,
            })
        })
        .collect()
}

fn plan_route(endpoints: usize) -> anyhow::Result<f64> {
    let mut table = EndpointTable::new();
    table.replace_list(records(endpoints)?, Moment::ORIGIN);
    let (model, zone): (ModelId, ZoneId) = ("model-0".parse()?, "zone-0".parse()?);
    let mut prefix = 0;
    Ok(mean_micros(|| {
        prefix += 1;
        let capacity = RouteCapacity::Slots;
        let request = RouteRequest {
            model: &model,
            excluded: &[],
            zone: &zone,
            prefix_hash: prefix,
            capacity,
        };
        black_box(RoutePlanner.plan(&table, &request, Moment::ORIGIN).is_ok());
    }))
}

fn replace_list(endpoints: usize) -> anyhow::Result<f64> {
    let records = records(endpoints)?;
    let mut table = EndpointTable::new();
    Ok(mean_micros(|| table.replace_list(records.clone(), Moment::ORIGIN)))
}
