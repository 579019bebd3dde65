//! A small JSON reader.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Reads one value; `None` if the text is not valid JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_blanks(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Self::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn expect(bytes: &[u8], at: &mut usize, word: &str) -> Option<()> {
    let is_there = bytes[*at..].starts_with(word.as_bytes());
    is_there.then(|| *at += word.len())
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match bytes.get(*at)? {
        b'n' => expect(bytes, at, "null").map(|()| Json::Null),
        b't' => expect(bytes, at, "true").map(|()| Json::Bool(true)),
        b'f' => expect(bytes, at, "false").map(|()| Json::Bool(false)),
        b'"' => parse_text(bytes, at).map(Json::Text),
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_blanks(bytes, at);
                if bytes.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(parse_value(bytes, at)?);
                skip_blanks(bytes, at);
                if bytes.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_blanks(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                let key = parse_text(bytes, at)?;
                skip_blanks(bytes, at);
                expect(bytes, at, ":")?;
                fields.push((key, parse_value(bytes, at)?));
                skip_blanks(bytes, at);
                if bytes.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        _ => {
            let start = *at;
            let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
            while bytes.get(*at).is_some_and(is_part) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    expect(bytes, at, "\"")?;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'b' => text.push(8),
                    b'f' => text.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let letter = char::from_u32(code)?;
                        let mut buf = [0; 4];
                        text.extend_from_slice(letter.encode_utf8(&mut buf).as_bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}
