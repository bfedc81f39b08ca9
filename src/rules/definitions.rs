//! User-defined functions in the rule language, `name(parameter: type, …) = body`.

use super::error::{CompileError, DefinitionError};
use super::parser::{parse, Expression};
use super::program::{Program, Signature, Type};
use super::type_check::{check_definition, compile, SPECIAL_FORMS};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub(super) struct Parameter {
    pub(super) name: String,
    pub(super) value_type: Type,
}

/// A user-defined function.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Definition {
    pub(super) parameters: Vec<Parameter>,
    pub(super) body: Expression,
}

/// The definitions of a rules file, by name.
#[derive(Clone, Debug, Default)]
pub struct Definitions(BTreeMap<String, Definition>);

impl Definitions {
    /// Parses and type-checks definitions. They may call one another in any order, but recursion is rejected.
    /// Every definition is checked, even if no rule calls it.
    pub fn parse(texts: &[String]) -> Result<Self, CompileError> {
        let mut definitions = Self::default();
        for text in texts {
            let name_before_parameters = text.split('(').next().unwrap_or_default().trim();
            let error =
                |source| CompileError::Definition { name: name_before_parameters.to_string(), source };
            let (name, definition) = parse_definition(text).map_err(error)?;
            if definitions.0.insert(name, definition).is_some() {
                return Err(error(DefinitionError::Duplicate));
            }
        }
        for (name, definition) in &definitions.0 {
            check_definition(&definitions, name, definition).map_err(|error| match error {
                in_definition @ CompileError::Definition { .. } => in_definition,
                other => CompileError::Definition {
                    name: name.clone(),
                    source: DefinitionError::Body(Box::new(other)),
                },
            })?;
        }
        Ok(definitions)
    }

    /// Compiles an expression of type `expected` whose maximum cost is within `max_cost` steps.
    pub fn compile(&self, text: &str, expected: Type, max_cost: u64) -> Result<Program, CompileError> {
        compile(self, text, expected, max_cost)
    }

    pub(super) fn get(&self, name: &str) -> Option<&Definition> {
        self.0.get(name)
    }
}

/// Parses `name(parameter: type, …) = body`.
fn parse_definition(text: &str) -> Result<(String, Definition), DefinitionError> {
    let (head, body) = text.split_once('=').ok_or(DefinitionError::Malformed)?;
    let head = head.trim().strip_suffix(')').and_then(|head| head.split_once('('));
    let (name, parameters) = head.ok_or(DefinitionError::Malformed)?;
    let name = name.trim();
    if !is_identifier(name) || Signature::by_name(name).is_some() || SPECIAL_FORMS.contains(&name) {
        return Err(DefinitionError::InvalidName);
    }
    let parameters = parse_parameters(parameters)?;
    let body = parse(body).map_err(|error| DefinitionError::Body(Box::new(error.into())))?;
    Ok((name.to_string(), Definition { parameters, body }))
}

/// Parses `parameter: type, …`.
fn parse_parameters(text: &str) -> Result<Vec<Parameter>, DefinitionError> {
    let mut parameters: Vec<Parameter> = Vec::new();
    for parameter in text.split(',').map(str::trim).filter(|parameter| !parameter.is_empty()) {
        let (name, type_name) = parameter.split_once(':').ok_or(DefinitionError::MalformedParameter)?;
        let value_type = type_name.trim().parse().map_err(|_| DefinitionError::UnknownType)?;
        let name = name.trim();
        if !is_identifier(name) || parameters.iter().any(|earlier| earlier.name == name) {
            return Err(DefinitionError::InvalidParameterName);
        }
        parameters.push(Parameter { name: name.to_string(), value_type });
    }
    Ok(parameters)
}

/// Whether `text` is an identifier: ASCII letters, digits and underscores, not starting with a digit.
fn is_identifier(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_';
    !text.is_empty() && text.bytes().all(allowed) && !text.as_bytes()[0].is_ascii_digit()
}
