//! Tests of submissions whose tasks run on workers that the leader calls.

/// Declares one named test for each function, with a line on what they guard against. A test that
/// is listed in KNOWN-RED.txt may fail.
macro_rules! cases {
    ($guard:literal; $($name:ident: $f:ident;)*) => {$(
        #[doc = $guard]
        #[test]
        fn $name() {
            let name = concat!(module_path!(), "::", stringify!($name));
            crate::known_red::run_named(name, $f);
        }
    )*};
}

mod advice;
mod capacity;
mod cluster;
mod command_size;
mod crashes;
mod demand;
mod evacuation;
mod evacuation_runs;
mod evidence;
mod extremes;
mod fleet;
mod former_lives;
mod gone;
mod interference;
mod lease;
mod lives;
mod loss;
mod order_turns;
mod outliving_calls;
mod planning;
mod polls;
mod recovery;
mod refusal;
mod report_age;
mod round_size;
mod safety;
mod slow_leader;
mod spec;
mod state;
mod urgent_room;
mod waves;
mod without_cause;
