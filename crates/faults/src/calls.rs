//! The intercepted functions of the C library.

use std::sync::OnceLock;

use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::plan::{Fault, Plan};

/// The environment variable that holds the fault plan.
pub const FAULTS_VARIABLE: &str = "FAULTS";

const NANOS_PER_MS: i64 = 1_000_000;
const NANOS_PER_S: i64 = 1_000_000_000;

fn plan() -> &'static Plan {
    static PLAN: OnceLock<Plan> = OnceLock::new();
    PLAN.get_or_init(|| {
        let plan = std::env::var(FAULTS_VARIABLE).ok().and_then(|text| Plan::parse(&text));
        plan.unwrap_or_else(|| std::process::abort())
    })
}

/// Returns whether the current call fails, and sets the thread's `errno` if it does.
fn inject(fault: Option<Fault>) -> bool {
    let Some(error) = plan().injected_error(fault) else { return false };
    // SAFETY: the pointer is to this thread's own error number.
    unsafe { *libc::__errno_location() = error };
    true
}

/// Looks up the next definition of a function after this library, which is that of the C library.
macro_rules! next {
    ($name:literal, $kind:ty) => {{
        static NEXT: OnceLock<usize> = OnceLock::new();
        // SAFETY: the C library defines a function with this name and this type.
        unsafe {
            let found = *NEXT.get_or_init(|| libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) as usize);
            std::mem::transmute::<usize, $kind>(found)
        }
    }};
}

/// See recv(2).
///
/// # Safety
/// As recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if inject(plan().recv) {
        return -1;
    }
    next!(c"recv", unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t)(
        fd, buffer, length, flags,
    )
}

/// See send(2).
///
/// # Safety
/// As send(2).
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if inject(plan().send) {
        return -1;
    }
    next!(c"send", unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t)(
        fd, buffer, length, flags,
    )
}

/// See accept(2). An injected failure leaves a waiting connection in the listen queue, whichever error is reported.
///
/// # Safety
/// As accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if inject(plan().accept) {
        return -1;
    }
    next!(c"accept4", unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int)(
        fd, address, length, flags,
    )
}

/// See clock_gettime(2). Only the wall clock (`CLOCK_REALTIME`) is shifted.
///
/// # Safety
/// As clock_gettime(2).
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let done =
        next!(c"clock_gettime", unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int)(clock, time);
    if done == 0 && clock == libc::CLOCK_REALTIME {
        let time = &mut *time;
        let offset_ms = plan().wall_offset_ms(ms_since_first_call());
        let nanos = time.tv_nsec + offset_ms % 1000 * NANOS_PER_MS;
        time.tv_sec += offset_ms / 1000 + nanos.div_euclid(NANOS_PER_S);
        time.tv_nsec = nanos.rem_euclid(NANOS_PER_S);
    }
    done
}

/// Returns the milliseconds of monotonic time since the first call of this function.
fn ms_since_first_call() -> i64 {
    static FIRST: OnceLock<i64> = OnceLock::new();
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a local variable. The call does not recurse, as only CLOCK_REALTIME is shifted.
    unsafe { clock_gettime(libc::CLOCK_MONOTONIC, &mut time) };
    let now = time.tv_sec * 1000 + time.tv_nsec / NANOS_PER_MS;
    now - FIRST.get_or_init(|| now)
}
