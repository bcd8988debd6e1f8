//! The HTTP layer that all listeners and clients of cyclamenloft share: binding of
//! listeners, hyper servers on compio, size-limited bodies, JSON responses and tokens. It
//! contains no scheduling or routing logic.

pub mod body;
pub mod budget;
pub mod client;
mod connections;
pub mod keep_alive;
pub mod listen;
pub mod request;
pub mod response;
mod sending;
pub mod server;
mod stall;
pub mod stop;
pub mod token;

pub use body::{Body, BoxError, boxed, empty, full, read_limited};
pub use budget::{Budget, Claim};
pub use client::JsonClient;
pub use keep_alive::{FullResponse, KeepAliveClient};
pub use listen::bind;
pub use request::{Content, RequestBody, claimed, read_json};
pub use response::{error_response, json_response, text_response};
pub use server::{Handler, Limits, Request, Response, serve};
pub use stop::{StopHandle, StopSignal, stop_pair};
pub use token::Token;
