//! Temporary weights of customers: operators set them at one instance, and gossip makes them known to all members, which
//! apply them to the requests that they send to planners.

use std::{net, time};

use slipturn_core::{ids, share_factors, units};

use crate::{context, member_gossip, peer_message};

/// Sets the factor that a path of the operators' page names: `/CUSTOMER/FACTOR` or `/CUSTOMER/FACTOR/MINUTES`.
///
/// # Errors
///
/// The reason why no factor was set, for the operator.
pub(crate) fn set_from_path(
    context: &context::InstanceContext,
    path_rest: &str,
) -> Result<(), String> {
    let parts: Vec<_> = path_rest.split('/').skip(1).collect();
    let (customer, factor, minutes) = match parts[..] {
        [customer, factor] => (customer, factor, None),
        [customer, factor, minutes] => (customer, factor, Some(minutes)),
        _ => return Err("try POST /v1/shares/CUSTOMER/FACTOR[/MINUTES]".to_owned()),
    };
    let customer = customer.parse::<ids::CustomerId>().map_err(|error| error.to_string())?;
    let factor: share_factors::ShareFactor =
        factor.parse().map_err(|error: share_factors::FactorError| error.to_string())?;
    let longest = share_factors::MAX_TIME.as_secs() / 60;
    let duration = match minutes.map(str::parse::<u64>) {
        None => share_factors::DEFAULT_TIME,
        Some(Ok(minutes)) if (1..=longest).contains(&minutes) => {
            time::Duration::from_secs(60 * minutes)
        }
        Some(_) => return Err(format!("expected 1 to {longest} minutes")),
    };
    set(context, &customer, factor, duration).map_err(|error| error.to_string())
}

/// Sets a customer's factor here and at all members.
///
/// # Errors
///
/// [`share_factors::FactorError::Full`] if too many customers have a factor.
fn set(
    context: &context::InstanceContext,
    customer: &ids::CustomerId,
    factor: share_factors::ShareFactor,
    duration: time::Duration,
) -> Result<(), share_factors::FactorError> {
    let now = context.now();
    let setting = context.share_factors.borrow_mut().set(now, customer, factor, duration)?;
    log_change(now, customer, &setting, "operator");
    let reports = vec![report(now, customer, &setting)];
    member_gossip::broadcast(context, &peer_message::PeerMessage::ShareFactors(reports));
    Ok(())
}

/// Handles factors that another member knows.
pub(crate) fn receive(
    context: &context::InstanceContext,
    reports: Vec<peer_message::ShareFactorReport>,
) {
    let now = context.now();
    for report in reports {
        // A later version may allow other factors.
        let Ok(factor) = share_factors::ShareFactor::try_from(report.factor) else {
            continue;
        };
        let left = time::Duration::from_millis(report.left_ms).min(share_factors::MAX_TIME);
        let setting =
            share_factors::FactorSetting { factor, revision: report.revision, until: now + left };
        if context.share_factors.borrow_mut().receive(now, &report.customer, setting) {
            log_change(now, &report.customer, &setting, "member");
        }
    }
}

/// Sends a member all factors in force.
pub(crate) fn send_to(context: &context::InstanceContext, to: net::SocketAddrV4) {
    let now = context.now();
    let factors = context.share_factors.borrow();
    let settings = factors.in_force(now);
    let reports: Vec<_> =
        settings.map(|(customer, setting)| report(now, customer, setting)).collect();
    if !reports.is_empty() {
        context.send_to(to, peer_message::PeerMessage::ShareFactors(reports));
    }
}

fn report(
    now: units::MonoTime,
    customer: &ids::CustomerId,
    setting: &share_factors::FactorSetting,
) -> peer_message::ShareFactorReport {
    peer_message::ShareFactorReport {
        customer: customer.clone(),
        factor: setting.factor.value(),
        revision: setting.revision,
        left_ms: units::whole_millis(setting.until.since(now)),
    }
}

fn log_change(
    now: units::MonoTime,
    customer: &ids::CustomerId,
    setting: &share_factors::FactorSetting,
    source: &str,
) {
    let (factor, for_ms) = (setting.factor.value(), units::whole_millis(setting.until.since(now)));
    log::info!(customer:%, factor, for_ms, source; "shares.weighted");
}
