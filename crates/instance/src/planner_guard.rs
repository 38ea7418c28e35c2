//! Contains panics of the planners and of permanent tasks, and leaves planning to other members if they repeat.

use std::panic;

use crate::{context, planner_set};

/// Runs `work`, which uses the planners; returns `None` if it panicked.
///
/// A panic may leave a planner half changed, so that each later use would panic, too. The planners therefore begin
/// anew, as after a change of planner: members announce their leases and repeat the requests that wait.
pub fn run<T>(context: &context::InstanceContext, work: impl FnOnce() -> T) -> Option<T> {
    let outcome = panic::catch_unwind(panic::AssertUnwindSafe(work));
    if outcome.is_err() {
        // Still borrowed if a caller of this function holds the planners; then its own panic is noted.
        if let Ok(mut planners) = context.planners.try_borrow_mut() {
            *planners = planner_set::PlannerSet::new(
                context.settings().name.clone(),
                context.planner_options,
            );
        }
        note_panic(context);
    }
    outcome.ok()
}

/// Records a panic of a planner or of a task that lives as long as the process.
pub fn note_panic(context: &context::InstanceContext) {
    if context.panics.borrow_mut().note(context.now()) {
        log::error!("planner.hands_over");
    }
}
