//! `domain` and `vm`: takes failure domains and VMs out of service and brings them back.

use std::collections::BTreeSet;

use oriole_catalog::edit::Edit;
use oriole_types::prelude::*;

use crate::args::{DomainArgs, ServiceVerb, VmArgs};
use crate::ctl::Ctl;
use crate::error::CtlError;
use crate::reply::Reply;

impl From<ServiceVerb> for ServiceState {
    fn from(verb: ServiceVerb) -> Self {
        match verb {
            ServiceVerb::Drain => Self::Drained,
            ServiceVerb::Return => Self::InService,
        }
    }
}

/// Drains or returns a failure domain.
pub(crate) async fn domain(ctl: &Ctl, args: &DomainArgs) -> Result<Reply, CtlError> {
    let catalog = ctl.catalog().await?;
    let known = catalog.domains.keys().map(ToString::to_string);
    let name_of = |vm: &VmRecord| vm.domain.to_string();
    check_known(ctl, "failure domain", &args.name, known.collect(), name_of).await?;
    let state = args.verb.into();
    let edit = Edit::from_fn(&catalog, |c| {
        let domain = c.domains.entry(args.name.as_str().into());
        let region = String::new();
        domain.or_insert(FailureDomain { region, state }).state = state;
    });
    let message = message_or_default(&args.message, args.verb, "domain", &args.name);
    ctl.change(&edit, &message, args.wait).await
}

/// Drains or returns a VM.
pub(crate) async fn vm(ctl: &Ctl, args: &VmArgs) -> Result<Reply, CtlError> {
    let catalog = ctl.catalog().await?;
    let known = catalog.vms.keys().map(ToString::to_string);
    let name_of = |vm: &VmRecord| vm.name.to_string();
    check_known(ctl, "VM", &args.name, known.collect(), name_of).await?;
    let edit = Edit::from_fn(&catalog, |c| match args.verb {
        ServiceVerb::Drain => {
            c.vms.insert(args.name.as_str().into(), args.verb.into());
        }
        ServiceVerb::Return => {
            c.vms.remove(args.name.as_str());
        }
    });
    let message = message_or_default(&args.message, args.verb, "vm", &args.name);
    ctl.change(&edit, &message, args.wait).await
}

/// Checks that the catalog or the VM list knows a name. If the VM list cannot be read, any name is
/// accepted, so that an operator can still drain during an outage.
async fn check_known(
    ctl: &Ctl,
    what: &'static str,
    name: &str,
    mut known: BTreeSet<String>,
    name_of: impl Fn(&VmRecord) -> String,
) -> Result<(), CtlError> {
    if known.contains(name) {
        return Ok(());
    }
    let Ok(list) = ctl.fleet.vms().await else {
        return Ok(());
    };
    known.extend(list.vms.iter().map(name_of));
    if known.contains(name) {
        return Ok(());
    }
    Err(CtlError::NotFound {
        what,
        name: name.to_owned(),
        known: known.into_iter().collect(),
    })
}

fn message_or_default(message: &str, verb: ServiceVerb, what: &str, name: &str) -> String {
    if !message.is_empty() {
        return message.to_owned();
    }
    let verb = match verb {
        ServiceVerb::Drain => "drain",
        ServiceVerb::Return => "return",
    };
    format!("{verb} {what} {name}")
}
