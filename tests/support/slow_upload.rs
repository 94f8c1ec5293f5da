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

/// Parts of an upload.
const PARTS: usize = 60;

/// Time between two parts; the whole upload outlasts the time for which a draining node refuses calls.
const PART_DELAY: Duration = Duration::from_millis(100);

/// What became of an upload.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UploadEnd {
    /// Id of the call.
    pub id: String,
    /// Status of the answer; none if none came.
    pub status: Option<u16>,
    /// Whether the answer shows that the target received the whole upload of this very call.
    pub whole: bool,
    /// What went wrong.
    pub error: Option<String>,
}

/// Returns the bytes of an upload.
pub fn upload_bytes(id: &str) -> Vec<u8> {
    let text = format!("{id} ");
    let bytes = text.bytes().cycle();
    bytes.take(PART_BYTES * PARTS).collect()
}

/// Sends an upload slowly through a node.
pub async fn send_upload(node: SocketAddr, id: String) -> UploadEnd {
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
    let mut end = UploadEnd {
        id,
        status: None,
        whole: false,
        error: None,
    };
    let answer = match client.request(request).await {
        Ok(answer) => answer,
        Err(cause) => {
            end.error = Some(format!("{cause:?}"));
            return end;
        }
    };
    end.status = Some(answer.status().as_u16());
    match answer.into_body().collect().await {
        Ok(body) => end.whole = is_own_answer(&end.id, &content, &body.to_bytes()),
        Err(cause) => end.error = Some(format!("{cause:?}")),
    }
    end
}
