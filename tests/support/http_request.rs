//! Sends single HTTP requests to the admin API.

use {
    bytes::Bytes,
    http::{Method, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    serde_json::Value,
    std::net::SocketAddr,
};

/// A response of the admin API.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Body as text.
    pub text: String,
}

impl HttpResponse {
    /// Parses the body as JSON; fails the test if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text)
            .unwrap_or_else(|_| panic!("response body is not JSON: {}", self.text))
    }

    /// Returns the field `code` of an error body; empty if absent.
    pub fn code(&self) -> String {
        self.json()["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a request with `token` as bearer token, or without authorization if it is empty.
pub async fn send(
    address: SocketAddr,
    token: &str,
    method: Method,
    target: &str,
    body: impl Into<Bytes>,
) -> HttpResponse {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{target}"));
    if !token.is_empty() {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let request = request
        .body(Full::new(body.into()))
        .expect("the request is valid");
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.expect("the API answers");
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the answer is complete");
    HttpResponse {
        status,
        text: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    }
}
