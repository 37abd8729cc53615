//! Client of a node's administration API.

use crate::cluster::LabCluster;
use reqwest::Client;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;
use zinniahatch_base::prelude::*;
use zinniahatch_report::ReportResult;

/// Client of one node's administration API, with the token of one operator.
#[derive(Clone, Debug)]
pub struct AdminClient {
    client: Client,
    base: String,
    token: String,
}

impl AdminClient {
    /// Creates a client of a node of the cluster.
    pub fn new(cluster: &LabCluster, node: usize, token: &str) -> Self {
        let base = format!("http://{}/admin", cluster.nodes[node].http);
        Self {
            client: Client::new(),
            base,
            token: token.to_owned(),
        }
    }

    /// Sends a GET request; returns `Null` if the node does not respond with JSON.
    pub async fn get(&self, path: &str) -> Value {
        let request = self
            .client
            .get(format!("{}/{path}", self.base))
            .bearer_auth(&self.token);
        match request.send().await {
            Ok(response) => response.json().await.unwrap_or(Value::Null),
            Err(_) => Value::Null,
        }
    }

    /// Sends a POST request and returns status and body; 502 and the error's text if there is no
    /// response.
    pub async fn post(&self, path: &str, body: &Value) -> (StatusCode, String) {
        let request = self
            .client
            .post(format!("{}/{path}", self.base))
            .bearer_auth(&self.token)
            .json(body);
        match request.send().await {
            Ok(response) => (response.status(), response.text().await.unwrap_or_default()),
            Err(error) => (StatusCode::BAD_GATEWAY, error.to_string()),
        }
    }

    /// Returns the configuration revision in force at the node.
    pub async fn revision(&self) -> Revision {
        self.get("status").await["brief"]["revision"]
            .as_u64()
            .unwrap_or(0)
    }

    /// Switches the preset and returns the resulting revision.
    ///
    /// # Errors
    ///
    /// Returns the node's verdict if it did not accept the switch.
    pub async fn switch_preset(&self, preset: &str, change: &str) -> Result<Revision, String> {
        let request =
            json!({"change": change, "expect_revision": self.revision().await, "preset": preset});
        let (_, text) = self.post("config", &request).await;
        let outcome: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        let revision = outcome["revision"]
            .as_u64()
            .filter(|_| outcome["verdict"] == "accepted");
        revision.ok_or_else(|| format!("the switch was not accepted: {text}"))
    }

    /// Fetches a report.
    pub async fn report(&self, by: &str) -> Option<ReportResult> {
        serde_json::from_value(self.get(&format!("report?by={by}")).await).ok()
    }
}
