//! Small stand-ins for the platform, the model engines and the plain services.
#![forbid(unsafe_code)]

pub mod store;
