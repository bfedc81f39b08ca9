//! Type checking, and compilation to programs with a bounded evaluation cost.
//!
//! The language has no loops. Calls of definitions are inlined, and recursive definitions are rejected. The
//! maximum length of each string and the maximum cost of each node are computed from the size limits of a
//! request. A program that could exceed [`MAX_STR_BYTES`], [`MAX_NODES`], [`MAX_NODE_DEPTH`] or the allowed
//! cost is rejected.

use super::definitions::{Definition, Definitions};
use super::error::{CompileError, DefinitionError, Quantity, TypeError};
use super::parser::{parse, BinaryOperator, Expression, ExpressionKind};
use super::program::{Function, Input, Node, Program, Signature, Type};
use crate::wire::http_codec::{MAX_HEAD, MAX_HEADERS};

/// The maximum length of a string, in bytes.
pub const MAX_STR_BYTES: u64 = 65_536;
/// The maximum number of nodes in a program, with definitions inlined.
pub const MAX_NODES: usize = 4_096;
/// The maximum nesting depth of a program, which bounds the stack use of its evaluation.
pub const MAX_NODE_DEPTH: usize = 160;
/// The maximum length of a string taken from a request, in bytes: that of the whole request head.
const MAX_INPUT_BYTES: u64 = MAX_HEAD as u64;
/// The maximum length of a header name in an expression, in bytes.
const MAX_HEADER_NAME_BYTES: usize = 64;
/// The maximum cost of a header lookup, in steps: the name may be compared with that of every header.
const MAX_HEADER_LOOKUP_COST: u64 = 1 + MAX_HEADERS as u64 * MAX_HEADER_NAME_BYTES as u64;

/// `header("name")`: the value of a header.
const HEADER_FORM: &str = "header";
/// `has("name")`: whether a header is present.
const HAS_FORM: &str = "has";
/// `try(value, fallback)`: the fallback if evaluating the value fails.
const TRY_FORM: &str = "try";
/// Special forms: written like function calls but checked by rules of their own. Their names are reserved.
pub(super) const SPECIAL_FORMS: [&str; 3] = [HEADER_FORM, HAS_FORM, TRY_FORM];

/// Compiles an expression of type `expected` whose maximum cost is within `max_cost` steps.
pub(super) fn compile(
    definitions: &Definitions,
    text: &str,
    expected: Type,
    max_cost: u64,
) -> Result<Program, CompileError> {
    let expression = parse(text)?;
    let checked = Checker::new(definitions).check_type(&expression, expected, &mut Vec::new())?;
    check_limit(Quantity::Cost, checked.max_cost, max_cost)?;
    Ok(Program {
        root: checked.node,
        value_type: checked.value_type,
        max_cost: checked.max_cost,
        max_length: checked.max_length,
    })
}

/// Checks the body of a definition by itself, assuming string arguments of [`MAX_INPUT_BYTES`].
pub(super) fn check_definition(
    definitions: &Definitions,
    name: &str,
    definition: &Definition,
) -> Result<(), CompileError> {
    let mut checker = Checker { inline_stack: vec![name.to_string()], ..Checker::new(definitions) };
    let parameters = definition.parameters.iter();
    let mut scope = parameters.map(|p| Binding::new(&p.name, p.value_type, MAX_INPUT_BYTES)).collect();
    checker.check(&definition.body, &mut scope)?;
    Ok(())
}

fn check_limit(quantity: Quantity, value: u64, limit: u64) -> Result<(), CompileError> {
    match value > limit {
        true => Err(CompileError::Limit { quantity, value, limit }),
        false => Ok(()),
    }
}

fn type_error<T>(offset: usize, source: TypeError) -> Result<T, CompileError> {
    Err(CompileError::Type { offset, source })
}

/// A name in scope.
#[derive(Clone, Debug)]
struct Binding {
    /// The name; empty if the expression being checked cannot refer to the binding.
    name: String,
    value_type: Type,
    max_length: u64,
}

impl Binding {
    fn new(name: &str, value_type: Type, max_length: u64) -> Self {
        let max_length = if value_type == Type::Str { max_length } else { 0 };
        Self { name: name.to_string(), value_type, max_length }
    }

    fn hidden(&self) -> Self {
        Self { name: String::new(), ..self.clone() }
    }
}

/// The bindings in scope, outermost first. The index of a binding is also the index of its value at
/// evaluation.
type Scope = Vec<Binding>;

/// A checked and compiled expression.
struct CheckedExpression {
    node: Node,
    value_type: Type,
    max_cost: u64,
    max_length: u64,
}

impl CheckedExpression {
    /// A node of cost 1 without a string result.
    fn new(node: Node, value_type: Type) -> Self {
        Self { node, value_type, max_cost: 1, max_length: 0 }
    }

    fn with_max_cost(self, max_cost: u64) -> Self {
        Self { max_cost, ..self }
    }

    fn with_max_length(self, max_length: u64) -> Self {
        Self { max_length, ..self }
    }
}

struct Checker<'a> {
    definitions: &'a Definitions,
    /// The names of the definitions being inlined, outermost first.
    inline_stack: Vec<String>,
    node_count: usize,
    depth: usize,
}

impl<'a> Checker<'a> {
    fn new(definitions: &'a Definitions) -> Self {
        Self { definitions, inline_stack: Vec::new(), node_count: 0, depth: 0 }
    }

    /// Checks an expression of any type.
    fn check(
        &mut self,
        expression: &Expression,
        scope: &mut Scope,
    ) -> Result<CheckedExpression, CompileError> {
        self.depth += 1;
        check_limit(Quantity::Depth, self.depth as u64, MAX_NODE_DEPTH as u64)?;
        self.node_count += 1;
        check_limit(Quantity::NodeCount, self.node_count as u64, MAX_NODES as u64)?;
        let checked = self.check_kind(expression, scope)?;
        self.depth -= 1;
        check_limit(Quantity::StrLength, checked.max_length, MAX_STR_BYTES)?;
        Ok(checked)
    }

    /// Checks an expression that must have type `expected`.
    fn check_type(
        &mut self,
        expression: &Expression,
        expected: Type,
        scope: &mut Scope,
    ) -> Result<CheckedExpression, CompileError> {
        let checked = self.check(expression, scope)?;
        match checked.value_type {
            found if found == expected => Ok(checked),
            found => type_error(expression.offset, TypeError::Mismatch { found, expected }),
        }
    }

    fn check_kind(
        &mut self,
        expression: &Expression,
        scope: &mut Scope,
    ) -> Result<CheckedExpression, CompileError> {
        let offset = expression.offset;
        match &expression.kind {
            ExpressionKind::Bool(value) => Ok(CheckedExpression::new(Node::Bool(*value), Type::Bool)),
            ExpressionKind::Int(value) => Ok(CheckedExpression::new(Node::Int(*value), Type::Int)),
            ExpressionKind::Str(text) => {
                let node = Node::Str(text.clone());
                Ok(CheckedExpression::new(node, Type::Str).with_max_length(text.len() as u64))
            }
            ExpressionKind::Name(name) => check_name(offset, name, scope),
            ExpressionKind::Call(name, arguments) => self.check_call(offset, name, arguments, scope),
            ExpressionKind::Not(operand) => {
                let operand = self.check_type(operand, Type::Bool, scope)?;
                let node = Node::Not(operand.node.into());
                Ok(CheckedExpression::new(node, Type::Bool).with_max_cost(operand.max_cost + 1))
            }
            ExpressionKind::Neg(operand) => {
                let operand = self.check_type(operand, Type::Int, scope)?;
                let node = Node::Neg(operand.node.into());
                Ok(CheckedExpression::new(node, Type::Int).with_max_cost(operand.max_cost + 1))
            }
            ExpressionKind::Binary(operator, left, right) => {
                self.check_binary(offset, *operator, left, right, scope)
            }
            ExpressionKind::If(condition, then, otherwise) => {
                self.check_conditional(condition, then, otherwise, scope)
            }
            ExpressionKind::Let(name, value, body) => self.check_let(name, value, body, scope),
        }
    }

    fn check_conditional(
        &mut self,
        condition: &Expression,
        then: &Expression,
        otherwise: &Expression,
        scope: &mut Scope,
    ) -> Result<CheckedExpression, CompileError> {
        let condition = self.check_type(condition, Type::Bool, scope)?;
        let then = self.check(then, scope)?;
        let otherwise = self.check_type(otherwise, then.value_type, scope)?;
        Ok(CheckedExpression {
            node: Node::If {
                condition: condition.node.into(),
                then: then.node.into(),
                otherwise: otherwise.node.into(),
            },
            value_type: then.value_type,
            max_cost: 1 + condition.max_cost + then.max_cost.max(otherwise.max_cost),
            max_length: then.max_length.max(otherwise.max_length),
        })
    }

    fn check_let(
        &mut self,
        name: &str,
        value: &Expression,
        body: &Expression,
        scope: &mut Scope,
    ) -> Result<CheckedExpression, CompileError> {
        let value = self.check(value, scope)?;
        scope.push(Binding::new(name, value.value_type, value.max_length));
        let body = self.check(body, scope)?;
        scope.pop();
        Ok(CheckedExpression {
            node: Node::Let { value: value.node.into(), body: body.node.into() },
            value_type: body.value_type,
            max_cost: 1 + value.max_cost + body.max_cost,
            max_length: body.max_length,
        })
    }

    fn check_binary(
        &mut self,
        offset: usize,
        operator: BinaryOperator,
        left: &Expression,
        right: &Expression,
        scope: &mut Scope,
    ) -> Result<CheckedExpression, CompileError> {
        use BinaryOperator::{Add, And, Eq, Ge, Gt, Le, Lt, Ne, Or, Sub};
        let left = self.check(left, scope)?;
        let operand = left.value_type;
        let right = self.check_type(right, operand, scope)?;
        let cost = 1 + left.max_cost + right.max_cost;
        let text_length = left.max_length + right.max_length;
        let (a, b) = (left.node.into(), right.node.into());
        Ok(match (operator, operand) {
            (And, Type::Bool) => CheckedExpression::new(Node::And(a, b), Type::Bool).with_max_cost(cost),
            (Or, Type::Bool) => CheckedExpression::new(Node::Or(a, b), Type::Bool).with_max_cost(cost),
            (Eq | Ne, _) => CheckedExpression::new(Node::Compare(operator, a, b), Type::Bool)
                .with_max_cost(cost + text_length),
            (Lt | Le | Gt | Ge, Type::Int) => {
                CheckedExpression::new(Node::Compare(operator, a, b), Type::Bool).with_max_cost(cost)
            }
            (Add | Sub, Type::Int) => {
                CheckedExpression::new(Node::Arithmetic(operator, a, b), Type::Int).with_max_cost(cost)
            }
            (Add, Type::Str) => CheckedExpression::new(Node::Concat(a, b), Type::Str)
                .with_max_cost(cost + text_length)
                .with_max_length(text_length),
            _ => return type_error(offset, TypeError::Operator { operator, operand }),
        })
    }

    fn check_call(
        &mut self,
        offset: usize,
        name: &str,
        arguments: &[Expression],
        scope: &mut Scope,
    ) -> Result<CheckedExpression, CompileError> {
        match name {
            HEADER_FORM | HAS_FORM => return check_header(offset, name, arguments),
            TRY_FORM => return self.check_try(offset, arguments, scope),
            _ => {}
        }
        if let Some(signature) = Signature::by_name(name) {
            check_argument_count(offset, name, signature.parameters.len(), arguments)?;
            return self.check_function(&signature, arguments, scope);
        }
        let Some(definition) = self.definitions.get(name) else {
            return type_error(offset, TypeError::UnknownFunction(name.to_string()));
        };
        if self.inline_stack.iter().any(|outer| outer == name) {
            let chain = format!("{} calls {name}", self.inline_stack.join(" calls "));
            let source = DefinitionError::Recursive { chain };
            return Err(CompileError::Definition { name: name.to_string(), source });
        }
        check_argument_count(offset, name, definition.parameters.len(), arguments)?;
        self.inline(name, definition, arguments, scope)
    }

    fn check_try(
        &mut self,
        offset: usize,
        arguments: &[Expression],
        scope: &mut Scope,
    ) -> Result<CheckedExpression, CompileError> {
        check_argument_count(offset, TRY_FORM, 2, arguments)?;
        let first = self.check(&arguments[0], scope)?;
        let fallback = self.check_type(&arguments[1], first.value_type, scope)?;
        Ok(CheckedExpression {
            node: Node::Fallback { first: first.node.into(), fallback: fallback.node.into() },
            value_type: first.value_type,
            max_cost: 1 + first.max_cost + fallback.max_cost,
            max_length: first.max_length.max(fallback.max_length),
        })
    }

    /// Checks a call of a built-in function. Its cost assumes that every byte of the arguments is read and
    /// every byte of the result written.
    fn check_function(
        &mut self,
        signature: &Signature,
        arguments: &[Expression],
        scope: &mut Scope,
    ) -> Result<CheckedExpression, CompileError> {
        let mut checked = Vec::with_capacity(arguments.len());
        for (argument, parameter) in arguments.iter().zip(signature.parameters) {
            checked.push(self.check_type(argument, *parameter, scope)?);
        }
        let lengths = checked.iter().map(|argument| argument.max_length);
        let max_length = match (signature.result, signature.function) {
            (Type::Str, Function::Default) => lengths.clone().max().unwrap_or(0),
            (Type::Str, _) => checked[0].max_length,
            _ => 0,
        };
        let argument_costs: u64 = checked.iter().map(|argument| argument.max_cost).sum();
        let max_cost = 1 + lengths.sum::<u64>() + max_length + argument_costs;
        let nodes = checked.into_iter().map(|argument| argument.node).collect();
        let node = Node::Call(signature.function, nodes);
        Ok(CheckedExpression { node, value_type: signature.result, max_cost, max_length })
    }

    /// Inlines the call of a definition: its body, wrapped in a `let` for each argument. The body can refer
    /// only to the parameters, not to the names in scope at the call.
    fn inline(
        &mut self,
        name: &str,
        definition: &Definition,
        arguments: &[Expression],
        scope: &mut Scope,
    ) -> Result<CheckedExpression, CompileError> {
        let caller_scope_len = scope.len();
        let mut body_scope: Scope = scope.iter().map(Binding::hidden).collect();
        let mut values = Vec::with_capacity(arguments.len());
        let mut max_cost = 1;
        for (argument, parameter) in arguments.iter().zip(&definition.parameters) {
            let argument = self.check_type(argument, parameter.value_type, scope)?;
            max_cost += argument.max_cost + 1;
            let binding = Binding::new(&parameter.name, parameter.value_type, argument.max_length);
            // The next argument is evaluated inside the `let` of this one, but cannot refer to it.
            scope.push(binding.hidden());
            body_scope.push(binding);
            values.push(argument.node);
        }
        scope.truncate(caller_scope_len);
        self.inline_stack.push(name.to_string());
        let body = self.check(&definition.body, &mut body_scope)?;
        self.inline_stack.pop();
        let bind = |body: Node, value: Node| Node::Let { value: value.into(), body: body.into() };
        Ok(CheckedExpression {
            node: values.into_iter().rev().fold(body.node, bind),
            value_type: body.value_type,
            max_cost: max_cost + body.max_cost,
            max_length: body.max_length,
        })
    }
}

/// Resolves a name to the innermost binding, or otherwise to a property of the request.
fn check_name(offset: usize, name: &str, scope: &Scope) -> Result<CheckedExpression, CompileError> {
    if let Some(index) = scope.iter().rposition(|binding| binding.name == name) {
        let Binding { value_type, max_length, .. } = scope[index];
        return Ok(CheckedExpression {
            node: Node::Local(index),
            value_type,
            max_cost: 1 + max_length,
            max_length,
        });
    }
    match Input::by_name(name) {
        Some(input) => {
            Ok(CheckedExpression::new(Node::Input(input), Type::Str).with_max_length(MAX_INPUT_BYTES))
        }
        None => type_error(offset, TypeError::UnknownName(name.to_string())),
    }
}

/// Checks `header("name")` or `has("name")`.
fn check_header(
    offset: usize,
    form: &str,
    arguments: &[Expression],
) -> Result<CheckedExpression, CompileError> {
    check_argument_count(offset, form, 1, arguments)?;
    let ExpressionKind::Str(header) = &arguments[0].kind else {
        return type_error(offset, TypeError::HeaderNotLiteral(form.to_string()));
    };
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if header.is_empty() || header.len() > MAX_HEADER_NAME_BYTES || !header.bytes().all(allowed) {
        return type_error(offset, TypeError::InvalidHeaderName(header.clone()));
    }
    let checked = match form {
        HAS_FORM => CheckedExpression::new(Node::HasHeader(header.clone()), Type::Bool),
        _ => CheckedExpression::new(Node::Header(header.clone()), Type::Str).with_max_length(MAX_INPUT_BYTES),
    };
    Ok(checked.with_max_cost(MAX_HEADER_LOOKUP_COST))
}

fn check_argument_count(
    offset: usize,
    function: &str,
    expected: usize,
    arguments: &[Expression],
) -> Result<(), CompileError> {
    match arguments.len() {
        found if found == expected => Ok(()),
        found => {
            type_error(offset, TypeError::ArgumentCount { function: function.to_string(), expected, found })
        }
    }
}
