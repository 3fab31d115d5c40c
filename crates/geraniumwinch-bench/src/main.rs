//! Benchmarks of the scheduling library on seeded workloads, with the time passed in as a parameter.
//!
//! Prints one CSV row per measurement to standard output, so that runs can be compared.

mod decision_cost;
mod pass_cost;
mod placement_policy;
mod policy_run;
mod sample_set;

fn main() {
    if std::env::args().any(|argument| argument == "passes") {
        pass_cost::run();
        return;
    }
    decision_cost::run();
    pass_cost::run();
    policy_run::run();
}
