use super::*;
use std::io::Write;
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns what a few log calls write.
fn written(format: Format, filter: &str) -> String {
    let buffer = Buffer::default();
    let out = buffer.clone();
    let subscriber = subscriber(format, filter, move || out.clone()).unwrap();
    tracing::subscriber::with_default(subscriber, || {
        line("draining");
        ended("client", Some(([127, 0, 0, 1], 9).into()), Reason::Done, "requests=1");
        query_ended("c1", &FinalAnswer::Refused { retry_after: 1.0, cause: Cause::NoList });
    });
    let bytes = buffer.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn a_text_line_is_the_message_alone() {
    assert_eq!(written(Format::Text, "info"), "draining\nend client 127.0.0.1:9 code=done requests=1\n");
}

#[test]
fn json_lines_have_fields_and_filters_apply() {
    let text = written(Format::Json, "off,ironpaddle::connection=info,ironpaddle::query=debug");
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert_eq!(
        (&lines[0]["code"], &lines[0]["kind"], &lines[0]["level"]),
        (&"done".into(), &"client".into(), &"INFO".into())
    );
    assert_eq!((&lines[1]["query"], &lines[1]["cause"]), (&"c1".into(), &"no_list".into()));
    assert!(subscriber(Format::Text, "sometimes=perhaps", io::sink).is_err());
}
