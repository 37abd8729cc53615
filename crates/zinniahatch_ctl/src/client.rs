//! Client of a node's administration API.

use crate::CtlError;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use zinniahatch_base::prelude::*;

/// Time-out of a call. It is longer than a node takes to find out the outcome of a change whose
/// response from the store was lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Client for one node, with one operator token.
pub(crate) struct AdminClient {
    client: Client,
    base: String,
    token: String,
}

#[derive(Deserialize)]
struct ChangeResponse {
    #[serde(default)]
    verdict: String,
    #[serde(default)]
    revision: Option<Revision>,
    #[serde(default)]
    error: Option<String>,
}

/// The configuration in force at the node.
#[derive(Deserialize)]
pub(crate) struct ConfigBody {
    pub(crate) revision: Revision,
    pub(crate) preset: PresetId,
    pub(crate) parts: BTreeMap<Box<str>, Box<str>>,
}

impl AdminClient {
    pub(crate) fn new(node: Option<String>, token: Option<String>) -> Result<Self, CtlError> {
        let resolve = |given: Option<String>, variable: &str, flag: &str| {
            given
                .or_else(|| std::env::var(variable).ok())
                .ok_or_else(|| CtlError::Refused(format!("use {flag} or set {variable}")))
        };
        let node = resolve(node, "ZINNIA_NODE", "--node IP:port")?;
        let token = resolve(token, "ZINNIA_TOKEN", "--token TOKEN")?;
        let client = Client::builder()
            .timeout(CALL_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| CtlError::Unreached(error.to_string()))?;
        Ok(Self {
            client,
            base: format!("http://{}/admin", node.trim_start_matches("http://")),
            token,
        })
    }

    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, CtlError> {
        let request = self
            .client
            .get(format!("{}/{path}", self.base))
            .query(query);
        let (status, text) = self.call(request).await?;
        if !status.is_success() {
            return Err(CtlError::Refused(error_message(status, &text)));
        }
        serde_json::from_str(&text).map_err(|error| {
            CtlError::Refused(format!("the node's response cannot be parsed: {error}"))
        })
    }

    /// Requests a change and returns the revision that it created.
    pub(crate) async fn change(
        &self,
        path: &str,
        change: &str,
        body: &impl Serialize,
    ) -> Result<Option<Revision>, CtlError> {
        let request = self.client.post(format!("{}/{path}", self.base)).json(body);
        let unknown =
            |error: String| CtlError::Unknown(format!("{error}; retry with --change {change}"));
        let (status, text) = match self.call(request).await {
            Ok(response) => response,
            Err(CtlError::Unreached(error)) => return Err(unknown(error)),
            Err(error) => return Err(error),
        };
        let body: ChangeResponse =
            serde_json::from_str(&text).map_err(|error| unknown(error.to_string()))?;
        match (status, body.verdict.as_str()) {
            (_, "accepted" | "checked") => Ok(body.revision),
            (_, "conflict") => Err(CtlError::Conflict(format!(
                "revision {} is in force: {}",
                body.revision.unwrap_or(0),
                body.error.unwrap_or_default()
            ))),
            (_, "unknown") => Err(unknown(body.error.unwrap_or_default())),
            (status, _) => Err(CtlError::Refused(error_message(status, &text))),
        }
    }

    async fn call(&self, request: RequestBuilder) -> Result<(StatusCode, String), CtlError> {
        let unreached = |error: reqwest::Error| CtlError::Unreached(error.to_string());
        let response = request
            .bearer_auth(&self.token)
            .send()
            .await
            .map_err(unreached)?;
        let status = response.status();
        let text = response.text().await.map_err(unreached)?;
        Ok((status, text))
    }
}

fn error_message(status: StatusCode, text: &str) -> String {
    let body: Option<ChangeResponse> = serde_json::from_str(text).ok();
    body.and_then(|body| body.error)
        .unwrap_or_else(|| format!("{status}: {text}"))
}
