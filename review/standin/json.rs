//! A small JSON reader and writer.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    /// Returns the value of a key; `Null` if there is none.
    pub fn get(&self, key: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == key).map_or(NULL, |(_, v)| v),
            _ => NULL,
        }
    }

    pub fn u64(&self) -> u64 {
        match self {
            Json::Num(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
}

fn skip(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(b, at);
                match b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    b',' => *at += 1,
                    b'"' => {
                        let key = string(b, at)?;
                        skip(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, value(b, at)?));
                    }
                    _ => return None,
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(b, at);
                match b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(b, at)?),
                }
            }
        }
        b'"' => string(b, at).map(Json::Str),
        b't' => literal(b, at, "true", Json::Bool(true)),
        b'f' => literal(b, at, "false", Json::Bool(false)),
        b'n' => literal(b, at, "null", Json::Null),
        _ => {
            let start = *at;
            while b.get(*at).is_some_and(|c| c.is_ascii_digit() || b"+-.eE".contains(c)) {
                *at += 1;
            }
            std::str::from_utf8(&b[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn literal(b: &[u8], at: &mut usize, text: &str, value: Json) -> Option<Json> {
    b[*at..].starts_with(text.as_bytes()).then(|| {
        *at += text.len();
        value
    })
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let c = *b.get(*at + 1)?;
                *at += 2;
                match c {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend(c.to_string().bytes());
                    }
                    other => out.push(other),
                }
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(v) => write!(f, "{v}"),
            Json::Num(n) => write!(f, "{n}"),
            Json::Str(s) => write!(f, "{s:?}"),
            Json::Arr(items) => {
                write!(f, "[")?;
                for (i, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if i > 0 { "," } else { "" })?;
                }
                write!(f, "]")
            }
            Json::Obj(fields) => {
                write!(f, "{{")?;
                for (i, (k, v)) in fields.iter().enumerate() {
                    write!(f, "{}{k:?}:{v}", if i > 0 { "," } else { "" })?;
                }
                write!(f, "}}")
            }
        }
    }
}
