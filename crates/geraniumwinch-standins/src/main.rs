//! Minimal substitutes for the platform, the workers and the endpoints, and a fault-injecting proxy.
//!
//! They are for development and tests only and are not shipped.

mod executor;
mod fault_proxy;
mod fleet;
mod platform_store;
mod stand_in;
mod vm_list;
mod worker;

use std::process::ExitCode;

use getopts::Options;

use self::stand_in::StandInOptions;

/// The kinds of stand-ins, as shown in the usage text.
const KINDS: &str = "store | vm-list | worker | executor | fleet | proxy";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut options = Options::new();
    options.optopt("", "listen", "the first address to listen on", "IP:PORT");
    options.optopt(
        "",
        "count",
        "the number of workers or executors, on consecutive ports",
        "N",
    );
    options.optopt("", "name", "the name prefix of the workers or executors", "NAME");
    options.optopt("", "cpu", "the number of cores of each worker", "N");
    options.optopt("", "memory-gb", "the memory of each worker in GB", "N");
    options.optopt(
        "",
        "proxy-offset",
        "the offset added to worker ports in the workers' entries",
        "N",
    );
    let usage =
        options.usage(&format!("geraniumwinch-standins {KINDS} --listen IP:PORT"));
    let matches = match options.parse(&arguments) {
        Ok(matches) if matches.free.len() == 1 && matches.opt_present("listen") => {
            matches
        }
        _ => {
            eprintln!("{usage}");
            return ExitCode::from(2);
        }
    };
    let number = |name: &str, default: u64| {
        matches.opt_str(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let Ok(listen) = matches.opt_str("listen").unwrap_or_default().parse() else {
        eprintln!("{usage}");
        return ExitCode::from(2);
    };
    let stand_in = StandInOptions {
        listen,
        count: number("count", 1) as u16,
        name: matches.opt_str("name").unwrap_or_else(|| matches.free[0].clone()),
        cores: number("cpu", 16),
        memory_gb: number("memory-gb", 64),
        proxy_offset: number("proxy-offset", 0) as u16,
    };
    let system = actix_rt::System::new();
    let served = match matches.free[0].as_str() {
        "store" => system.block_on(platform_store::serve(stand_in)),
        "vm-list" => system.block_on(vm_list::serve(stand_in)),
        "worker" => system.block_on(worker::serve(stand_in)),
        "executor" => system.block_on(executor::serve(stand_in)),
        "fleet" => system.block_on(fleet::serve(stand_in)),
        "proxy" => system.block_on(fault_proxy::serve(stand_in)),
        _ => {
            eprintln!("{usage}");
            return ExitCode::from(2);
        }
    };
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
