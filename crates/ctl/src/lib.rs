//! What an operator asks of an instance: one question, one answer, as a table or as JSON.

pub mod question;
pub mod table;
