//! `codec`: processor time to encode and decode a step, by the number of steps in a frame.

use std::{
    hint::black_box,
    time::Instant, //
};

use anvil_wire::{
    codec,
    generated::engine::{
        LayerRange,
        Step,
        StepFrame,
        StepName, //
    }, //
};
use bytes::Bytes;
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use smol_str::format_smolstr;

use super::{
    BenchError,
    Context,
    Experiment, //
};
use crate::report::{
    Report,
    print_progress, //
};

/// Entry of this experiment in the list of all experiments.
pub const EXPERIMENT: Experiment = Experiment {
    name: "codec",
    about: "processor time to encode and decode a step, by the number of steps in a frame",
    run,
};

const STEPS_TOTAL: usize = 200_000;
const STEPS_PER_FRAME: [usize; 3] = [1, 8, 64];
const ACTIVATION_BYTES: usize = 8;

fn run(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move { measure(context) }.boxed()
}

fn measure(context: Context) -> Result<Report, BenchError> {
    let mut report = Report::new(EXPERIMENT.name, context.seed);
    let mut rng = StdRng::seed_from_u64(context.seed);
    for steps in STEPS_PER_FRAME {
        print_progress(format_args!("frames of {steps} steps"));
        let frame = random_frame(&mut rng, steps);
        let encoded =
            codec::encode(&frame).map_err(|error| BenchError::new("encode a frame", error))?;
        report.add_figure(
            format!("bytes_per_step_of_{steps}"),
            encoded.len() as f64 / steps as f64,
        );
        let started = Instant::now();
        for _ in 0..STEPS_TOTAL / steps {
            let encoded = codec::encode(black_box(&frame));
            black_box(encoded.map_err(|error| BenchError::new("encode a frame", error))?);
        }
        report.add_figure(
            format!("encode_ns_per_step_of_{steps}"),
            ns_per_step(started),
        );
        let started = Instant::now();
        for _ in 0..STEPS_TOTAL / steps {
            let decoded = codec::decode::<StepFrame>(black_box(&encoded));
            black_box(decoded.map_err(|error| BenchError::new("decode a frame", error))?);
        }
        report.add_figure(
            format!("decode_ns_per_step_of_{steps}"),
            ns_per_step(started),
        );
    }
    Ok(report)
}

fn ns_per_step(started: Instant) -> f64 {
    started.elapsed().as_nanos() as f64 / STEPS_TOTAL as f64
}

fn random_frame(rng: &mut StdRng, steps: usize) -> StepFrame {
    let steps = (0..steps)
        .map(|tag| Step {
            tag: tag as u64,
            name: StepName {
                request: format_smolstr!("host-07-5f3a9c-{tag:x}"),
                attempt: 0,
                position: rng.random_range(0..4096),
                layers: LayerRange { first: 0, end: 12 },
            },
            model: "permit-drafter".into(),
            version: "7".into(),
            priority: 1,
            time_left_ms: 30_000,
            token_count: 1,
            tokens: Vec::new(),
            activations: Bytes::from(rng.random::<[u8; ACTIVATION_BYTES]>().to_vec()),
        })
        .collect();
    StepFrame {
        steps,
        cancels: Vec::new(),
    }
}
