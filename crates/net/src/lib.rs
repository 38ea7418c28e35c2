//! Networking and process support shared by slipturn's programs: sockets, HTTP, RPC, command lines,
//! logging and metrics.

mod body;
pub mod boot_clock;
pub mod command_line;
pub mod document_client;
pub mod document_feed;
pub mod h1;
pub mod http_client;
pub mod http_server;
pub mod local_settings;
pub mod logging;
pub mod metered_read;
pub mod metrics;
pub mod process;
pub mod retry_after;
pub mod scheduler_link;
pub mod server;
