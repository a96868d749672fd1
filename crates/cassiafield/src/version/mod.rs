//! What lives as long as one version of the operators' lists.

mod list_editor;
mod list_file;
mod list_holder;
mod list_watcher;

pub use self::{
    list_editor::{EditError, EditReceipt, ListEditor},
    list_file::ListFile,
    list_holder::{ListHolder, ListVersion, LISTS_KEY},
    list_watcher::{ListWatcher, WatchRole},
};
