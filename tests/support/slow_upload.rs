//! Uploads whose bodies are sent slowly.

use {
    crate::fleet_targets::HOST,
    futures::{StreamExt, stream},
    http_body_util::{BodyExt, StreamBody},
    hyper::{
        Request,
        body::{Bytes, Frame},
    },
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    poplarwing_standins::{caller::is_own_answer, target::CALL_ID_HEADER},
    std::{convert::Infallible, net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

/// Bytes of one part of an upload.
const PART_BYTES: usize = 32 * 1024;

/// Number of parts of an upload.
const PARTS: usize = 60;

/// Time between two parts; the whole upload takes longer than the drain grace of a node.
const PART_DELAY: Duration = Duration::from_millis(100);

/// Result of an upload.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UploadResult {
    /// Id of the call.
    pub id: String,
    /// HTTP status; none if no response head arrived.
    pub status: Option<u16>,
    /// Whether the response proves that the target received all of this upload.
    pub whole: bool,
    /// Error of the exchange; none if the complete response arrived.
    pub error: Option<String>,
}

/// Returns the content of an upload, which repeats its id.
pub fn upload_bytes(id: &str) -> Vec<u8> {
    let text = format!("{id} ");
    let bytes = text.bytes().cycle();
    bytes.take(PART_BYTES * PARTS).collect()
}

/// Sends an upload through a node, one part per `PART_DELAY`.
pub async fn send_upload(node: SocketAddr, id: String) -> UploadResult {
    let content = upload_bytes(&id);
    let parts: Vec<Bytes> = content
        .chunks(PART_BYTES)
        .map(Bytes::copy_from_slice)
        .collect();
    let body = stream::iter(parts).then(|part| async {
        sleep(PART_DELAY).await;
        Ok::<_, Infallible>(Frame::data(part))
    });
    let request = Request::post(format!("http://{node}/upload"))
        .header("host", HOST)
        .header(CALL_ID_HEADER, &id)
        .body(StreamBody::new(Box::pin(body)))
        .expect("a valid request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut end = UploadResult {
        id,
        status: None,
        whole: false,
        error: None,
    };
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(cause) => {
            end.error = Some(format!("{cause:?}"));
            return end;
        }
    };
    end.status = Some(response.status().as_u16());
    match response.into_body().collect().await {
        Ok(body) => end.whole = is_own_answer(&end.id, &content, &body.to_bytes()),
        Err(cause) => end.error = Some(format!("{cause:?}")),
    }
    end
}
