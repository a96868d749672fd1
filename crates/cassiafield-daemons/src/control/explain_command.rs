use {
    crate::control::ControlError,
    cassiafield::process::{LogRecord, RequestTrace},
    serde_json::json,
    std::{
        fs::File,
        io::{self, BufRead, BufReader},
        path::Path,
    },
};

/// Records parsed from log files, and errors for the lines that could not be parsed.
#[derive(Default)]
struct ParsedLogs {
    records: Vec<LogRecord>,
    unparsed: Vec<String>,
}

impl ParsedLogs {
    /// Parses a log.
    ///
    /// A line that is not a log line is skipped and its error is kept: a killed host can leave a
    /// truncated last line.
    fn read(&mut self, name: &str, input: impl BufRead) -> Result<(), ControlError> {
        let stem = Path::new(name).file_stem().and_then(|stem| stem.to_str());
        let host = stem.unwrap_or(name);
        for (index, line) in input.lines().enumerate() {
            let location = format!("{name}:{}", index + 1);
            let line = line.map_err(|error| ControlError::Usage(format!("{location}: {error}")))?;
            match LogRecord::parse(&line, host) {
                Ok(record) => self.records.extend(record),
                Err(error) => self.unparsed.push(format!("{location}: no log line: {error}")),
            }
        }
        Ok(())
    }
}

/// Sorts the log records of one request by time and summarises what decided its outcome.
pub(crate) fn explain(request: &str, files: &[&str], json: bool) -> Result<String, ControlError> {
    let mut logs = ParsedLogs::default();
    let standard_input = ["-"];
    let files = if files.is_empty() { &standard_input[..] } else { files };
    for &name in files {
        if name == "-" {
            logs.read("standard-input", io::stdin().lock())?;
            continue;
        }
        let file = File::open(name);
        let file = file.map_err(|error| ControlError::Usage(format!("{name}: {error}")))?;
        logs.read(name, BufReader::new(file))?;
    }
    let ParsedLogs { records, unparsed } = logs;
    let Some(trace) = RequestTrace::from_records(request, &records) else {
        return Err(ControlError::NotFound(not_found_message(request, records.len(), &unparsed)));
    };
    if json {
        return Ok(format!("{:#}\n", json!({ "story": trace, "broken_lines": unparsed })));
    }
    let skipped: String = unparsed.iter().map(|error| format!("skipped {error}\n")).collect();
    Ok(trace.to_text() + &skipped)
}

fn not_found_message(request: &str, record_count: usize, unparsed: &[String]) -> String {
    let mut text = format!("no line of request {request} among {record_count} lines");
    for error in unparsed {
        text.push('\n');
        text.push_str(error);
    }
    text
}
