//! Server for the calls of peers: JSON-RPC through `jsonrpsee-core`.
//!
//! jsonrpsee requires `Send` futures, while the state of a process is owned by
//! one thread. Each call is therefore sent over a channel to a task on that
//! thread, and jsonrpsee's future only waits for the response.

use crate::calls::{METHOD_NAMES, Method};
use cyclamenloft_http::{Request, Response, Token, error_response, server::Handler};
use cyclamenloft_types::{Error, ErrorKind, Result};
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use http::{HeaderValue, header};
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use serde_json::value::{RawValue, to_raw_value};
use std::{net::SocketAddr, rc::Rc};

/// A call on its way through the channel to the thread that owns the state of the
/// process.
pub struct Call {
    method: &'static str,
    params: Box<str>,
    reply: oneshot::Sender<Result<Box<RawValue>>>,
}

/// The receiving end of the channel of calls.
pub type Calls = mpsc::UnboundedReceiver<Call>;

/// Handles calls on the thread that owns the state.
pub trait PeerHandler: 'static {
    /// Handles a call of `method` with JSON `params`, and returns the response
    /// as JSON.
    fn call(&self, method: &str, params: &str) -> impl Future<Output = Result<Box<RawValue>>>;

    /// Handles a log message of `group` and returns the encoded response.
    fn log_message(&self, group: &str, message: &[u8]) -> impl Future<Output = Result<Vec<u8>>>;
}

/// Decodes the parameters of `M`, calls `f` with them, and encodes the response.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] if the parameters can't be decoded, or the
/// error of `f`.
pub async fn answer<M, F>(params: &str, f: impl FnOnce(M::Params) -> F) -> Result<Box<RawValue>>
where
    M: Method,
    F: Future<Output = Result<M::Response>>,
{
    let (params,): (M::Params,) = serde_json::from_str(params)
        .map_err(|e| Error::new(ErrorKind::BadRequest, format!("{}: {e}", M::NAME)))?;
    let value = f(params).await?;
    to_raw_value(&value).map_err(|e| Error::new(ErrorKind::Internal, format!("{}: {e}", M::NAME)))
}

/// The HTTP service of a process's peer listener.
pub struct RpcService<H> {
    module: RpcModule<mpsc::UnboundedSender<Call>>,
    token: Token,
    handler: Rc<H>,
}

impl<H: PeerHandler> RpcService<H> {
    /// Creates a service that handles calls with `handler`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if a method is registered twice.
    pub fn new(token: Token, handler: Rc<H>) -> Result<Self> {
        let (tx, rx) = mpsc::unbounded();
        let mut module = RpcModule::new(tx);
        for name in METHOD_NAMES {
            module
                .register_async_method(name, move |params, tx, _| {
                    let params = params.as_str().unwrap_or("[]").into();
                    async move { forward_call(&tx, name, params).await }
                })
                .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
        }
        compio::runtime::spawn(run_calls(rx, handler.clone())).detach();
        Ok(Self { module, token, handler })
    }

    async fn respond(&self, req: Request) -> Result<Response> {
        self.token.check(req.headers())?;
        let (parts, body) = req.into_parts();
        let path = parts.uri.path();
        if path == crate::RPC_PATH {
            let content = body.read(crate::MAX_RPC_BYTES).await?;
            return self.respond_rpc(&content).await;
        }
        let Some(group) = path.strip_prefix(crate::LOG_PATH) else {
            return Err(Error::new(ErrorKind::NotFound, format!("no path {path:?}")));
        };
        let message = body.read(crate::MAX_LOG_BYTES).await?;
        let bytes = self.handler.log_message(group, &message).await?;
        Ok(Response::new(cyclamenloft_http::full(bytes)))
    }

    async fn respond_rpc(&self, content: &[u8]) -> Result<Response> {
        let bad_request =
            |e: &dyn std::fmt::Display| Error::new(ErrorKind::BadRequest, e.to_string());
        let text = std::str::from_utf8(content).map_err(|e| bad_request(&e))?;
        let (json, _) = self.module.raw_json_request(text, 1).await.map_err(|e| bad_request(&e))?;
        let mut response = Response::new(cyclamenloft_http::full(json.get().to_owned()));
        let content_type = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        Ok(response)
    }
}

impl<H: PeerHandler> Handler for RpcService<H> {
    async fn handle(&self, req: Request, _remote: SocketAddr) -> Response {
        self.respond(req).await.unwrap_or_else(|e| error_response(&e))
    }
}

async fn forward_call(
    tx: &mpsc::UnboundedSender<Call>,
    method: &'static str,
    params: Box<str>,
) -> Result<Box<RawValue>, ErrorObjectOwned> {
    let (reply, rx) = oneshot::channel();
    let stopping = || Error::new(ErrorKind::Draining, "the process is stopping");
    let result = match tx.unbounded_send(Call { method, params, reply }) {
        Ok(()) => rx.await.unwrap_or_else(|_| Err(stopping())),
        Err(_) => Err(stopping()),
    };
    result
        .map_err(|e| ErrorObjectOwned::owned(e.info().rpc_code, String::from(e.detail), None::<()>))
}

/// Handles each call in its own task on the thread that owns the state.
async fn run_calls(mut calls: Calls, handler: Rc<impl PeerHandler>) {
    while let Some(call) = calls.next().await {
        let handler = handler.clone();
        compio::runtime::spawn(async move {
            let result = handler.call(call.method, &call.params).await;
            // The caller may have disconnected.
            let _ = call.reply.send(result);
        })
        .detach();
    }
}
