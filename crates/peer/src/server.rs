//! Answering peers: JSON-RPC through `jsonrpsee-core`.
//!
//! The library wants futures that may move between threads, while a process's
//! state stays on one. So each call is passed over a channel to the task that
//! owns the state, and the library's future waits for the answer only.

use crate::calls::{METHOD_NAMES, Method};
use cyclamenloft_http::{Request, Response, Token, error_response, read_limited, server::Handler};
use cyclamenloft_types::{Error, ErrorKind, Result};
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use http::{HeaderValue, header};
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use serde_json::value::{RawValue, to_raw_value};
use std::{net::SocketAddr, rc::Rc};

/// One call on its way to the task that owns the state.
pub struct Call {
    method: &'static str,
    params: Box<str>,
    reply: oneshot::Sender<Result<Box<RawValue>>>,
}

/// The calls that arrive at a process.
pub type Calls = mpsc::UnboundedReceiver<Call>;

/// Answers calls on the thread that owns the state.
pub trait PeerHandler: 'static {
    /// Answers the call of `method` with JSON `params`.
    fn call(&self, method: &str, params: &str) -> impl Future<Output = Result<Box<RawValue>>>;

    /// Answers a message of the log of `group`.
    fn log_message(&self, group: &str, message: &[u8]) -> impl Future<Output = Result<Vec<u8>>>;
}

/// Decodes the parameters of `M`, lets `f` answer, and encodes the answer.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] where the parameters are not as expected, or the
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

/// The HTTP side of a process's peer listener.
pub struct RpcService<H> {
    module: RpcModule<mpsc::UnboundedSender<Call>>,
    token: Token,
    handler: Rc<H>,
}

impl<H: PeerHandler> RpcService<H> {
    /// A service that answers through `handler`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] where a method is registered twice.
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
            let content = read_limited(body, crate::MAX_RPC_BYTES).await?;
            return self.respond_rpc(&content).await;
        }
        let Some(group) = path.strip_prefix(crate::LOG_PATH) else {
            return Err(Error::new(ErrorKind::NotFound, format!("no path {path:?}")));
        };
        let message = read_limited(body, crate::MAX_LOG_BYTES).await?;
        let answer = self.handler.log_message(group, &message).await?;
        Ok(Response::new(cyclamenloft_http::full(answer)))
    }

    async fn respond_rpc(&self, content: &[u8]) -> Result<Response> {
        let bad_request =
            |e: &dyn std::fmt::Display| Error::new(ErrorKind::BadRequest, e.to_string());
        let text = std::str::from_utf8(content).map_err(|e| bad_request(&e))?;
        let (answer, _) =
            self.module.raw_json_request(text, 1).await.map_err(|e| bad_request(&e))?;
        let mut response = Response::new(cyclamenloft_http::full(answer.get().to_owned()));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
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

/// Starts each call as a task of its own on the thread that owns the state.
async fn run_calls(mut calls: Calls, handler: Rc<impl PeerHandler>) {
    while let Some(call) = calls.next().await {
        let handler = handler.clone();
        compio::runtime::spawn(async move {
            let result = handler.call(call.method, &call.params).await;
            // The asker may have gone.
            let _ = call.reply.send(result);
        })
        .detach();
    }
}
