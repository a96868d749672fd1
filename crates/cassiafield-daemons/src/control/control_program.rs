use {
    crate::control::{dry_run_command, explain_command, list_command, view_command, ControlError},
    cassiafield::{
        connection::{EtcdStore, PlatformStore},
        version::{EditReceipt, ListEditor},
    },
    cassiafield_core::version::{ListChange, ListEdit},
    compact_str::CompactString,
    getopts::{Matches, Options},
    serde_json::json,
    std::{env, sync::Arc},
};

const USAGE: &str = "\
Usage: cassiafield-ctl [OPTIONS] COMMAND

Commands:
  plan list                        list the plans
  plan set NAME KEY=VALUE...       create a plan or change some of its limits
  plan remove NAME                 remove a plan that no organisation uses
  organisation list                list the organisations
  organisation set NAME            set the plan and the keys (--plan, --key-hash)
  organisation remove NAME         remove an organisation
  apply FILE                       replace all lists by those of the file, or change nothing
  export                           print all lists in the format of apply
  history                          print the most recent edits
  status                           print the state of hosts (--hosts)
  report                           print the usage report (--hours, --format)
  explain ID [FILE...]             explain a request from logs; - or no file: standard input
  dry-run FIELD=VALUE...           show where a request would go now, and why, without sending it
                                   (--at; fields: host, path, organisation, service, model,
                                   prompt=ID:TOKENS,..., tokens=PROMPT,OUTPUT)
  key-hash                         read a key from standard input and print its hash

Exit codes:
  0 success   1 store unreachable, nothing changed   2 invalid command line or input
  3 edit rejected, nothing changed   4 unknown whether the edit took effect
  5 the logs contain no line of the request";

/// The command-line interface of `cassiafield-ctl`.
pub struct ControlProgram {
    options: Options,
}

/// Options and store access shared by the commands.
pub(crate) struct ControlContext {
    pub(crate) matches: Matches,
    pub(crate) store: Arc<dyn PlatformStore>,
    pub(crate) editor: ListEditor,
    pub(crate) json: bool,
}

impl Default for ControlProgram {
    fn default() -> Self {
        Self::new()
    }
}

impl ControlProgram {
    /// Creates the interface with its options.
    #[must_use]
    pub fn new() -> Self {
        let mut options = Options::new();
        options.optopt("s", "store", "platform store (or CASSIAFIELD_STORE)", "URL");
        options.optopt("a", "author", "author of the edit (default: USER)", "NAME");
        options.optopt("b", "base", "entry version that the edit is based on", "N");
        options.optopt("p", "plan", "plan of an organisation", "NAME");
        options.optmulti("k", "key-hash", "SHA-256 hash of a key; may be repeated", "HASH");
        options.optopt("", "hosts", "peer addresses of hosts, separated by commas", "ADDRESSES");
        options.optopt("", "at", "metrics address of the host that is asked (dry-run)", "ADDRESS");
        options.optopt("", "hours", "hours that the report covers (default 24)", "N");
        options.optopt("f", "format", "format of the report: text, csv or json", "FORMAT");
        options.optflag("j", "json", "print JSON");
        options.optflag("h", "help", "print this help");
        Self { options }
    }

    /// Runs a command and returns the text to print.
    ///
    /// # Errors
    ///
    /// Returns an error if the command fails.
    pub fn run(&self, arguments: &[String]) -> Result<String, ControlError> {
        let matches = self.options.parse(arguments);
        let matches = matches.map_err(|error| ControlError::Usage(error.to_string()))?;
        let command: Vec<String> = matches.free.clone();
        let command: Vec<&str> = command.iter().map(String::as_str).collect();
        if matches.opt_present("help") || command.is_empty() {
            return Ok(self.options.usage(USAGE));
        }
        if command == ["key-hash"] {
            return view_command::key_hash();
        }
        if let ["explain", ref rest @ ..] = command[..] {
            let Some((request, files)) = rest.split_first() else {
                return Err(ControlError::Usage("explain: the request's id is missing".into()));
            };
            return explain_command::explain(request, files, matches.opt_present("json"));
        }
        if let ["dry-run", ref fields @ ..] = command[..] {
            return dry_run_command::dry_run(&matches, fields);
        }
        let context = ControlContext::new(matches)?;
        match command[..] {
            ["plan", "list"] => list_command::list_plans(&context),
            ["plan", "set", name, ref values @ ..] => {
                list_command::set_plan(&context, name, values)
            }
            ["plan", "remove", name] => list_command::remove_plan(&context, name),
            ["organisation", "list"] => list_command::list_organisations(&context),
            ["organisation", "set", name] => list_command::set_organisation(&context, name),
            ["organisation", "remove", name] => list_command::remove_organisation(&context, name),
            ["apply", file] => list_command::apply(&context, file),
            ["export"] => list_command::export(&context),
            ["history"] => view_command::history(&context),
            ["status"] => view_command::status(&context),
            ["report"] => view_command::report(&context),
            _ => Err(ControlError::Usage(format!("unknown command {:?}", command.join(" ")))),
        }
    }
}

impl ControlContext {
    fn new(matches: Matches) -> Result<Self, ControlError> {
        let url = matches.opt_str("store").or_else(|| env::var("CASSIAFIELD_STORE").ok());
        let url = url.ok_or_else(|| ControlError::Usage("--store is missing".into()))?;
        let store: Arc<dyn PlatformStore> = Arc::new(EtcdStore::new(url));
        let editor = ListEditor::new(store.clone());
        let json = matches.opt_present("json");
        Ok(Self { matches, store, editor, json })
    }

    /// Returns the entry version given by `--base`, if any.
    pub(crate) fn base(&self) -> Result<Option<u64>, ControlError> {
        let text = self.matches.opt_str("base");
        let parsed = text.map(|text| {
            text.parse().map_err(|_| {
                ControlError::Usage(format!("--base: expected a whole number, found {text:?}"))
            })
        });
        parsed.transpose()
    }

    /// Submits an edit and returns the text to print.
    pub(crate) fn submit(&self, change: ListChange) -> Result<String, ControlError> {
        let author = self.matches.opt_str("author").or_else(|| env::var("USER").ok());
        let author = CompactString::from(author.unwrap_or_else(|| "unknown".into()));
        let edit = ListEdit { id: fastrand::u128(..), author, change };
        let EditReceipt { revision } = self.editor.submit(&edit)?;
        if self.json {
            return Ok(format!("{}\n", json!({ "revision": revision })));
        }
        Ok(format!("accepted at revision {revision}\n"))
    }
}
