//! Edits to the lists: validation, conflict detection and recognition of resent edits.

use cassiafield_core::version::{
    EditOutcome, FleetLists, FloorFraction, ListChange, ListEdit, ListError, PlanDraft, PlanLimits,
    ZoneShare, MAX_RECENT_EDITS,
};

fn draft() -> PlanDraft {
    PlanDraft {
        request_rate: 10.0,
        request_burst: 10.0,
        token_rate: 100.0,
        token_burst: 1_000.0,
        concurrent: 4,
        max_tokens: 100,
        weight: 1,
        models: [].into(),
        services: [].into(),
    }
}

fn set_plan(plan: &str, base: Option<u64>) -> ListChange {
    let limits = PlanLimits::try_from(draft()).unwrap();
    ListChange::SetPlan { plan: plan.parse().unwrap(), limits, base }
}

fn set_organisation(name: &str, plan: &str, hash: &str) -> ListChange {
    ListChange::SetOrganisation {
        organisation: name.parse().unwrap(),
        plan: plan.parse().unwrap(),
        key_hashes: vec![hash.into()],
        base: None,
    }
}

fn edit(id: u128, author: &str, change: ListChange) -> ListEdit {
    ListEdit { id, author: author.into(), change }
}

fn applied(lists: &FleetLists, edit: &ListEdit) -> FleetLists {
    match lists.apply(edit).unwrap() {
        EditOutcome::Applied(lists) => *lists,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_resent_edit_is_not_applied_twice() {
    let first = edit(1, "ana", set_plan("gold", Some(0)));
    let lists = applied(&FleetLists::default(), &first);
    assert_eq!(lists.apply(&first), Ok(EditOutcome::AlreadyApplied));
}

#[test]
fn a_stale_edit_is_refused_with_the_author_of_the_newer_edit() {
    let lists = applied(&FleetLists::default(), &edit(1, "ana", set_plan("gold", Some(0))));
    let refused = lists.apply(&edit(2, "bo", set_plan("gold", Some(0)))).unwrap_err();
    assert_eq!(refused.to_string(), "gold was changed by ana since you read it (version 0, now 1)");
}

#[test]
fn edits_to_different_entries_do_not_conflict() {
    let lists = applied(&FleetLists::default(), &edit(1, "ana", set_plan("gold", Some(0))));
    let lists = applied(&lists, &edit(2, "bo", set_plan("silver", Some(0))));
    assert_eq!(lists.plans.len(), 2);
}

#[test]
fn a_plan_in_use_an_unknown_plan_and_a_shared_key_are_refused() {
    let lists = applied(&FleetLists::default(), &edit(1, "ana", set_plan("gold", None)));
    let lists = applied(&lists, &edit(2, "ana", set_organisation("traders", "gold", "aa")));
    let remove = ListChange::RemovePlan { plan: "gold".parse().unwrap(), base: None };
    assert!(matches!(lists.apply(&edit(3, "bo", remove)), Err(ListError::PlanInUse(..))));
    let unknown = set_organisation("others", "lead", "bb");
    assert!(matches!(lists.apply(&edit(4, "bo", unknown)), Err(ListError::UnknownPlan(..))));
    let shared = set_organisation("others", "gold", "aa");
    assert!(matches!(lists.apply(&edit(5, "bo", shared)), Err(ListError::SharedKey(..))));
}

#[test]
fn a_batch_is_applied_atomically() {
    let batch = ListChange::Batch(vec![set_plan("gold", Some(0)), set_plan("silver", Some(7))]);
    assert!(FleetLists::default().apply(&edit(1, "ana", batch)).is_err());
}

#[test]
fn the_edit_history_is_bounded() {
    let mut lists = FleetLists::default();
    for id in 0..MAX_RECENT_EDITS as u128 * 2 {
        lists = applied(&lists, &edit(id, "ana", set_plan("gold", None)));
    }
    assert_eq!(lists.edits.len(), MAX_RECENT_EDITS);
}

#[test]
fn a_limit_out_of_range_is_reported_by_field() {
    let invalid = PlanDraft { token_burst: 50.0, ..draft() };
    assert_eq!(PlanLimits::try_from(invalid).unwrap_err().field, "token_burst");
    let invalid = PlanDraft { request_rate: f64::NAN, ..draft() };
    assert_eq!(PlanLimits::try_from(invalid).unwrap_err().field, "request_rate");
}

#[test]
fn the_shares_of_all_hosts_sum_to_at_most_the_plan() {
    for permits in [1, 8, 9, 10, 100, 997] {
        let zones: Vec<ZoneShare> = [("a", 3, 1), ("b", 5, 2), ("c", 1, 4)]
            .map(|(zone, hosts, weight)| ZoneShare { zone: zone.parse().unwrap(), hosts, weight })
            .into();
        let (mut sum, mut rate) = (0, 0.0);
        for share in &zones {
            for ordinal in 0..share.hosts {
                let fraction = FloorFraction::of(&zones, &share.zone, ordinal).unwrap();
                sum += fraction.of_permits(permits);
                rate += fraction.of_amount(100.0);
            }
            assert!(FloorFraction::of(&zones, &share.zone, share.hosts).is_none());
        }
        assert!(sum <= permits, "{sum} of {permits}");
        assert!((rate - 100.0).abs() < 1e-9);
    }
}
