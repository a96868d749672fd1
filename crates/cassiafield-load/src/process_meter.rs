use {
    anyhow::Context as _,
    std::{fs, time::Instant},
};

/// Measures CPU time and memory of processes as reported by `/proc`.
#[derive(Clone, Debug)]
pub struct ProcessMeter {
    pids: Vec<u32>,
    started: Instant,
    start_ticks: u64,
}

/// Resource usage of the measured processes, summed over all of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    /// CPU time, in seconds.
    pub cpu_seconds: f64,
    /// Elapsed time, in seconds.
    pub wall_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Number of threads.
    pub threads: u64,
}

impl ProcessMeter {
    /// Unit of CPU times in `/proc/PID/stat`: `USER_HZ`, 100 on Linux.
    const TICKS_PER_SECOND: f64 = 100.0;

    /// Starts measuring the processes with these ids.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry of a process in `/proc` cannot be read.
    pub fn start(pids: Vec<u32>) -> anyhow::Result<Self> {
        let start_ticks = total_ticks(&pids)?;
        Ok(Self { pids, started: Instant::now(), start_ticks })
    }

    /// Returns the CPU time used since the start, and current memory and threads.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry of a process in `/proc` cannot be read.
    pub fn read(&self) -> anyhow::Result<ProcessUsage> {
        let ticks = total_ticks(&self.pids)? - self.start_ticks;
        let (mut resident_bytes, mut threads) = (0, 0);
        for pid in &self.pids {
            resident_bytes += status_field(*pid, "VmRSS:")? * 1_024;
            threads += status_field(*pid, "Threads:")?;
        }
        Ok(ProcessUsage {
            cpu_seconds: ticks as f64 / Self::TICKS_PER_SECOND,
            wall_seconds: self.started.elapsed().as_secs_f64(),
            resident_bytes,
            threads,
        })
    }
}

fn total_ticks(pids: &[u32]) -> anyhow::Result<u64> {
    let mut total = 0;
    for pid in pids {
        let text = fs::read_to_string(format!("/proc/{pid}/stat"))
            .with_context(|| format!("cannot read the statistics of process {pid}"))?;
        let fields = text.rsplit(')').next().unwrap_or("").split_whitespace();
        let fields: Vec<&str> = fields.collect();
        // `utime` and `stime`, counted from the field after the command name.
        for index in [11, 12] {
            total += fields.get(index).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
        }
    }
    Ok(total)
}

fn status_field(pid: u32, name: &str) -> anyhow::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))
        .with_context(|| format!("cannot read the statistics of process {pid}"))?;
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value
        .and_then(|value| value.parse().ok())
        .with_context(|| format!("no field {name} in the status of process {pid}"))
}
