//! Plain HTTP requests to the operator API.

use {
    bytes::Bytes,
    http::{Method, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    serde_json::Value,
    std::net::SocketAddr,
};

/// An answer of the API.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Status.
    pub status: StatusCode,
    /// Body as text.
    pub text: String,
}

impl HttpAnswer {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|_| panic!("not JSON: {}", self.text))
    }

    /// Returns the code of an error.
    pub fn code(&self) -> String {
        self.json()["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a request, with a token unless it is empty.
pub async fn send(
    address: SocketAddr,
    token: &str,
    method: Method,
    target: &str,
    body: impl Into<Bytes>,
) -> HttpAnswer {
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
    HttpAnswer {
        status,
        text: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    }
}
