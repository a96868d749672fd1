//! The operators' lists: the current version, the watch on the store, edits and the INI file.

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
