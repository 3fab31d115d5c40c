//! Benchmarks of the scheduling library on seeded workloads, with the time passed in as a parameter.
//!
//! Prints one CSV row per measurement to standard output, so that runs can be compared.

mod decision_cost;
mod placement_policy;
mod policy_run;
mod sample_set;

fn main() {
    decision_cost::run();
    policy_run::run();
}
