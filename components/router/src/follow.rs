//! Follows the published list of VMs.

use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime};

use clock::Clock;
use configuration::VmList;
use configuration::wire::{Role, Vm};

use crate::claim;
use crate::state::State;
use crate::terms;

/// How often the list of VMs is read.
const LIST: Duration = Duration::from_secs(1);

/// Starts the task; it ends with the router.
pub(crate) fn start(state: &Rc<State>) {
    actix_rt::spawn(list(Rc::downgrade(state)));
}

async fn list(weak: Weak<State>) {
    let Some(service) = weak.upgrade().map(|s| VmList::new(s.node.list)) else { return };
    loop {
        let Some(asked) = weak.upgrade().map(|state| state.wall()) else { return };
        let read = service.read().await;
        let Some(state) = weak.upgrade() else { return };
        match read {
            Ok(vms) => {
                state.revisions.listed(&vms);
                homes(&state, &vms, asked);
                leave(&state, &vms);
                let entries = vms.into_iter().filter(|vm| vm.role == Role::Entry);
                let others = entries.filter(|vm| vm.name != state.node.name);
                let listed = others.map(|vm| fleet::ListedVm {
                    name: vm.name,
                    address: vm.address,
                    domain: vm.domain,
                });
                state.view.borrow_mut().apply_list(listed, state.clock.now());
            }
            Err(cause) => log::warn!(cause:% = cause; "can't read the list of VMs"),
        }
        drop(state);
        tokio::time::sleep(LIST).await;
    }
}

/// Backend servers that the list has as leaving get no new work.
fn leave(state: &State, vms: &[Vm]) {
    let leaving = vms.iter().filter(|vm| vm.role == Role::Backend && vm.leaving);
    let now = leaving.map(|vm| vm.address.clone()).collect();
    let before = state.leaving.replace(now);
    let now = state.leaving.borrow();
    if before == *now {
        return;
    }
    log::info!(servers = now.len(); "backend servers leaving, by the list of VMs");
    if let Some(settings) = state.settings() {
        terms::leave(&mut state.driver.scheduler.borrow_mut(), &settings, &before, &now);
    }
    drop(now);
    state.driver.run_actions();
}

/// Keys have their homes among the routers that stay.
fn homes(state: &State, vms: &[Vm], asked: SystemTime) {
    let Some(terms) = claim::terms(state) else { return };
    let staying = vms.iter().filter(|vm| vm.role == Role::Entry && !vm.leaving);
    let members = staying
        .map(|vm| idempotency::Member { name: vm.name.clone(), address: vm.address.clone() })
        .collect();
    state.home.borrow_mut().apply_list(members, &terms, asked, state.wall());
}
