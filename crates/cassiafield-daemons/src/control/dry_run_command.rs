use {
    crate::control::ControlError, cassiafield::process::DryRunReport, getopts::Matches,
    std::time::Duration,
};

/// Longest wait for the host's answer.
const DRY_RUN_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks a running host where a request would go now; the host sends nothing.
///
/// The command runs on that host: others are not answered.
pub(crate) fn dry_run(matches: &Matches, fields: &[&str]) -> Result<String, ControlError> {
    let address = matches.opt_str("at");
    let address = address.ok_or_else(|| ControlError::Usage("--at is missing".into()))?;
    let agent = ureq::AgentBuilder::new().timeout(DRY_RUN_TIMEOUT).build();
    let mut request = agent.get(&format!("http://{address}/dry-run"));
    for field in fields {
        let pair = field.split_once('=');
        let (name, value) = pair.ok_or_else(|| {
            ControlError::Usage(format!("dry-run: expected FIELD=VALUE, found {field:?}"))
        })?;
        request = request.query(name, value);
    }
    let response = match request.call() {
        Ok(response) => response,
        Err(ureq::Error::Status(status, response)) => {
            let text = response.into_string().unwrap_or_default();
            let text = text.trim();
            return Err(match status {
                400 => ControlError::Usage(format!("dry-run: {text}")),
                _ => ControlError::Refused(format!("{address} answered {status}: {text}")),
            });
        }
        Err(error) => return Err(ControlError::Unreachable(error.to_string())),
    };
    let text = response.into_string();
    let text = text.map_err(|error| ControlError::Unreachable(format!("{address}: {error}")))?;
    let report = DryRunReport::from_json(text.as_bytes()).map_err(|error| {
        ControlError::Refused(format!("{address} sent no report of a dry run: {error}"))
    })?;
    if matches.opt_present("json") {
        return Ok(format!("{text}\n"));
    }
    Ok(report.to_text())
}
