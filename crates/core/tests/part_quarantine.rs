//! Evidence against parts of prompts, and quarantines of parts.

use std::time::Duration;

use slipturn_core::{
    ids::{CustomerId, ServiceId},
    part_quarantine::{
        CrashedPrompt, CustomerScope, PartScope, PartSubject, PartVerdict,
        answered_parts::AnsweredParts,
        evidence::{PartEvidence, REPLY_TIME},
        verdicts::{self, PartVerdicts, VerdictPhase},
    },
    prompt_part::SharedParts,
    units::MonoTime,
};

/// Time between two crashes, far above that of engines which fail together.
const CRASH_INTERVAL: u64 = 300;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_span(Duration::from_millis(millis))
}

fn parts(text: &str) -> SharedParts {
    text.parse().expect("valid parts")
}

fn service() -> ServiceId {
    "models".parse().expect("a name")
}

fn customer(name: &str) -> CustomerId {
    name.parse().expect("a name")
}

fn scope(name: &str) -> PartScope {
    let customers = match name {
        "*" => CustomerScope::All,
        name => CustomerScope::One(Some(customer(name))),
    };
    PartScope { service: service(), customers }
}

/// A prompt of a customer that ran on an engine which crashed.
fn crash(millis: u64, engine: u64, name: &str, shared: &str) -> CrashedPrompt {
    CrashedPrompt {
        service: service(),
        customer: Some(customer(name)),
        parts: parts(shared),
        upstream: format!("e{engine}").parse().expect("a name"),
        sent: at(millis - 100),
        ended: at(millis),
    }
}

/// Evidence, answers and quarantines of one member.
#[derive(Default)]
struct Member {
    evidence: PartEvidence,
    answered: AnsweredParts,
    verdicts: PartVerdicts,
    now: u64,
}

impl Member {
    /// Handles crashes one after the other, given by customer and shared parts; another prompt is answered meanwhile.
    fn crashes(&mut self, prompts: &[(&str, &str)]) {
        for (name, shared) in prompts {
            self.now += CRASH_INTERVAL;
            let now = at(self.now);
            let engine = self.now / CRASH_INTERVAL;
            self.evidence.note_crashes(
                now,
                &self.answered,
                [crash(self.now, engine, name, shared)],
            );
            self.evidence.take_suspects(now, &self.answered);
            self.answer("other", "ffff");
        }
    }

    fn answer(&mut self, name: &str, shared: &str) {
        self.now += 1;
        let customer = customer(name);
        self.answered.note_prompt(at(self.now), &service(), Some(&customer), &parts(shared));
    }

    /// Returns the scopes and parts of the verdicts after the members' replies, and puts them in force.
    fn judge(&mut self) -> Vec<(String, String)> {
        self.now += REPLY_TIME.as_millis() as u64;
        let now = at(self.now);
        let judgement = self.evidence.judge(now, &self.answered, &self.verdicts);
        let named = judgement
            .verdicts
            .iter()
            .map(|verdict| (verdict.scope.to_string(), verdict.parts.to_string()));
        let named = named.collect();
        for verdict in judgement.verdicts {
            self.verdicts.insert(now, verdict);
        }
        named
    }

    fn is_held(&self, name: &str, shared: &str) -> bool {
        let customer = customer(name);
        let found = self.verdicts.find(at(self.now), &service(), Some(&customer), &parts(shared));
        found.is_some()
    }
}

fn named(scope: &str, parts: &str) -> (String, String) {
    (format!("models/{scope}"), parts.to_owned())
}

#[test]
fn a_part_is_blamed_together_with_those_that_all_its_prompts_had() {
    let mut member = Member::default();
    member.crashes(&[("a", "f1+dead"), ("a", "f1+dead"), ("a", "f1+dead")]);
    assert_eq!(member.judge(), [named("a", "dead+f1")]);
    assert!(member.is_held("a", "f1+dead+77"));
    // A prompt with one of the parts runs, and its answer or crash tells which one is the cause.
    assert!(!member.is_held("a", "f1"));
    assert!(!member.is_held("a", "f2+dead"));
    member.answer("a", "f1");
    assert_eq!(member.judge(), [named("a", "dead")]);
    assert!(member.is_held("a", "f2+dead"));
}

#[test]
fn an_answer_clears_a_part_of_earlier_crashes() {
    let mut member = Member::default();
    member.crashes(&[("a", "dead"), ("a", "dead")]);
    member.answer("a", "dead");
    member.crashes(&[("a", "dead"), ("a", "dead")]);
    assert_eq!(member.judge(), []);
    member.crashes(&[("a", "dead")]);
    assert_eq!(member.judge(), [named("a", "dead")]);
}

#[test]
fn while_no_prompt_is_answered_it_takes_more_crashes_and_a_part_is_tried_soon() {
    let mut member = Member::default();
    let crash_once = |member: &mut Member, engine: u64| {
        member.now += CRASH_INTERVAL;
        let crash = crash(member.now, engine, "a", "f1");
        member.evidence.note_crashes(at(member.now), &member.answered, [crash]);
        member.evidence.take_suspects(at(member.now), &member.answered);
    };
    (1..=4).for_each(|engine| crash_once(&mut member, engine));
    assert_eq!(member.judge(), []);
    crash_once(&mut member, 5);
    assert_eq!(member.judge(), [named("a", "f1")]);
    let term = |member: &Member| member.verdicts.iter().next().map(|verdict| verdict.term);
    assert_eq!(term(&member), Some(verdicts::SHORT_TERM));
    // The first answer shows that only prompts with the part fail.
    member.answer("a", "f2");
    member.judge();
    assert_eq!(term(&member), Some(verdicts::FIRST_TERM));
}

/// A customer that names another's part in prompts that crash engines gets only its own prompts held back.
#[test]
fn a_part_is_held_back_for_the_customer_whose_prompts_crashed() {
    let mut member = Member::default();
    member.crashes(&[("a", "f1"), ("a", "f1"), ("a", "f1")]);
    assert_eq!(member.judge(), [named("a", "f1")]);
    assert!(member.is_held("a", "f1"));
    assert!(!member.is_held("b", "f1"));
}

#[test]
fn a_part_is_held_back_for_all_after_crashes_under_two_customers() {
    let mut member = Member::default();
    member.crashes(&[("a", "dead"), ("b", "dead"), ("a", "dead")]);
    assert_eq!(member.judge(), [named("*", "dead")]);
    assert!(member.is_held("c", "dead"));
}

#[test]
fn answers_of_another_customer_clear_only_the_evidence_for_all() {
    let mut member = Member::default();
    member.crashes(&[("a", "f1"), ("b", "f1"), ("a", "f1")]);
    member.answer("c", "f1");
    member.crashes(&[("a", "f1")]);
    assert_eq!(member.judge(), [named("a", "f1")]);
    assert!(!member.is_held("b", "f1"));
}

/// Two causes share a part, under which all engines crashed.
#[test]
fn a_part_is_not_blamed_for_crashes_that_more_specific_ones_explain() {
    let mut member = Member::default();
    let (one, other) = (("a", "f1+dead1"), ("a", "f1+dead2"));
    member.crashes(&[one, other, one, other]);
    assert_eq!(member.judge(), []);
    member.crashes(&[one, other]);
    assert_eq!(member.judge(), [named("a", "dead1+f1"), named("a", "dead2+f1")]);
    assert!(!member.is_held("a", "f1"));
}

#[test]
fn a_verdict_is_withdrawn_once_another_part_explains_its_crashes() {
    let mut member = Member::default();
    member.crashes(&[("a", "f7"), ("a", "f7"), ("a", "f7")]);
    assert_eq!(member.judge(), [named("a", "f7")]);
    // Reports of slower members: a prompt with another part was on these engines, too, and on more.
    let late = (1..=5).map(|engine| crash(engine * CRASH_INTERVAL + engine, engine, "a", "dead"));
    let late: Vec<_> = late.collect();
    member.now += CRASH_INTERVAL * 2;
    member.evidence.note_crashes(at(member.now), &member.answered, late);
    member.evidence.take_suspects(at(member.now), &member.answered);
    member.now += REPLY_TIME.as_millis() as u64;
    member.answer("other", "ffff");
    let now = at(member.now);
    let judgement = member.evidence.judge(now, &member.answered, &member.verdicts);
    let withdrawn: Vec<_> =
        member.verdicts.iter().filter(|known| judgement.withdraws(known)).collect();
    assert_eq!(withdrawn.len(), 1, "{:?}", judgement.verdicts);
    assert_eq!(withdrawn[0].parts, parts("f7"));
}

fn verdict(shared: &str, last_crash: u64, term: Duration) -> PartVerdict {
    let upstreams = vec!["e1".parse().expect("a name")];
    let (scope, parts, last_crash) = (scope("a"), parts(shared), at(last_crash));
    PartVerdict { scope, parts, upstreams, last_crash, term }
}

#[test]
fn after_its_term_a_part_is_tried_member_by_member_and_then_released() {
    let mut verdicts = PartVerdicts::default();
    let verdict = verdict("dead", 1_000, verdicts::FIRST_TERM);
    verdicts.insert(at(1_000), verdict.clone());
    let phase = |now| {
        let found = verdicts.find(now, &service(), Some(&customer("a")), &parts("dead+f1"));
        found.map(|(_, phase)| phase)
    };
    assert_eq!(phase(at(2_000)), Some(VerdictPhase::Quarantine));
    assert_eq!(phase(verdict.until()), Some(VerdictPhase::Trial));
    assert_eq!(phase(verdict.until() + Duration::from_secs(3_600)), None);
    let starts: Vec<_> = (0..6).map(|rank| verdicts::trial_start(&verdict, rank, 6)).collect();
    assert_eq!(starts[0], verdict.until());
    assert!(starts.windows(2).all(|pair| pair[0] + Duration::from_secs(1) < pair[1]));
}

#[test]
fn a_crash_after_the_term_makes_the_next_one_longer() {
    let mut member = Member::default();
    member.crashes(&[("a", "dead"), ("a", "dead"), ("a", "dead")]);
    member.judge();
    let first = member.verdicts.iter().next().expect("there is a verdict").clone();
    assert_eq!(first.term, verdicts::FIRST_TERM);
    member.now += first.term.as_millis() as u64 + 1_000;
    member.crashes(&[("a", "dead")]);
    member.judge();
    let second = member.verdicts.iter().next().expect("there is a verdict").clone();
    assert!(second.term > first.term, "{second:?}");
    assert_eq!(member.verdicts.iter().count(), 1);
}

#[test]
fn a_narrower_verdict_replaces_a_wider_one_and_not_the_reverse() {
    let mut verdicts = PartVerdicts::default();
    assert!(verdicts.insert(at(1_000), verdict("dead+f1", 1_000, verdicts::FIRST_TERM)));
    assert!(verdicts.insert(at(1_000), verdict("dead", 1_000, verdicts::FIRST_TERM)));
    assert!(!verdicts.insert(at(1_000), verdict("dead+f1", 1_000, verdicts::FIRST_TERM)));
    assert_eq!(verdicts.iter().count(), 1);
    assert!(!verdicts.release(&scope("a"), &parts("dead"), at(999)), "an answer before the crash");
    assert!(verdicts.release(&scope("a"), &parts("dead"), at(1_001)));
}

#[test]
fn evidence_and_answers_are_bounded() {
    let mut member = Member::default();
    for number in 0..6_000_u64 {
        member.answer("a", &format!("{number:x}"));
    }
    let kept = |number: u64| {
        let part = format!("{number:x}").parse().expect("a part");
        member.answered.part(&PartSubject { scope: scope("a"), part }).is_some()
    };
    assert!((0..6_000).filter(|number| kept(*number)).count() <= 4_096);
    assert!(kept(5_999) && !kept(0));
    let crashes: Vec<_> = (1..3_000_u64)
        .map(|number| crash(10_000 + number, number, "a", &format!("c{number:x}")))
        .collect();
    member.evidence.note_crashes(at(20_000), &member.answered, crashes);
    assert!(member.evidence.take_suspects(at(20_000), &member.answered).is_empty());
    assert!(member.evidence.first_crash() >= at(12_000), "the oldest crashes are dropped");
}
