//! Connects the call path to the records of idempotency keys.

use {
    crate::{
        call_proxy::keyed::{
            KeptAnswer, KeyedCall, KeyedHooks, KeyedRepeat, KeyedStart, KeyedTicket,
        },
        once_record::{
            AnswerHeader, OnceAnswer, OnceEntry, OnceKey, OnceRecorder, OnceStart, OnceState,
            OnceTicket,
        },
    },
    futures::FutureExt,
    parking_lot::Mutex,
    std::sync::Arc,
    tracing::warn,
};

/// Header of a kept answer.
const CONTENT_TYPE: &str = "content-type";

/// Returns the hooks of the call path into a recorder.
pub fn keyed_hooks(recorder: &OnceRecorder) -> KeyedHooks {
    let recorder = recorder.clone();
    KeyedHooks {
        begin: Arc::new(move |call| begin(recorder.clone(), call).boxed()),
    }
}

async fn begin(recorder: OnceRecorder, call: KeyedCall) -> KeyedStart {
    let key = OnceKey {
        customer: call.key.customer,
        service: call.key.service,
        route: call.route,
        key: call.idempotency_key,
    };
    match recorder.begin(key, call.fingerprint.clone()).await {
        Ok(OnceStart::Run(ticket)) => KeyedStart::Run(keyed_ticket(recorder, ticket)),
        Ok(OnceStart::Repeat(entry)) => KeyedStart::Repeat(repeat_of(entry, &call.fingerprint)),
        Err(error) => KeyedStart::Unavailable(error.to_string()),
    }
}

fn repeat_of(entry: OnceEntry, fingerprint: &str) -> KeyedRepeat {
    if entry.fingerprint != fingerprint {
        return KeyedRepeat::OtherRequest;
    }
    match (entry.state, entry.answer) {
        (OnceState::Finished, Some(answer)) => KeyedRepeat::Answered(kept_answer(answer)),
        _ => KeyedRepeat::Unsettled,
    }
}

fn kept_answer(answer: OnceAnswer) -> KeptAnswer {
    let content_type = answer
        .headers
        .into_iter()
        .find(|header| header.name == CONTENT_TYPE)
        .map(|header| header.value);
    KeptAnswer {
        status: answer.status,
        content_type,
        body: answer.body,
    }
}

fn once_answer(kept: KeptAnswer) -> OnceAnswer {
    let header = kept.content_type.map(|value| AnswerHeader {
        name: CONTENT_TYPE.to_owned(),
        value,
    });
    OnceAnswer {
        status: kept.status,
        headers: header.into_iter().collect(),
        body: kept.body,
    }
}

/// Splits a ticket into its two uses; the first that is called takes it.
fn keyed_ticket(recorder: OnceRecorder, ticket: OnceTicket) -> KeyedTicket {
    let shared = Arc::new(Mutex::new(Some(ticket)));
    let (finishing, abandoning) = (shared.clone(), shared);
    let finisher = recorder.clone();
    KeyedTicket {
        finish: Box::new(move |kept| finish(finisher, take(&finishing), kept).boxed()),
        abandon: Box::new(move || abandon(recorder, take(&abandoning)).boxed()),
    }
}

fn take(shared: &Mutex<Option<OnceTicket>>) -> Option<OnceTicket> {
    shared.lock().take()
}

async fn finish(recorder: OnceRecorder, ticket: Option<OnceTicket>, kept: KeptAnswer) {
    let Some(ticket) = ticket else {
        return;
    };
    if let Err(error) = recorder.finish(ticket, once_answer(kept)).await {
        warn!(%error, "answer not recorded; repeats of the call are answered as unsettled");
    }
}

async fn abandon(recorder: OnceRecorder, ticket: Option<OnceTicket>) {
    let Some(ticket) = ticket else {
        return;
    };
    if let Err(error) = recorder.abandon(ticket).await {
        warn!(%error, "record of a call that was not run is not removed yet");
    }
}
