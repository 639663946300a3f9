//! Tests of the events of a stream, their order, and bytes that are no event.

use fulmarhead_lib::forward::{
    EventError, EventRun, MAX_EVENT_BYTES, Pushed, Silent, StreamPosition, Writing,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use testutils::cases;

const ONE: &str = "id: 1\ndata: a\n\n";
const TWO: &str = "id: 2\ndata: b\n\n";

/// A run of a target in either state, with what it has passed on.
struct Reader {
    run: Option<Run>,
    passed: Vec<u8>,
    error: Option<EventError>,
    position: StreamPosition,
}

enum Run {
    Silent(EventRun<Silent>),
    Writing(EventRun<Writing>),
}

impl Reader {
    fn begin(position: StreamPosition) -> Self {
        let run = Some(Run::Silent(EventRun::begin(position)));
        Self { run, passed: Vec::new(), error: None, position }
    }

    fn push(&mut self, bytes: &[u8]) {
        self.run = match self.run.take() {
            Some(Run::Silent(run)) => match run.push(bytes) {
                Ok(Pushed::Silent(run)) => Some(Run::Silent(run)),
                Ok(Pushed::Writing(run, events)) => {
                    self.passed.extend(events);
                    Some(Run::Writing(run))
                }
                Err(error) => {
                    self.error = Some(error);
                    None
                }
            },
            Some(Run::Writing(mut run)) => {
                self.passed.extend(run.push(bytes));
                Some(Run::Writing(run))
            }
            None => None,
        };
        if let Some(Run::Writing(run)) = &self.run {
            (self.error, self.position) = (run.error(), run.position());
        }
    }

    /// Ends the run, whose end is `delimited` or not, and returns whether the stream is complete.
    fn end(&mut self, delimited: bool) -> bool {
        let rest = match self.run.take() {
            Some(Run::Silent(run)) => run.end(delimited),
            Some(Run::Writing(run)) => run.end(),
            None => None,
        };
        let is_complete = rest.is_some();
        self.passed.extend(rest.unwrap_or_default());
        is_complete
    }

    fn text(&self) -> &str {
        std::str::from_utf8(&self.passed).unwrap()
    }
}

/// Checks what a stream that resumes after the event `last` and arrives in `chunks` passes on, the
/// error that ends it, and whether it can end with its connection there.
fn check_stream(
    last: Option<u64>,
    chunks: &[&str],
    expected: &str,
    error: Option<EventError>,
    complete: bool,
) {
    let mut reader = Reader::begin(StreamPosition::after(last));
    chunks.iter().for_each(|chunk| reader.push(chunk.as_bytes()));
    assert_eq!((reader.text(), reader.error), (expected, error));
    assert_eq!(reader.end(false), complete);
}

/// Checks that a stream of `text` that ends there is passed on unchanged, in whatever chunks it
/// arrives.
fn check_unchanged(text: &str) {
    for size in 1..=text.len() {
        let mut reader = Reader::begin(StreamPosition::default());
        text.as_bytes().chunks(size).for_each(|chunk| reader.push(chunk));
        assert!(reader.end(false), "chunks of {size} bytes: {:?}", reader.error);
        assert_eq!(reader.text(), text, "chunks of {size} bytes");
    }
}

/// Checks what is passed on of a stream that is interrupted after `chunks` and goes on at another
/// target with `resumed`.
fn check_resumed(chunks: &[&str], resumed: &str, expected: &str, error: Option<EventError>) {
    let mut first = Reader::begin(StreamPosition::default());
    chunks.iter().for_each(|chunk| first.push(chunk.as_bytes()));
    let mut second = Reader::begin(first.position);
    second.push(resumed.as_bytes());
    let passed = format!("{}{}", first.text(), second.text());
    assert_eq!((passed.as_str(), second.error), (expected, error));
}

/// Checks whether a stream of `text` after the event `last` is complete if the response ends there.
fn check_end(last: Option<u64>, text: &str, delimited: bool, expected: bool) {
    let mut reader = Reader::begin(StreamPosition::after(last));
    reader.push(text.as_bytes());
    assert_eq!(reader.end(delimited), expected);
}

cases! {
    check_stream {
        single_event: (None, &[ONE], ONE, None, true),
        /// Guards against passing on a partial event when a target fails while sending it.
        partial_event: (None, &[ONE, "id: 2\nda"], ONE, None, false),
        event_in_chunks: (None, &["id: 1\nda", "ta: a\n", "\n"], ONE, None, true),
        resumed_stream: (Some(4), &["id: 5\n\nid: 6\n\n"], "id: 5\n\nid: 6\n\n", None, true),
        /// Guards against a duplicate event after a stream is resumed.
        duplicate_event: (
            Some(4), &["id: 4\n\n"], "", Some(EventError::OutOfOrder { last: 4, found: 4 }), false,
        ),
        /// Guards against an earlier event in the middle of a stream.
        decreasing_event: (
            None, &["id: 7\n\nid: 9\n\nid: 8\n\n"], "id: 7\n\nid: 9\n\n",
            Some(EventError::OutOfOrder { last: 9, found: 8 }), false,
        ),
        /// Guards against the loss of a sound event that arrives together with bytes that are none.
        sound_event_before_others: (
            None, &["id: 1\ndata: a\n\nno memory, trying again\n\nid: 2\ndata: b\n\n"], ONE,
            Some(EventError::NotAnEvent), false,
        ),
        /// Guards against lines of a log that pass as events.
        log_line_with_colon: (
            None, &[ONE, "worker: no memory, trying again\n\n"], ONE, Some(EventError::NotAnEvent),
            false,
        ),
        log_line_without_end_of_block: (
            None, &[ONE, "worker 17 has no memory\n"], ONE, Some(EventError::NotAnEvent), false,
        ),
        log_line_before_the_first_event: (
            None, &["worker: starting\n\n", ONE], "", Some(EventError::NotAnEvent), false,
        ),
        log_line_after_an_identifier: (
            None, &["id: 1\nworker: no memory\n\n"], "", Some(EventError::NotAnEvent), false,
        ),
        /// Guards against a log line that is taken for a part of the event that follows.
        log_line_inside_an_event: (
            None, &["no memory: trying again\nid: 1\n\n"], "", Some(EventError::NotAnEvent), false,
        ),
        identifier_that_is_no_number: (
            None, &["id: x1\n\n"], "", Some(EventError::NotAnEvent), false,
        ),
        two_identifiers: (None, &["id: 1\nid: 2\n\n"], "", Some(EventError::NotAnEvent), false),
        /// Guards against an identifier at which the next one overflows.
        last_identifier: (
            Some(u64::MAX), &["id: 0\n\n"], "",
            Some(EventError::OutOfOrder { last: u64::MAX, found: 0 }), false,
        ),
        /// Guards against comments that pass for progress.
        comments_wait_for_an_event: (None, &[": wait\n\n", ": wait\n\n"], "", None, false),
    }

    check_end {
        /// Guards against a stream that ends as complete because of the events of the run before, or
        /// of those that the caller already had.
        resumed_without_events: (Some(2), "", false, false),
        resumed_with_a_comment: (Some(2), ": wait\n\n", false, false),
        resumed_inside_an_event: (Some(2), "id: 3\n", true, false),
        /// Guards against breaking off a stream whose last target has nothing to add.
        resumed_after_the_last_event: (Some(2), "", true, true),
        new_without_events: (None, "", true, false),
        new_with_events: (None, ONE, false, true),
    }

    check_unchanged {
        comments: (": first\n\nid: 1\ndata: a\n\n: keep-alive\n\nid: 2\ndata: b\n\n: end\n\n"),
        comment_inside_an_event: ("id: 1\n: comment\ndata: a\n\n"),
        comment_without_end_of_block: ("id: 1\ndata: a\n\n: end\n"),
        other_fields: ("event: token\nid: 1\ndata: a\ndata: b\ndata\n\nid: 2\nretry: 500\n\n"),
        undefined_field_of_an_event: ("x-weights: 3\nid: 1\ndata: a\n\n"),
        reconnection_time: ("retry: 500\n\nid: 1\ndata: a\n\n"),
        event_without_identifier: ("id: 1\ndata: a\n\ndata: [DONE]\n\n"),
        carriage_returns_and_line_feeds: ("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"),
        carriage_returns: ("id: 1\rdata: a\r\rid: 2\rdata: b\r\r"),
        mixed_line_ends: ("id: 1\r\ndata: a\n\r\nid: 2\rdata: b\r\r\nid: 3\n\r"),
        increasing_identifiers: ("id: 51\ndata: a\n\nid: 102\ndata: b\n\nid: 140\ndata: c\n\n"),
        more_empty_lines: ("\n\nid: 1\ndata: a\n\n\n\nid: 2\n\n\n"),
    }

    check_resumed {
        next_event: (&[ONE], TWO, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", None),
        /// Guards against a partial event of the first target that is joined with the second one's.
        partial_event_is_dropped: (
            &[ONE, "id: 2\nda"], TWO, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", None,
        ),
        error_is_dropped: (
            &[ONE, "no memory\n\n"], TWO, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", None,
        ),
        /// Guards against a gap after a stream with consecutive identifiers is resumed.
        missing_event: (
            &[ONE, TWO], "id: 4\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            Some(EventError::OutOfOrder { last: 2, found: 4 }),
        ),
        missing_event_after_the_first: (
            &[ONE], "id: 3\n\n", ONE, Some(EventError::OutOfOrder { last: 1, found: 3 }),
        ),
        /// Guards against an event that the caller gets twice.
        repeated_event: (
            &[ONE, TWO], TWO, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            Some(EventError::OutOfOrder { last: 2, found: 2 }),
        ),
        /// Guards against a sound stream that is broken off because its identifiers are those of
        /// tokens.
        increasing_identifiers_are_resumed: (
            &["id: 51\n\nid: 102\n\n"], "id: 140\n\n", "id: 51\n\nid: 102\n\nid: 140\n\n", None,
        ),
    }
}

/// Guards against bytes without end that are kept in memory.
#[test]
fn endless_comment() {
    let mut reader = Reader::begin(StreamPosition::default());
    for _ in 0..=MAX_EVENT_BYTES / 8 {
        reader.push(b": wait\n\n");
    }
    assert_eq!((reader.text(), reader.error), ("", Some(EventError::TooLarge)));
}

/// A piece of a stream, sound or not.
#[derive(Clone, Debug)]
struct Piece(String);

impl Arbitrary for Piece {
    fn arbitrary(random: &mut Gen) -> Self {
        let end = *random.choose(&["\n", "\r\n", "\r"]).unwrap();
        let lines: &[&str] = random
            .choose(&[
                &["id: 1", "data: a", ""][..],
                &["id: 2", ""],
                &[": wait", ""],
                &["x y"],
                &["id:"],
            ])
            .unwrap();
        let end_of_line = |line: &&str| format!("{line}{end}");
        Self(lines.iter().map(end_of_line).collect())
    }
}

/// Returns what a stream of `text` that arrives in chunks of `size` bytes passes on, its error,
/// whether it is complete, and its last event.
fn read(text: &str, size: usize) -> (String, Option<EventError>, bool, Option<u64>) {
    let mut reader = Reader::begin(StreamPosition::default());
    text.as_bytes().chunks(size).for_each(|chunk| reader.push(chunk));
    let is_complete = reader.end(false);
    let mut passed = reader.text().to_owned();
    // The line feed after the last carriage return is lost if the stream is not complete.
    if !is_complete && passed.ends_with("\r\n") {
        passed.pop();
    }
    (passed, reader.error, is_complete, reader.position.last_event())
}

/// Guards against events that depend on how the network divides the bytes.
#[test]
fn chunks_make_no_difference() {
    fn holds(pieces: Vec<Piece>, size: usize) -> bool {
        let text: String = pieces.into_iter().map(|piece| piece.0).collect();
        read(&text, text.len().max(1)) == read(&text, size % 9 + 1)
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(Vec<Piece>, usize) -> bool);
}
