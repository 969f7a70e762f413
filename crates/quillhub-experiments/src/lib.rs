//! The experiments: experiments with instances in the simulation, deciders to compare the dispatcher with, and what is
//! kept of their runs as tables and charts.
//!
//! An [`experiment::Experiment`] is a file: a question, a day, and what is varied. [`sweep::run`] plays every run of
//! it over all cores and keeps each as one JSON line as soon as it has ended; [`report`] and [`compare`] read these.

pub mod baselines;
pub mod capacity;
pub mod chart;
pub mod command;
pub mod compare;
pub mod cost;
pub mod experiment;
pub mod explain;
pub mod load;
pub mod report;
pub mod results;
pub mod scale;
pub mod sweep;
