//! The object store: objects in memory, by path.

use {
    bytes::Bytes,
    http::{Method, Response, StatusCode, header},
    http_body_util::Full,
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
    },
};

/// `Last-Modified` of every object; clients require the header but do not use its value.
const LAST_MODIFIED: &str = "Thu, 01 Jan 2026 00:00:00 GMT";

/// Objects by `/bucket/key`.
#[derive(Debug, Default)]
pub(super) struct ObjectStore {
    objects: HashMap<String, Bytes>,
}

impl ObjectStore {
    /// Executes one request of the S3 API.
    pub(super) fn execute(
        &mut self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Response<Full<Bytes>> {
        match *method {
            Method::PUT => {
                let response = object_response(&body, Bytes::new());
                self.objects.insert(path.to_owned(), body);
                response
            }
            Method::GET => self.read(path, true),
            Method::HEAD => self.read(path, false),
            _ => error_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "MethodNotAllowed",
                "The stand-in serves PUT, GET and HEAD.",
            ),
        }
    }

    fn read(&self, path: &str, with_body: bool) -> Response<Full<Bytes>> {
        let Some(content) = self.objects.get(path) else {
            return error_response(
                StatusCode::NOT_FOUND,
                "NoSuchKey",
                "The specified key does not exist.",
            );
        };
        if with_body {
            return object_response(content, content.clone());
        }
        let mut response = object_response(content, Bytes::new());
        response
            .headers_mut()
            .insert(header::CONTENT_LENGTH, content.len().into());
        response
    }
}

fn object_response(content: &Bytes, body: Bytes) -> Response<Full<Bytes>> {
    let mut hasher = DefaultHasher::new();
    content.hash(&mut hasher);
    let tag = format!("\"{:016x}\"", hasher.finish());
    let mut response = Response::new(Full::new(body));
    let headers = response.headers_mut();
    headers.insert(
        header::LAST_MODIFIED,
        header::HeaderValue::from_static(LAST_MODIFIED),
    );
    if let Ok(value) = header::HeaderValue::from_str(&tag) {
        headers.insert(header::ETAG, value);
    }
    response
}

/// Returns an error response with the XML body of the S3 API.
pub(super) fn error_response(
    status: StatusCode,
    code: &str,
    message: &str,
) -> Response<Full<Bytes>> {
    let text = format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\
         <Error><Code>{code}</Code><Message>{message}</Message></Error>"
    );
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
