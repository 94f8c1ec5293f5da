//! Implementation of the call path's operations on idempotency records by the recorder of the node.

use {
    crate::{
        call_proxy::keyed::{
            KeyedCall, KeyedHooks, KeyedRepeat, KeyedStart, KeyedTicket, RepeatResponse,
        },
        idempotency_record::{
            AnswerHeader, BeginResult, IdempotencyRecord, IdempotencyRecorder, KeyedCallId,
            KeyedCallState, RunTicket, StoredAnswer,
        },
    },
    futures::FutureExt,
    parking_lot::Mutex,
    std::sync::Arc,
    tracing::warn,
};

/// The only header that is stored with a response.
const CONTENT_TYPE: &str = "content-type";

/// Returns the callbacks through which the call path uses a recorder of idempotency keys.
pub fn keyed_hooks(recorder: &IdempotencyRecorder) -> KeyedHooks {
    let recorder = recorder.clone();
    KeyedHooks {
        begin: Arc::new(move |call| begin(recorder.clone(), call).boxed()),
    }
}

async fn begin(recorder: IdempotencyRecorder, call: KeyedCall) -> KeyedStart {
    let key = KeyedCallId {
        customer: call.service.customer,
        service: call.service.service,
        route: call.route,
        key: call.idempotency_key,
    };
    match recorder.begin(key, call.fingerprint.clone()).await {
        Ok(BeginResult::Run(ticket)) => KeyedStart::Run(build_keyed_ticket(recorder, ticket)),
        Ok(BeginResult::Repeat(entry)) => {
            KeyedStart::Repeat(classify_repeat(entry, &call.fingerprint))
        }
        Err(error) => KeyedStart::Unavailable(error.to_string()),
    }
}

fn classify_repeat(entry: IdempotencyRecord, fingerprint: &str) -> KeyedRepeat {
    if entry.fingerprint != fingerprint {
        return KeyedRepeat::OtherRequest;
    }
    match (entry.state, entry.answer) {
        (KeyedCallState::Finished, Some(answer)) => {
            KeyedRepeat::Answered(from_stored_answer(answer))
        }
        _ => KeyedRepeat::Unfinished,
    }
}

fn from_stored_answer(answer: StoredAnswer) -> RepeatResponse {
    let content_type = answer
        .headers
        .into_iter()
        .find(|header| header.name == CONTENT_TYPE)
        .map(|header| header.value);
    RepeatResponse {
        status: answer.status,
        content_type,
        body: answer.body,
    }
}

fn to_stored_answer(kept: RepeatResponse) -> StoredAnswer {
    let header = kept.content_type.map(|value| AnswerHeader {
        name: CONTENT_TYPE.to_owned(),
        value,
    });
    StoredAnswer {
        status: kept.status,
        headers: header.into_iter().collect(),
        body: kept.body,
    }
}

/// Returns a ticket whose two closures share `ticket`: the first that is called consumes it, and the
/// other then has no effect.
fn build_keyed_ticket(recorder: IdempotencyRecorder, ticket: RunTicket) -> KeyedTicket {
    let shared = Arc::new(Mutex::new(Some(ticket)));
    let (finish_ticket, abandon_ticket) = (shared.clone(), shared);
    let finish_recorder = recorder.clone();
    KeyedTicket {
        finish: Box::new(move |kept| {
            finish(finish_recorder, take_ticket(&finish_ticket), kept).boxed()
        }),
        release: Box::new(move || abandon(recorder, take_ticket(&abandon_ticket)).boxed()),
    }
}

fn take_ticket(shared: &Mutex<Option<RunTicket>>) -> Option<RunTicket> {
    shared.lock().take()
}

async fn finish(recorder: IdempotencyRecorder, ticket: Option<RunTicket>, kept: RepeatResponse) {
    let Some(ticket) = ticket else {
        return;
    };
    if let Err(error) = recorder.finish(ticket, to_stored_answer(kept)).await {
        warn!(
            %error,
            "failed to record the response of a keyed call; retries of the call will be refused as key-unsettled"
        );
    }
}

async fn abandon(recorder: IdempotencyRecorder, ticket: Option<RunTicket>) {
    let Some(ticket) = ticket else {
        return;
    };
    if let Err(error) = recorder.abandon(ticket).await {
        warn!(
            %error,
            "failed to remove the idempotency record of a call that did not run; a later sweep removes it"
        );
    }
}
