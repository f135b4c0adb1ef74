//! Polls the published list of VMs and applies it: peers, leaving servers and owners of keys.

use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime};

use clock::Clock;
use configuration::VmList;
use configuration::wire::{Role, Vm};

use crate::claim;
use crate::scheduler;
use crate::state::State;

/// Pause between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the task; it ends with the router.
pub(crate) fn start(state: &Rc<State>) {
    actix_rt::spawn(poll(Rc::downgrade(state)));
}

async fn poll(weak: Weak<State>) {
    let Some(list) = weak.upgrade().map(|s| VmList::new(s.node.list)) else { return };
    loop {
        let Some(asked) = weak.upgrade().map(|state| state.key_time()) else { return };
        let read = list.read().await;
        let Some(state) = weak.upgrade() else { return };
        match read {
            Ok(vms) => {
                state.revisions.apply_list(&vms);
                update_key_owners(&state, &vms, asked);
                update_leaving(&state, &vms);
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
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Stops new requests to the backend servers that the list marks as leaving.
fn update_leaving(state: &State, vms: &[Vm]) {
    let leaving = vms.iter().filter(|vm| vm.role == Role::Backend && vm.leaving);
    let now = leaving.map(|vm| vm.address.clone()).collect();
    let before = state.leaving_addresses.replace(now);
    let now = state.leaving_addresses.borrow();
    if before == *now {
        return;
    }
    log::info!(servers = now.len(); "backend servers are leaving according to the list of VMs");
    if let Some(settings) = state.settings() {
        scheduler::apply_leaving(
            &mut state.driver.scheduler.borrow_mut(),
            &settings,
            &before,
            &now,
        );
    }
    drop(now);
    state.driver.run_actions();
}

/// Distributes the ownership of idempotency keys among the routers that aren't leaving.
fn update_key_owners(state: &State, vms: &[Vm], asked: SystemTime) {
    let Some(bounds) = claim::bounds(state) else { return };
    let staying = vms.iter().filter(|vm| vm.role == Role::Entry && !vm.leaving);
    let members = staying
        .map(|vm| idempotency::Member { name: vm.name.clone(), address: vm.address.clone() })
        .collect();
    state.key_owner.borrow_mut().apply_list(members, &bounds, asked, state.key_time());
}
