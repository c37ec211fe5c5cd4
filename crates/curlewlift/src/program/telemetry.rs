//! Sets up the log and the metrics of a process.

use std::net::SocketAddr;

use axum::Router;
use axum::routing::get;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use metrics_exporter_prometheus::PrometheusBuilder;
use serde_json::json;

use crate::gateway::TARGET;

use super::log_writer::LogWriter;

/// Starts logging at `level`: as text to standard error, or as one JSON object per line to
/// standard output.
pub(super) fn start(level: log::LevelFilter, json: bool) -> Result<(), Refusal> {
    let dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("tracing", log::LevelFilter::Error);
    let dispatch = if json {
        let writer = LogWriter::start();
        dispatch
            .format(|out, message, record| out.finish(format_args!("{}", as_json(message, record))))
            .chain(fern::Output::call(move |record| {
                writer.push(record.args().to_string());
            }))
    } else {
        dispatch
            .format(|out, message, record| {
                out.finish(format_args!(
                    "{} {}: {message}",
                    record.level(),
                    record.target()
                ));
            })
            .chain(std::io::stderr())
    };
    let started = dispatch.apply();
    started.map_err(|why| Refusal::new(Code::Internal, format!("cannot start the log: {why}")))
}

/// A message as a JSON object; messages of the decision log are JSON already.
fn as_json(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    if record.target() == TARGET {
        return message.to_string();
    }
    json!({
        "level": record.level().as_str(),
        "target": record.target(),
        "message": message.to_string(),
    })
    .to_string()
}

/// Serves the metrics in the Prometheus text format at `address`, under `/metrics`.
pub(super) fn serve_metrics(address: Option<SocketAddr>) -> Result<(), Refusal> {
    let Some(address) = address else {
        return Ok(());
    };
    let recorder = PrometheusBuilder::new().install_recorder();
    let recorder = recorder.map_err(|why| {
        Refusal::new(
            Code::Internal,
            format!("cannot start the metrics recorder: {why}"),
        )
    })?;
    let listener = std::net::TcpListener::bind(address).map_err(|why| {
        Refusal::new(
            Code::BadSetting,
            format!("--metrics: cannot listen at {address}: {why}"),
        )
    })?;
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let Ok(runtime) = runtime else { return };
        runtime.block_on(async move {
            let Ok(listener) = crate::process::tokio_listener(listener) else {
                return;
            };
            let router =
                Router::new().route("/metrics", get(move || async move { recorder.render() }));
            let _ = axum::serve(listener, router).await;
        });
    });
    Ok(())
}
