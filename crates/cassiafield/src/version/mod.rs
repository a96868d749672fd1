//! What lives as long as one version of the operators' lists.

mod current_lists;
mod list_editor;
mod list_file;
mod list_watcher;

pub use self::{
    current_lists::{CurrentLists, ListVersion, LISTS_KEY},
    list_editor::{EditError, EditReceipt, ListEditor},
    list_file::ListFile,
    list_watcher::{ListWatcher, WatchRole},
};
