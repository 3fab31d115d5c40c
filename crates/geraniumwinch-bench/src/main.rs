//! Benchmarks of the decision library over seeded workloads, with a passed-in clock.
//!
//! Each row goes to the standard output as CSV, so that runs can be compared.

mod decision_cost;
mod placement_policy;
mod policy_run;
mod sample_set;

fn main() {
    decision_cost::run();
    policy_run::run();
}
