//! The cases.

pub mod crowd;
mod first_post;
mod foreign_answer;
mod grpc_drain;
mod grpc_key_window;
mod grpc_reload;
mod purge_restart;
mod registry_batches;
mod registry_key;
mod resumed_copy;
mod retried_post;
mod upgrade;

use crate::{Run, Verdict};

pub async fn play(case: &str, run: &Run) -> Verdict {
    let played = match case {
        "crowd" => crowd::play(run).await,
        "first-post" => first_post::play(run).await,
        "foreign-answer" => foreign_answer::play(run).await,
        "grpc-drain" => grpc_drain::play(run).await,
        "grpc-key-window" => grpc_key_window::play(run).await,
        "grpc-reload" => grpc_reload::play(run).await,
        "purge-restart" => purge_restart::play(run).await,
        "registry-key" => registry_key::play(run).await,
        "registry-batches" => registry_batches::play(run).await,
        "resumed-copy" => resumed_copy::play(run).await,
        "upgrade" => upgrade::play(run).await,
        "retried-post" => retried_post::play(run).await,
        other => Err(format!("there is no case {other}")),
    };
    played.unwrap_or_else(Verdict::NotRun)
}

/// The result of a case; the error says why it could not run.
pub type Played = Result<Verdict, String>;
