//! The HTTP client of the commands that call an entry host.

use crate::settings::raw;
use clap::ArgMatches;
use cyclamenloft_http::JsonClient;
use cyclamenloft_types::Result;
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};

/// The timeout of one request.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A client of one entry host's operators' listener.
pub(super) struct EntryClient {
    addr: SocketAddr,
    http: JsonClient,
}

impl TryFrom<&ArgMatches> for EntryClient {
    type Error = cyclamenloft_types::Error;

    fn try_from(args: &ArgMatches) -> Result<Self> {
        let token = raw::token(args, "operator-token-file")?;
        Ok(Self { addr: raw::addr(args, "entry")?, http: JsonClient::new(Some(token), TIMEOUT)? })
    }
}

impl EntryClient {
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.http.get(self.addr, path).await
    }

    pub(super) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T> {
        self.http.post(self.addr, path, value).await
    }

    pub(super) async fn post_any_status<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T> {
        self.http.post_any_status(self.addr, path, value).await
    }
}
