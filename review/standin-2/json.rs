//! A small JSON reader for the calls that a worker receives.

use std::collections::BTreeMap;

/// A JSON value. Numbers are kept as text, so that large integers lose nothing.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(key),
            _ => None,
        }
    }

    /// Returns the number under `key`, or 0 if there is none.
    pub fn number(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Json::Number(text)) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }

    /// Returns the text under `key`, or an empty one.
    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }
}

/// Parses a JSON text.
pub fn parse(text: &str) -> Option<Json> {
    let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
    let value = reader.value()?;
    reader.space();
    (reader.at == reader.bytes.len()).then_some(value)
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let rest = &self.bytes[self.at..];
                let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                let len = rest.iter().take_while(|b| is_part(b)).count();
                self.at += len;
                let text = String::from_utf8(rest[..len].to_vec()).ok()?;
                (len > 0).then_some(Json::Number(text))
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        let mut table = BTreeMap::new();
        self.at += 1;
        if self.take(b'}') {
            return Some(Json::Table(table));
        }
        loop {
            self.space();
            let key = self.string()?;
            if !self.take(b':') {
                return None;
            }
            table.insert(key, self.value()?);
            if self.take(b'}') {
                return Some(Json::Table(table));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        let mut list = Vec::new();
        self.at += 1;
        if self.take(b']') {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take(b']') {
                return Some(Json::List(list));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take(b'"') {
            return None;
        }
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let plain = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(hex.ok()?, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    let mut buf = [0; 4];
                    text.extend_from_slice(plain.encode_utf8(&mut buf).as_bytes());
                }
                other => text.push(other),
            }
        }
    }
}
