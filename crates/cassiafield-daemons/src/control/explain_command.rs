use {
    crate::control::ControlError,
    cassiafield::process::{LogRecord, RequestStory},
    serde_json::json,
    std::{
        fs::File,
        io::{self, BufRead, BufReader},
        path::Path,
    },
};

/// Lines that were read, and what could not be read.
#[derive(Default)]
struct LogLines {
    records: Vec<LogRecord>,
    broken: Vec<String>,
}

impl LogLines {
    /// Reads a log; lines that are no log lines are noted and passed over, as the last one of a
    /// killed host.
    fn read(&mut self, name: &str, input: impl BufRead) -> Result<(), ControlError> {
        let stem = Path::new(name).file_stem().and_then(|stem| stem.to_str());
        let host = stem.unwrap_or(name);
        for (index, line) in input.lines().enumerate() {
            let place = format!("{name}:{}", index + 1);
            let line = line.map_err(|error| ControlError::Usage(format!("{place}: {error}")))?;
            match LogRecord::read(&line, host) {
                Ok(record) => self.records.extend(record),
                Err(error) => self.broken.push(format!("{place}: no log line: {error}")),
            }
        }
        Ok(())
    }
}

/// Puts the lines of one request in order and says what decided it.
pub(crate) fn explain(request: &str, files: &[&str], json: bool) -> Result<String, ControlError> {
    let mut lines = LogLines::default();
    let standard_input = ["-"];
    let files = if files.is_empty() { &standard_input[..] } else { files };
    for &name in files {
        if name == "-" {
            lines.read("standard-input", io::stdin().lock())?;
            continue;
        }
        let file = File::open(name);
        let file = file.map_err(|error| ControlError::Usage(format!("{name}: {error}")))?;
        lines.read(name, BufReader::new(file))?;
    }
    let LogLines { records, broken } = lines;
    let Some(story) = RequestStory::find(request, &records) else {
        return Err(ControlError::NotFound(missing(request, records.len(), &broken)));
    };
    if json {
        return Ok(format!("{:#}\n", json!({ "story": story, "broken_lines": broken })));
    }
    let notes: String = broken.iter().map(|note| format!("passed over {note}\n")).collect();
    Ok(story.to_text() + &notes)
}

fn missing(request: &str, read: usize, broken: &[String]) -> String {
    let mut text = format!("no line of request {request} among {read} lines");
    for note in broken {
        text.push('\n');
        text.push_str(note);
    }
    text
}
