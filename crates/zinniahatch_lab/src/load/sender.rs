//! Sends one operation and records the response that its caller gets.

use super::Client;
use super::ClusterConfig;
use super::Duration;
use super::HistoryLog;
use super::OperationJob;
use super::OperationKind;
use super::Response;
use super::ResultCode;
use super::SendOutcome;
use super::SendRecord;
use super::Value;
use super::json;
use super::operation_mark;
use super::plain_response;
use super::response_text;
use reqwest::RequestBuilder;
use std::error::Error;
use std::sync::Arc;
use zinniahatch_base::prelude::Execution;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends operations and checks their responses.
#[derive(Clone)]
pub struct OperationSender {
    /// The HTTP client.
    pub client: Client,
    /// The history in which sends are recorded.
    pub history: HistoryLog,
    config: Arc<ClusterConfig>,
    engine: &'static str,
    plain: &'static str,
}

/// The parsed parts of a response.
#[derive(Default)]
struct ParsedResponse {
    end: Option<SendOutcome>,
    first_byte: Option<Duration>,
    input: u64,
    cached: u64,
    tokens: u64,
}

impl OperationSender {
    /// Creates a sender.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be created.
    pub fn new(
        history: &HistoryLog,
        config: ClusterConfig,
        engine: &'static str,
        plain: &'static str,
    ) -> Self {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .expect("the HTTP client can be created");
        Self {
            client,
            history: history.clone(),
            config: Arc::new(config),
            engine,
            plain,
        }
    }

    /// Sends an operation once; returns `None` if the connection failed.
    pub async fn send(
        &self,
        job: &OperationJob,
        entry: &str,
        key: Option<&str>,
    ) -> Option<SendRecord> {
        let mark = operation_mark(job.number);
        let request = match job.kind {
            OperationKind::Query | OperationKind::Summary => {
                let content = format!("{}{mark}", job.prompt);
                let stream = job.kind == OperationKind::Query;
                let body = json!({"model": self.engine, "stream": stream, "max_tokens": job.tokens, "messages": [{"role": "user", "content": content}]});
                let request = self
                    .client
                    .post(format!(
                        "http://{entry}/s/{}/v1/chat/completions",
                        self.engine
                    ))
                    .json(&body);
                if stream {
                    request
                } else {
                    request.header("x-zinnia-work", "long")
                }
            }
            OperationKind::Lookup => self
                .client
                .get(format!("http://{entry}/s/{}/record?{mark}", self.plain)),
            OperationKind::Entry => self
                .client
                .post(format!("http://{entry}/s/{}/entry?{mark}", self.plain))
                .body(format!("entry {mark}")),
        };
        let request = match key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        };
        self.record(job, entry, false, request).await
    }

    /// Fetches the response that is kept under an operation's idempotency key.
    pub async fn collect(&self, job: &OperationJob, entry: &str, key: &str) -> Option<SendRecord> {
        let request = self
            .client
            .get(format!("http://{entry}/v1/answers/{key}"))
            .timeout(Duration::from_secs(5));
        self.record(job, entry, true, request).await
    }

    async fn record(
        &self,
        job: &OperationJob,
        entry: &str,
        collects: bool,
        request: RequestBuilder,
    ) -> Option<SendRecord> {
        let service = match job.kind {
            OperationKind::Query | OperationKind::Summary => self.engine,
            OperationKind::Lookup | OperationKind::Entry => self.plain,
        };
        let mut record = SendRecord {
            operation: job.number,
            account: job.caller.account.clone(),
            home: job.caller.home.clone(),
            service: service.into(),
            bound: job.kind == OperationKind::Entry,
            once: job.kind == OperationKind::Entry,
            sent_to: job.caller.home.clone(),
            entry: entry.into(),
            collects,
            scheduled: job.scheduled,
            ended: Duration::ZERO,
            first_byte: None,
            request: "".into(),
            code: 0,
            served: "".into(),
            end: SendOutcome::NoAnswer,
            problem: Box::default(),
            cost: 0.0,
            tokens: 0,
        };
        match request.bearer_auth(&job.caller.key).send().await {
            Ok(response) => self.read(job, response, &mut record).await,
            Err(error) if error.is_connect() => return None,
            Err(error) => record.problem = format_error(&error),
        }
        record.ended = self.history.now();
        Some(record)
    }

    async fn read(&self, job: &OperationJob, response: Response, record: &mut SendRecord) {
        let text = |name: &str| {
            response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        record.request = text("x-zinnia-request").into();
        record.code = text("x-zinnia-code").parse().unwrap_or(0);
        record.served = text("x-zinnia-region").into();
        let execution = text("x-zinnia-execution");
        if !response.status().is_success() {
            record.end = match execution.as_str() {
                "not-run" => SendOutcome::Told(Execution::NotRun),
                "ran" => SendOutcome::Told(Execution::Ran),
                _ => SendOutcome::Told(Execution::Unknown),
            };
            return;
        }
        let parsed = match job.kind {
            OperationKind::Query => self.read_stream(job, response).await,
            OperationKind::Summary => self.read_chat(job, response).await,
            OperationKind::Lookup | OperationKind::Entry => self.read_plain(job, response).await,
        };
        record.first_byte = parsed.first_byte;
        record.end = parsed.end.unwrap_or(SendOutcome::CutOff);
        record.tokens = parsed.tokens;
        let away = record.served != record.home;
        let price = self
            .config
            .prices
            .get(&record.service)
            .cloned()
            .unwrap_or_default();
        record.cost = price.cost(parsed.input, parsed.cached, parsed.tokens, away);
        if record.code == 0 {
            record.code = ResultCode::Answered.number();
        }
    }

    async fn read_stream(&self, job: &OperationJob, mut response: Response) -> ParsedResponse {
        let mut parsed = ParsedResponse::default();
        let mut bytes = Vec::new();
        loop {
            match response.chunk().await {
                Ok(Some(chunk)) => {
                    parsed
                        .first_byte
                        .get_or_insert(self.history.now().saturating_sub(job.scheduled));
                    bytes.extend_from_slice(&chunk);
                }
                Ok(None) => break,
                Err(_) => return parsed,
            }
        }
        let text = String::from_utf8_lossy(&bytes);
        if text.contains("event: error") {
            return parsed;
        }
        if !text.ends_with("data: [DONE]\n\n") {
            parsed.end = Some(SendOutcome::FalseEnd);
            return parsed;
        }
        let mut content = String::new();
        for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
            let event: Value = serde_json::from_str(line).unwrap_or(Value::Null);
            content.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default(),
            );
            parsed.read_usage(&event);
        }
        parsed.end = Some(SendOutcome::Whole {
            right: content == response_text(job.number, job.tokens),
        });
        parsed
    }

    async fn read_chat(&self, job: &OperationJob, response: Response) -> ParsedResponse {
        let mut parsed = ParsedResponse::default();
        let Ok(bytes) = response.bytes().await else {
            return parsed;
        };
        parsed.first_byte = Some(self.history.now().saturating_sub(job.scheduled));
        let body: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        parsed.read_usage(&body);
        let content = body["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default();
        parsed.end = Some(SendOutcome::Whole {
            right: content == response_text(job.number, job.tokens),
        });
        parsed
    }

    async fn read_plain(&self, job: &OperationJob, response: Response) -> ParsedResponse {
        let mut parsed = ParsedResponse::default();
        let Ok(text) = response.text().await else {
            return parsed;
        };
        parsed.first_byte = Some(self.history.now().saturating_sub(job.scheduled));
        parsed.end = Some(SendOutcome::Whole {
            right: text == plain_response(job.number),
        });
        parsed
    }
}

/// Formats an error with its causes.
fn format_error(error: &dyn Error) -> Box<str> {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text.into()
}

impl ParsedResponse {
    fn read_usage(&mut self, body: &Value) {
        let Some(usage) = body.get("usage") else {
            return;
        };
        self.input = usage["prompt_tokens"].as_u64().unwrap_or(0);
        self.cached = usage["cached_tokens"].as_u64().unwrap_or(0);
        self.tokens = usage["completion_tokens"].as_u64().unwrap_or(0);
    }
}
