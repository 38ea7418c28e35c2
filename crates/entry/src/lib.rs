//! The entry of an instance: it accepts callers' connections and serves their requests, from the
//! first byte to the final answer.
//!
//! The modules follow the lifetimes of what they hold: [`program`] lasts as long as the process,
//! [`caller_connection`] as long as a connection, [`model_request`] and [`service_request`] as long
//! as a request, and [`place`] as long as an attempt. State shared by requests is owned by one
//! task, the [`director`].

pub mod answer;
pub mod body_budget;
pub mod budget_step;
pub mod caller_connection;
pub mod director;
pub mod documents;
pub mod event;
mod group_place;
pub mod key_claim;
mod model_answer;
mod model_measure;
pub mod model_request;
pub mod operators;
pub mod place;
pub mod program;
pub mod prompt;
pub mod renewal;
pub mod request_context;
pub mod service_request;
pub mod upstream_call;
