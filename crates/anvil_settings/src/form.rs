//! Types of values: how a value is written in the file, and how it is converted to a field of
//! `Settings`.

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    time::Duration, //
};

use derive_more::{
    Display,
    From, //
};
use smol_str::SmolStr;
use toml::de::DeValue;

use crate::log;

/// Type of a key's value, as it is written in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ValueType {
    /// A string that is not empty.
    #[display("string")]
    String,
    /// A string that is kept out of logs.
    #[display("secret string")]
    Secret,
    /// `"IP:PORT"`.
    #[display("address")]
    Address,
    /// An unsigned 64-bit integer.
    #[display("integer")]
    Integer,
    /// A finite floating-point number; an integer is accepted too.
    #[display("number")]
    Number,
    /// An integer number of milliseconds.
    #[display("milliseconds")]
    Millis,
    /// An integer number of microseconds.
    #[display("microseconds")]
    Micros,
    /// `true` or `false`.
    #[display("boolean")]
    Boolean,
}

impl ValueType {
    /// Returns an example value, in TOML syntax, for error messages.
    pub fn example(self) -> &'static str {
        match self {
            Self::String | Self::Secret => "\"muc-a\"",
            Self::Address => "\"10.0.0.1:7000\"",
            Self::Integer => "4096",
            Self::Number => "0.5",
            Self::Millis | Self::Micros => "5000",
            Self::Boolean => "true",
        }
    }
}

/// A value of the settings file.
#[derive(Clone, Debug, PartialEq, Display, From)]
pub enum Value {
    /// A string.
    #[display("{_0:?}")]
    String(SmolStr),
    /// An integer.
    Integer(u64),
    /// A floating-point number.
    Number(f64),
    /// A boolean.
    Boolean(bool),
}

/// Converts a TOML value to a [`Value`] of the given type and checks its bounds.
///
/// # Errors
///
/// Returns a message for the user if the value has another type or is out of bounds.
pub fn read(
    value_type: ValueType,
    bounds: Option<&RangeInclusive<f64>>,
    value: &DeValue<'_>,
) -> Result<Value, String> {
    let read = match value_type {
        ValueType::String | ValueType::Secret => string(value)?.into(),
        ValueType::Address => address(value)?,
        ValueType::Integer | ValueType::Millis | ValueType::Micros => {
            Value::Integer(integer(value)?)
        }
        ValueType::Number => Value::Number(number(value)?),
        ValueType::Boolean => Value::Boolean(value.as_bool().ok_or_else(|| found_type(value))?),
    };
    let amount = match &read {
        Value::Integer(integer) => *integer as f64,
        Value::Number(number) => *number,
        Value::String(_) | Value::Boolean(_) => return Ok(read),
    };
    match bounds {
        Some(bounds) if !bounds.contains(&amount) => Err(format!(
            "{amount} is outside the range {} to {}",
            bounds.start(),
            bounds.end()
        )),
        _ => Ok(read),
    }
}

fn found_type(value: &DeValue<'_>) -> String {
    format!("found {}", value.type_str())
}

fn string(value: &DeValue<'_>) -> Result<SmolStr, String> {
    let string = value.as_str().ok_or_else(|| found_type(value))?;
    if string.trim().is_empty() {
        return Err("the string is empty".to_owned());
    }
    Ok(SmolStr::new(string))
}

fn address(value: &DeValue<'_>) -> Result<Value, String> {
    let text = string(value)?;
    let parsed: Result<SocketAddr, _> = text.parse();
    match parsed {
        Ok(_) => Ok(Value::String(text)),
        Err(_) => Err(format!("{text:?} is not an IP address with a port")),
    }
}

fn integer(value: &DeValue<'_>) -> Result<u64, String> {
    let integer = value.as_integer().ok_or_else(|| found_type(value))?;
    u64::from_str_radix(integer.as_str(), integer.radix())
        .map_err(|_| format!("{} is not an unsigned 64-bit integer", integer.as_str()))
}

fn number(value: &DeValue<'_>) -> Result<f64, String> {
    let text = match value {
        DeValue::Float(float) => float.as_str(),
        DeValue::Integer(integer) => integer.as_str(),
        _ => return Err(found_type(value)),
    };
    let number: f64 = text
        .parse()
        .map_err(|_| format!("{text} is not a number"))?;
    number
        .is_finite()
        .then_some(number)
        .ok_or_else(|| format!("{text} is not finite"))
}

/// A type of a field of `Settings`, which can be converted from and to a [`Value`].
pub trait Field: Sized {
    /// Converts a value, which already has the key's type and lies within its bounds.
    ///
    /// # Errors
    ///
    /// Returns a message for the user if the field's type cannot represent the value.
    fn from_value(value_type: ValueType, value: &Value) -> Result<Self, String>;

    /// Converts the field to the value that a settings file would contain.
    fn to_value(&self, value_type: ValueType) -> Value;
}

fn incompatible<T>(value: &Value) -> Result<T, String> {
    Err(format!("{value} has the wrong type or is out of range"))
}

impl Field for SmolStr {
    fn from_value(_value_type: ValueType, value: &Value) -> Result<Self, String> {
        let Value::String(text) = value else {
            return incompatible(value);
        };
        Ok(text.clone())
    }

    fn to_value(&self, _value_type: ValueType) -> Value {
        Value::String(self.clone())
    }
}

impl Field for bool {
    fn from_value(_value_type: ValueType, value: &Value) -> Result<Self, String> {
        let Value::Boolean(boolean) = value else {
            return incompatible(value);
        };
        Ok(*boolean)
    }

    fn to_value(&self, _value_type: ValueType) -> Value {
        Value::Boolean(*self)
    }
}

impl Field for f64 {
    fn from_value(_value_type: ValueType, value: &Value) -> Result<Self, String> {
        match value {
            Value::Number(number) => Ok(*number),
            Value::Integer(integer) => Ok(*integer as f64),
            Value::String(_) | Value::Boolean(_) => incompatible(value),
        }
    }

    fn to_value(&self, _value_type: ValueType) -> Value {
        Value::Number(*self)
    }
}

impl Field for Duration {
    fn from_value(value_type: ValueType, value: &Value) -> Result<Self, String> {
        let Value::Integer(integer) = value else {
            return incompatible(value);
        };
        Ok(match value_type {
            ValueType::Micros => Self::from_micros(*integer),
            _ => Self::from_millis(*integer),
        })
    }

    fn to_value(&self, value_type: ValueType) -> Value {
        let integer = match value_type {
            ValueType::Micros => self.as_micros(),
            _ => self.as_millis(),
        };
        Value::Integer(u64::try_from(integer).unwrap_or(u64::MAX))
    }
}

impl<T: Field> Field for Option<T> {
    fn from_value(value_type: ValueType, value: &Value) -> Result<Self, String> {
        T::from_value(value_type, value).map(Some)
    }

    fn to_value(&self, value_type: ValueType) -> Value {
        match self {
            Some(field) => field.to_value(value_type),
            None => Value::String(SmolStr::default()),
        }
    }
}

macro_rules! string_fields {
    ($($field_type:ty),*) => {
        $(impl Field for $field_type {
            fn from_value(_value_type: ValueType, value: &Value) -> Result<Self, String> {
                let Value::String(text) = value else {
                    return incompatible(value);
                };
                text.parse::<Self>().map_err(|error| error.to_string())
            }

            fn to_value(&self, _value_type: ValueType) -> Value {
                Value::String(SmolStr::from(self.to_string()))
            }
        })*
    };
}

string_fields!(SocketAddr, log::Levels, log::Format);

macro_rules! integer_fields {
    ($($field_type:ty),*) => {
        $(impl Field for $field_type {
            fn from_value(_value_type: ValueType, value: &Value) -> Result<Self, String> {
                let Value::Integer(integer) = value else {
                    return incompatible(value);
                };
                Self::try_from(*integer).or_else(|_| incompatible(value))
            }

            fn to_value(&self, _value_type: ValueType) -> Value {
                Value::Integer(u64::try_from(*self).unwrap_or(u64::MAX))
            }
        })*
    };
}

integer_fields!(u8, u16, u32, u64, usize);
