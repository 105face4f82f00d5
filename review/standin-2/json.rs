//! A small JSON reader.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(members) => members.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = value(&chars, &mut at)?;
        space(&chars, &mut at);
        (at == chars.len()).then_some(value)
    }
}

fn space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn expect(chars: &[char], at: &mut usize, wanted: char) -> Option<()> {
    space(chars, at);
    (chars.get(*at) == Some(&wanted)).then(|| *at += 1)
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    space(chars, at);
    match chars.get(*at)? {
        '{' => object(chars, at),
        '[' => list(chars, at),
        '"' => Some(Json::Text(string(chars, at)?)),
        _ => word(chars, at),
    }
}

fn object(chars: &[char], at: &mut usize) -> Option<Json> {
    expect(chars, at, '{')?;
    let mut members = BTreeMap::new();
    if expect(chars, at, '}').is_some() {
        return Some(Json::Object(members));
    }
    loop {
        space(chars, at);
        let key = string(chars, at)?;
        expect(chars, at, ':')?;
        members.insert(key, value(chars, at)?);
        if expect(chars, at, ',').is_none() {
            expect(chars, at, '}')?;
            return Some(Json::Object(members));
        }
    }
}

fn list(chars: &[char], at: &mut usize) -> Option<Json> {
    expect(chars, at, '[')?;
    let mut members = Vec::new();
    if expect(chars, at, ']').is_some() {
        return Some(Json::List(members));
    }
    loop {
        members.push(value(chars, at)?);
        if expect(chars, at, ',').is_none() {
            expect(chars, at, ']')?;
            return Some(Json::List(members));
        }
    }
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    expect(chars, at, '"')?;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                text.push(match escaped {
                    'n' => '\n',
                    't' => '\t',
                    'r' => '\r',
                    'b' => '\u{8}',
                    'f' => '\u{c}',
                    'u' => {
                        let digits: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        let code = u32::from_str_radix(&digits, 16).ok()?;
                        char::from_u32(code).unwrap_or('\u{fffd}')
                    }
                    other => other,
                });
            }
            c => text.push(c),
        }
    }
}

fn word(chars: &[char], at: &mut usize) -> Option<Json> {
    let from = *at;
    while chars
        .get(*at)
        .is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c))
    {
        *at += 1;
    }
    let text: String = chars[from..*at].iter().collect();
    match text.as_str() {
        "null" => Some(Json::Null),
        "true" => Some(Json::Bool(true)),
        "false" => Some(Json::Bool(false)),
        number => number.parse().ok().map(Json::Number),
    }
}

/// A text as a JSON string.
pub fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}
