//! One line of the wire, taken apart with a plain message for whatever is wrong with it.

use std::str::FromStr;
use std::time::Duration;

pub struct Line<'a> {
    pub tag: &'a str,
    rest: Option<&'a str>,
}

type Read<T> = Result<T, String>;

impl<'a> Line<'a> {
    pub fn new(text: &'a str) -> Self {
        match text.split_once(' ') {
            Some((tag, rest)) => Line { tag, rest: Some(rest) },
            None => Line { tag: text, rest: None },
        }
    }

    pub fn word(&mut self, what: &str) -> Read<&'a str> {
        let rest = self.rest.ok_or_else(|| format!("{what} is missing"))?;
        let (word, rest) = match rest.split_once(' ') {
            Some((word, rest)) => (word, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if word.is_empty() { Err(format!("{what} is empty")) } else { Ok(word) }
    }

    /// A field that runs to the end of the line.
    pub fn text(&mut self, what: &str) -> Read<&'a str> {
        self.rest.take().ok_or_else(|| format!("{what} is missing"))
    }

    pub fn number<T: FromStr>(&mut self, what: &str) -> Read<T> {
        let word = self.word(what)?;
        word.parse().map_err(|_| format!("{what} is not a number of its kind: {word:?}"))
    }

    /// A number of 0 or more with a fraction.
    pub fn amount(&mut self, what: &str) -> Read<f64> {
        let amount: f64 = self.number(what)?;
        if amount.is_finite() && amount >= 0.0 {
            Ok(amount)
        } else {
            Err(format!("{what} is out of range: {amount}"))
        }
    }

    pub fn flag(&mut self, what: &str) -> Read<bool> {
        match self.word(what)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(format!("{what} is neither 1 nor 0: {other:?}")),
        }
    }

    pub fn time(&mut self, what: &str) -> Read<Duration> {
        Ok(Duration::from_micros(self.number(what)?))
    }

    /// A time that may be absent.
    pub fn time_or_none(&mut self, what: &str) -> Read<Option<Duration>> {
        if let Some(rest) = self.rest
            && rest.split(' ').next() == Some("-")
        {
            self.word(what)?;
            return Ok(None);
        }
        self.time(what).map(Some)
    }

    /// The share of cores in use out of a load report, where it has one.
    pub fn load(&mut self, what: &str) -> Read<Option<f64>> {
        let pairs = self.word(what)?.split(',');
        let busy = pairs.filter_map(|pair| pair.strip_prefix("busy:")).next();
        busy.map(|load| load.parse().map_err(|_| format!("{what} is malformed: {load:?}"))).transpose()
    }

    pub fn end(&self) -> Read<()> {
        match self.rest {
            Some(rest) => Err(format!("too many parts, from {rest:?}")),
            None => Ok(()),
        }
    }
}
