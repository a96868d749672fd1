use {
    crate::{
        connection::{PlatformStore, StoreError},
        process::{usage_recorder::USAGE_PREFIX, HostClock},
    },
    cassiafield_core::{
        ids::{HostId, OrganisationId},
        process::{RequestClass, UsageCount, UsageRecord, LATENCY_BOUNDS_MS},
    },
    serde_json::{json, Value},
    std::{collections::BTreeMap, fmt::Write as _, str::FromStr},
};

/// Output format of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportFormat {
    /// Text table.
    Text,
    /// Comma-separated values.
    Csv,
    /// A single JSON document.
    Json,
}

impl FromStr for ReportFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(ReportFormat::Text),
            "csv" => Ok(ReportFormat::Csv),
            "json" => Ok(ReportFormat::Json),
            other => Err(format!("expected text, csv or json, found {other:?}")),
        }
    }
}

/// A process that ended without a final checkpoint, so that its last counts may be missing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportGap {
    /// Host of the process.
    pub host: HostId,
    /// Hour of the record, in hours since the Unix epoch.
    pub hour: u64,
    /// Time of the process's last checkpoint, in seconds since the Unix epoch.
    pub written: u64,
}

/// Usage per hour, organisation and request class.
#[derive(Clone, Debug, Default)]
pub struct UsageReport {
    rows: BTreeMap<(u64, OrganisationId, RequestClass), UsageCount>,
    gaps: Vec<ReportGap>,
}

impl UsageReport {
    /// Time since the last checkpoint of a record after which its process counts as dead.
    const DEAD_AFTER_SECONDS: u64 = 30;
    const SECONDS_PER_HOUR: u64 = 3_600;

    /// Builds the report from the records of the last `hours` hours.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer or a record cannot be decoded.
    pub fn read(store: &dyn PlatformStore, hours: u64) -> Result<Self, StoreError> {
        let now = HostClock::unix_seconds();
        let last = now / Self::SECONDS_PER_HOUR;
        let mut report = Self::default();
        for hour in (last + 1).saturating_sub(hours.max(1))..=last {
            for (key, entry) in store.list(&format!("{USAGE_PREFIX}{hour:08}/"))? {
                let record: UsageRecord = rmp_serde::from_slice(&entry.value)
                    .map_err(|error| StoreError::Refused(format!("{key}: {error}")))?;
                report.add(hour, &key, &record, now);
            }
        }
        Ok(report)
    }

    /// Returns the counts per hour, organisation and class.
    #[must_use]
    pub const fn rows(&self) -> &BTreeMap<(u64, OrganisationId, RequestClass), UsageCount> {
        &self.rows
    }

    /// Returns the processes whose last counts may be missing.
    #[must_use]
    pub fn gaps(&self) -> &[ReportGap] {
        &self.gaps
    }

    /// Formats the report.
    #[must_use]
    pub fn render(&self, format: ReportFormat) -> String {
        match format {
            ReportFormat::Text => self.render_text(),
            ReportFormat::Csv => self.render_csv(),
            ReportFormat::Json => format!("{:#}\n", self.to_json()),
        }
    }

    fn add(&mut self, hour: u64, key: &str, record: &UsageRecord, now: u64) {
        for (organisation, classes) in &record.counts {
            for (class, count) in classes {
                let row = (hour, organisation.clone(), *class);
                self.rows.entry(row).or_default().merge(count);
            }
        }
        let is_stale = now.saturating_sub(record.written) > Self::DEAD_AFTER_SECONDS;
        let is_current_hour = hour == now / Self::SECONDS_PER_HOUR;
        let ended_early = record.written < (hour + 1) * Self::SECONDS_PER_HOUR;
        if !record.closed
            && is_stale
            && (is_current_hour || ended_early)
            && !record.counts.is_empty()
        {
            let host = key.split('/').nth(3).and_then(|host| host.parse().ok());
            if let Some(host) = host {
                self.gaps.push(ReportGap { host, hour, written: record.written });
            }
        }
    }

    fn render_text(&self) -> String {
        let mut text = format!(
            "{:<17} {:<20} {:<10} {:>9} {:>9} {:>9} {:>8} {:>9} {:>11} {:>8} {:>8}\n",
            "hour (UTC)",
            "organisation",
            "class",
            "asked",
            "served",
            "refused",
            "in doubt",
            "abandoned",
            "tokens",
            "p50 ms",
            "p95 ms"
        );
        for ((hour, organisation, class), count) in &self.rows {
            let _ = writeln!(
                text,
                "{:<17} {:<20} {:<10} {:>9} {:>9} {:>9} {:>8} {:>9} {:>11} {:>8} {:>8}",
                format_hour(*hour),
                organisation.as_str(),
                class.name(),
                count.asked,
                count.served,
                count.refusals(),
                count.in_doubt,
                count.abandoned,
                count.tokens,
                format_bound(latency_bound(count, 0.50)),
                format_bound(latency_bound(count, 0.95)),
            );
        }
        for gap in &self.gaps {
            let _ = writeln!(
                text,
                "gap: host {} ended without a last checkpoint in hour {}; counts after {} s \
                 (Unix time) are missing",
                gap.host,
                format_hour(gap.hour),
                gap.written
            );
        }
        text
    }

    fn render_csv(&self) -> String {
        let mut text = String::from(
            "hour,organisation,class,asked,served,refused,in_doubt,abandoned,tokens,p50_ms,p95_ms\n",
        );
        for ((hour, organisation, class), count) in &self.rows {
            let _ = writeln!(
                text,
                "{},{organisation},{class},{},{},{},{},{},{},{},{}",
                format_hour(*hour),
                count.asked,
                count.served,
                count.refusals(),
                count.in_doubt,
                count.abandoned,
                count.tokens,
                format_bound(latency_bound(count, 0.50)),
                format_bound(latency_bound(count, 0.95)),
            );
        }
        text
    }

    fn to_json(&self) -> Value {
        let rows: Vec<Value> = self
            .rows
            .iter()
            .map(|((hour, organisation, class), count)| {
                let refused: BTreeMap<&str, u64> =
                    count.refused.iter().map(|(cause, count)| (cause.name(), *count)).collect();
                json!({
                    "hour": format_hour(*hour),
                    "organisation": organisation,
                    "class": class,
                    "asked": count.asked,
                    "served": count.served,
                    "refused": refused,
                    "in_doubt": count.in_doubt,
                    "abandoned": count.abandoned,
                    "tokens": count.tokens,
                    "latency_bounds_ms": LATENCY_BOUNDS_MS[..LATENCY_BOUNDS_MS.len() - 1],
                    "latency_counts": count.latency,
                })
            })
            .collect();
        let gaps: Vec<Value> = self
            .gaps
            .iter()
            .map(|gap| {
                json!({ "host": gap.host, "hour": format_hour(gap.hour), "written": gap.written })
            })
            .collect();
        json!({ "rows": rows, "gaps": gaps })
    }
}

/// Returns the upper bound of the latency bucket that holds a quantile, in milliseconds.
fn latency_bound(count: &UsageCount, quantile: f64) -> Option<u64> {
    let total: u64 = count.latency.iter().sum();
    let rank = (total as f64 * quantile).ceil().max(1.0) as u64;
    let mut cumulative = 0;
    for (bucket, bound) in count.latency.iter().zip(LATENCY_BOUNDS_MS) {
        cumulative += bucket;
        if cumulative >= rank {
            return Some(bound);
        }
    }
    None
}

fn format_bound(bound: Option<u64>) -> String {
    match bound {
        None => "-".into(),
        Some(u64::MAX) => format!(">{}", LATENCY_BOUNDS_MS[LATENCY_BOUNDS_MS.len() - 2]),
        Some(bound) => format!("<={bound}"),
    }
}

/// Formats an hour as `2026-12-03T22:00Z`, by the proleptic Gregorian calendar.
///
/// The date is computed with the civil-from-days algorithm, whose eras of 400 years are counted from
/// 1 March of year 0.
fn format_hour(hour: u64) -> String {
    let (days, hour_of_day) = (hour / 24, hour % 24);
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_index = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_index + 2) / 5 + 1;
    let month = if month_index < 10 { month_index + 3 } else { month_index - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    format!("{year:04}-{month:02}-{day:02}T{hour_of_day:02}:00Z")
}
