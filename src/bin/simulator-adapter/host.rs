//! Hosts the routers of one process and handles batches of messages.

use crate::error::MessageError;
use crate::input::{ListMode, Message, MessageHead, TableRecord};
use crate::output::Reply;
use edge_proxy::endpoint_list::EndpointRecord;
use edge_proxy::settings::PlatformSettings;
use edge_proxy::{Action, Event, Micros, Router};
use std::collections::HashMap;

/// The line that ends the reply to a batch.
const END_OF_REPLY: &str = "{\"cmd\":\"End\"}\n";

/// A hosted router, with the settings that are needed to translate its messages.
struct Instance {
    router: Router,
    settings: PlatformSettings,
}

/// The state of the adapter.
#[derive(Default)]
pub struct Host {
    instances: HashMap<u64, Instance>,
    /// Endpoint tables, by number.
    tables: HashMap<u64, Vec<TableRecord>>,
    /// The time of the current batch; `None` between batches.
    batch_time: Option<Micros>,
    /// The reply to the current batch.
    reply: String,
    /// A reusable buffer for actions; empty between events.
    actions: Vec<Action>,
}

impl Host {
    /// Whether a batch has started and not ended.
    pub fn is_in_batch(&self) -> bool {
        self.batch_time.is_some()
    }

    /// Handles one line. Returns the reply to the batch if the line ends it.
    pub fn handle(&mut self, text: &str) -> Result<Option<String>, MessageError> {
        // The line is parsed twice, since messages of unknown kinds may have any fields. The parser modifies
        // its input, so each pass needs a fresh copy.
        let mut bytes = text.as_bytes().to_vec();
        let MessageHead { command } = simd_json::from_slice(&mut bytes)?;
        if !Message::is_handled(&command) {
            return Ok(None);
        }
        bytes.clear();
        bytes.extend_from_slice(text.as_bytes());
        let message = match simd_json::from_slice(&mut bytes) {
            Ok(message) => message,
            Err(source) => return Err(MessageError::Fields { command, source }),
        };
        if let Message::BatchStart { time } = message {
            if self.batch_time.replace(time).is_some() {
                return Err(MessageError::NestedBatch);
            }
            return Ok(None);
        }
        let now = self.batch_time.ok_or(MessageError::OutsideBatch(command))?;
        if matches!(message, Message::BatchEnd) {
            self.batch_time = None;
            self.reply.push_str(END_OF_REPLY);
            return Ok(Some(std::mem::take(&mut self.reply)));
        }
        self.apply(now, message)?;
        Ok(None)
    }

    /// Applies a message within a batch. Messages for unknown instances are ignored.
    fn apply(&mut self, now: Micros, message: Message) -> Result<(), MessageError> {
        match message {
            Message::Table { table, records } => {
                self.tables.insert(table, records);
                Ok(())
            }
            Message::OpenInstance { instance, seed, settings } => {
                let router = Router::new(settings.policy_settings(), seed);
                self.instances.insert(instance, Instance { router, settings: *settings });
                Ok(())
            }
            Message::CloseInstance { instance } => {
                self.instances.remove(&instance);
                Ok(())
            }
            Message::Endpoints { instance, table, mode } => {
                let Some(hosted) = self.instances.get(&instance) else { return Ok(()) };
                let event = self.endpoints_event(&hosted.settings, table, mode)?;
                self.dispatch(now, instance, &event)
            }
            other => {
                let instance = other.instance();
                let Some(hosted) = self.instances.get(&instance) else { return Ok(()) };
                match other.into_event(&hosted.settings)? {
                    Some(event) => self.dispatch(now, instance, &event),
                    None => Ok(()),
                }
            }
        }
    }

    /// Creates the event for an endpoint list.
    fn endpoints_event(
        &self,
        settings: &PlatformSettings,
        table: Option<u64>,
        mode: ListMode,
    ) -> Result<Event, MessageError> {
        if mode == ListMode::Lost {
            return Ok(Event::WatchLost);
        }
        let number = table.ok_or(MessageError::NoTable)?;
        let records = self.tables.get(&number).ok_or(MessageError::UnknownTable(number))?;
        let records = records.iter().map(EndpointRecord::try_from);
        let entries =
            records.map(|record| Ok(settings.endpoint(&record?))).collect::<Result<_, MessageError>>()?;
        Ok(Event::EndpointsChanged { full: mode == ListMode::Full, entries })
    }

    /// Passes an event to a router and appends the resulting actions to the reply.
    fn dispatch(&mut self, now: Micros, instance: u64, event: &Event) -> Result<(), MessageError> {
        let Some(hosted) = self.instances.get_mut(&instance) else { return Ok(()) };
        hosted.router.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            let text = simd_json::to_string(&Reply::from_action(instance, action))?;
            self.reply.push_str(&text);
            self.reply.push('\n');
        }
        Ok(())
    }
}
