//! Validation of settings.

use super::PlatformSettings;
use crate::text::is_field_value;
use thiserror::Error;

/// Invalid settings. Messages name keys as they are spelled in the platform's JSON.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class.
    #[error("`classes` is empty; it must list at least one class")]
    NoClasses,
    /// The maximum number of attempts is 0.
    #[error("`policyLimits.sendCap` is 0 or absent; it must be at least 1")]
    NoAttempts,
    /// Two classes have the same name.
    #[error("`classes[].name` {0:?} is duplicated")]
    DuplicateClass(String),
    /// The name of a class cannot be used as a path segment.
    #[error(
        "`classes[].name` {0:?} must not be empty and must consist of visible ASCII characters without `/`, \
         `,` and `=`"
    )]
    ClassName(String),
    /// The deadline of a class is 0.
    #[error("`classes[].deadlineUs` of class {0:?} is 0; it must be at least 1")]
    NoDeadline(String),
    /// This proxy's zone is not listed.
    #[error("`locality` {0:?} must be one of `localities`")]
    UnknownZone(String),
}

impl PlatformSettings {
    /// Validates these settings.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.policy.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        for index in 0..self.classes.len() {
            self.check_class(index)?;
        }
        if !self.zones.contains(&self.zone) {
            return Err(SettingsError::UnknownZone(self.zone.clone()));
        }
        Ok(())
    }

    fn check_class(&self, index: usize) -> Result<(), SettingsError> {
        let class = &self.classes[index];
        if self.classes[..index].iter().any(|other| other.name == class.name) {
            return Err(SettingsError::DuplicateClass(class.name.clone()));
        }
        if !is_field_value(&class.name) || class.name.contains('/') {
            return Err(SettingsError::ClassName(class.name.clone()));
        }
        if class.policy.deadline == 0 {
            return Err(SettingsError::NoDeadline(class.name.clone()));
        }
        Ok(())
    }
}
