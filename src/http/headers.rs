//! The headers of a message, kept in two allocations however many there are: clients choose the number, and an
//! allocation for each short name and value would take many times the memory of the bytes received.

use super::parse::MAX_HEAD_LEN;

/// A range of bytes in the text of the headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Span {
    start: u16,
    end: u16,
}

// All offsets fit into a span.
const _: () = assert!(MAX_HEAD_LEN <= u16::MAX as usize);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Field {
    name: Span,
    value: Span,
}

/// The headers of a message, with names in lower case.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    /// The names and values, one after the other.
    text: String,
    fields: Vec<Field>,
}

impl Headers {
    /// Creates an empty list for headers of at most `text_len` bytes in all, which must not exceed [`MAX_HEAD_LEN`].
    pub(super) fn with_capacity(text_len: usize) -> Self {
        Headers { text: String::with_capacity(text_len), fields: Vec::new() }
    }

    /// Adds a header.
    pub(super) fn push(&mut self, name: &str, value: &str) {
        let name = self.append(name.chars().map(|c| c.to_ascii_lowercase()));
        let value = self.append(value.chars());
        self.fields.push(Field { name, value });
    }

    fn append(&mut self, text: impl Iterator<Item = char>) -> Span {
        let start = self.text.len() as u16;
        self.text.extend(text);
        Span { start, end: self.text.len() as u16 }
    }

    fn text_of(&self, span: Span) -> &str {
        &self.text[usize::from(span.start)..usize::from(span.end)]
    }

    /// Returns the number of headers.
    pub(super) fn len(&self) -> usize {
        self.fields.len()
    }

    /// Returns the first value of a header. `name` must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|field| self.text_of(field.name) == name)
            .map(|field| self.text_of(field.value))
    }

    /// Returns all values of a header. `name` must be in lower case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let named = move |field: &&Field| self.text_of(field.name) == name;
        self.fields.iter().filter(named).map(|field| self.text_of(field.value))
    }

    /// Returns whether a comma-separated header contains a token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|value| value.split(',')).any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// Returns the total length of names and values in bytes.
    pub(super) fn text_len(&self) -> usize {
        self.text.len()
    }

    /// Returns the memory that the headers hold, in bytes.
    pub(super) fn memory(&self) -> usize {
        self.text.capacity() + self.fields.capacity() * size_of::<Field>()
    }
}
