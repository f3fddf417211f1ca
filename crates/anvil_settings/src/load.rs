//! Loads a settings file and checks it.

use std::{
    fs,
    path::Path, //
};

use smol_str::SmolStr;

use crate::{
    keys::{
        self,
        Presence, //
    },
    options::Options,
    problem::{
        Location,
        Problem, //
    },
    rules,
    settings::{
        SECRET_LENGTH_MIN,
        Settings, //
    },
};

/// Loads a settings file and the secrets from the environment variables that it names.
///
/// # Errors
///
/// Returns all problems if the file cannot be read or its settings are invalid.
pub fn load(path: &Path) -> Result<Settings, Vec<Problem>> {
    let text = fs::read_to_string(path).map_err(|error| {
        vec![Problem {
            location: Location {
                path: path.to_owned(),
                line: None,
                key: None,
            },
            message: format!("cannot read the file: {error}"),
            hint: "give the path of a readable TOML file".to_owned(),
        }]
    })?;
    parse(path, &text, |name| std::env::var(name).ok())
}

/// Parses and checks the text of a settings file. `path` is used in error messages only;
/// `environment` returns the value of an environment variable.
///
/// # Errors
///
/// Returns all problems, ordered by line, if the text is not valid TOML or a setting is invalid.
pub fn parse(
    path: &Path,
    text: &str,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Settings, Vec<Problem>> {
    let (options, problems) = Options::read(path, text);
    let mut checker = Checker {
        path,
        options: &options,
        problems,
        settings: Settings::defaults(),
    };
    checker.apply_values();
    checker.require_keys();
    checker.resolve_secrets(environment);
    checker.check_values();
    if checker.problems.is_empty() {
        Ok(checker.settings)
    } else {
        checker
            .problems
            .sort_by_key(|problem| problem.location.line.unwrap_or(usize::MAX));
        Err(checker.problems)
    }
}

struct Checker<'a> {
    path: &'a Path,
    options: &'a Options,
    problems: Vec<Problem>,
    settings: Settings,
}

impl Checker<'_> {
    fn apply_values(&mut self) {
        for (name, given) in self.options.iter() {
            let Some(key) = keys::find(name) else {
                continue;
            };
            if let Err(message) = (key.set)(&mut self.settings, key.value_type, &given.value) {
                self.report(key.name, message, key.hint());
            }
        }
    }

    fn require_keys(&mut self) {
        for key in keys::all() {
            let other = match key.presence {
                Presence::Optional => continue,
                Presence::Required => None,
                Presence::RequiredUnless(other) => Some(other),
            };
            if self.is_given(key.name) || other.is_some_and(|other| self.is_given(other)) {
                continue;
            }
            let alternative = other.map_or_else(String::new, |other| format!(", or set `{other}`"));
            self.report(
                key.name,
                "missing required key".to_owned(),
                key.hint() + &alternative,
            );
        }
    }

    /// Returns whether the file contains the key, with a valid or an invalid value.
    fn is_given(&self, name: &str) -> bool {
        self.options.get(name).is_some()
            || self
                .problems
                .iter()
                .any(|problem| problem.location.key.as_deref() == Some(name))
    }

    fn resolve_secrets(&mut self, environment: impl Fn(&str) -> Option<String>) {
        let credentials = &mut self.settings.credentials;
        let secrets = [
            (
                "credentials.operator_token",
                "credentials.operator_token_env",
                &mut credentials.operator_token,
                credentials.operator_token_env.clone(),
            ),
            (
                "credentials.peer_key",
                "credentials.peer_key_env",
                &mut credentials.peer_key,
                credentials.peer_key_env.clone(),
            ),
        ];
        let mut problems = Vec::new();
        for (name, env_name, secret, variable) in secrets {
            if let Some(variable) = variable {
                if !secret.is_empty() {
                    let message = format!("`{name}` is also set");
                    problems.push((env_name, message, "set only one of the two".to_owned()));
                    continue;
                }
                let Some(value) = environment(&variable) else {
                    let message = format!("the environment variable {variable} is not set");
                    problems.push((
                        env_name,
                        message,
                        "set it before starting the program".to_owned(),
                    ));
                    continue;
                };
                *secret = SmolStr::new(value.trim());
            }
            if !secret.is_empty() && secret.chars().count() < SECRET_LENGTH_MIN {
                let message = "the secret is too short".to_owned();
                let hint = format!("use at least {SECRET_LENGTH_MIN} characters");
                problems.push((name, message, hint));
            }
        }
        for (name, message, hint) in problems {
            self.report(name, message, hint);
        }
    }

    fn check_values(&mut self) {
        self.check_listeners();
        for rule in rules::RULES {
            if !(rule.holds)(&self.settings) {
                let hint = "change one of these values".to_owned();
                self.report(rule.key, format!("must be {}", rule.relation), hint);
            }
        }
    }

    fn check_listeners(&mut self) {
        let listen = &self.settings.listen;
        let listeners = [
            ("listen.callers", listen.callers),
            ("listen.operators", listen.operators),
            ("listen.peers", listen.peers),
        ];
        for (index, (name, address)) in listeners.iter().enumerate() {
            let duplicate = listeners[..index]
                .iter()
                .find(|(_, other)| other == address && address.port() != 0);
            if let Some((other, _)) = duplicate {
                let message = format!("{address} is already used by `{other}`");
                self.report(name, message, "give each listener its own port".to_owned());
            }
        }
    }

    fn report(&mut self, name: &'static str, message: String, hint: String) {
        let location = Location {
            path: self.path.to_owned(),
            line: self.options.get(name).map(|given| given.line),
            key: Some(SmolStr::new_static(name)),
        };
        self.problems.push(Problem {
            location,
            message,
            hint,
        });
    }
}

#[cfg(test)]
mod tests;
