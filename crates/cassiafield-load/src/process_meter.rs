use {
    anyhow::Context as _,
    std::{fs, time::Instant},
};

/// Processor time and memory of some processes, read from the kernel.
#[derive(Clone, Debug)]
pub struct ProcessMeter {
    processes: Vec<u32>,
    begun: Instant,
    ticks: u64,
}

/// What processes used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Elapsed time, in seconds.
    pub wall_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Threads.
    pub threads: u64,
}

impl ProcessMeter {
    /// Kernel clock ticks a second.
    const TICKS_PER_SECOND: f64 = 100.0;

    /// Starts to measure processes by id.
    ///
    /// # Errors
    ///
    /// Returns that a process cannot be read.
    pub fn start(processes: Vec<u32>) -> anyhow::Result<Self> {
        let ticks = total_ticks(&processes)?;
        Ok(Self { processes, begun: Instant::now(), ticks })
    }

    /// Returns what was used since the start.
    ///
    /// # Errors
    ///
    /// Returns that a process cannot be read.
    pub fn read(&self) -> anyhow::Result<ProcessUsage> {
        let ticks = total_ticks(&self.processes)? - self.ticks;
        let (mut resident_bytes, mut threads) = (0, 0);
        for process in &self.processes {
            resident_bytes += status_field(*process, "VmRSS:")? * 1_024;
            threads += status_field(*process, "Threads:")?;
        }
        Ok(ProcessUsage {
            cpu_seconds: ticks as f64 / Self::TICKS_PER_SECOND,
            wall_seconds: self.begun.elapsed().as_secs_f64(),
            resident_bytes,
            threads,
        })
    }
}

fn total_ticks(processes: &[u32]) -> anyhow::Result<u64> {
    let mut total = 0;
    for process in processes {
        let text = fs::read_to_string(format!("/proc/{process}/stat"))
            .with_context(|| format!("process {process}"))?;
        let fields = text.rsplit(')').next().unwrap_or("").split_whitespace();
        let fields: Vec<&str> = fields.collect();
        for index in [11, 12] {
            total += fields.get(index).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
        }
    }
    Ok(total)
}

fn status_field(process: u32, name: &str) -> anyhow::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/status"))
        .with_context(|| format!("process {process}"))?;
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).with_context(|| format!("{name} of {process}"))
}
