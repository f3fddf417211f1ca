//! Writes log lines to the output, on a thread that reads them from a bounded queue.

use std::{
    io::Write,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            self,
            Receiver,
            SyncSender, //
        }, //
    },
    thread,
    time::Duration, //
};

/// Most lines that may wait for the output. Lines beyond it are dropped.
const QUEUE_LIMIT_LINES: usize = 8192;

enum Message {
    Line(String),
    /// Asks the thread to flush the output and then to signal on the channel.
    Flush(SyncSender<()>),
}

/// Sending end of the queue. The thread ends once this is dropped and the queue is empty.
#[derive(Debug)]
pub struct Writer {
    queue: SyncSender<Message>,
    dropped_lines: AtomicU64,
}

impl Writer {
    /// Starts the writer thread, which owns `output`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (queue, messages) = mpsc::sync_channel(QUEUE_LIMIT_LINES);
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_messages(&messages, output))?;
        Ok(Self {
            queue,
            dropped_lines: AtomicU64::new(0),
        })
    }

    /// Queues a line, or drops and counts it if the queue is full.
    pub fn write(&self, line: String) {
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many lines were dropped so far.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines.load(Ordering::Relaxed)
    }

    /// Waits until the output is flushed after the lines queued so far, or until `timeout` passes.
    ///
    /// Returns at once if the queue is full.
    pub fn flush(&self, timeout: Duration) {
        let (flushed_sender, flushed_receiver) = mpsc::sync_channel(1);
        if self.queue.try_send(Message::Flush(flushed_sender)).is_ok() {
            // After a timeout the thread still writes the lines.
            let _ignored = flushed_receiver.recv_timeout(timeout);
        }
    }
}

fn write_messages(messages: &Receiver<Message>, mut output: impl Write) {
    while let Ok(message) = messages.recv() {
        match message {
            // A failure of the log output itself cannot be reported anywhere.
            Message::Line(line) => {
                let _ignored = output.write_all(line.as_bytes());
            }
            Message::Flush(flushed_sender) => {
                let _ignored = output.flush();
                // The caller of `flush` may have timed out and dropped its receiver.
                let _ignored = flushed_sender.try_send(());
            }
        }
    }
}
