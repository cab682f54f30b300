/**
 * Why a backend server refused a start; nothing was started.
 * `fenced`: it has seen a higher token. `spent`: the attempt number was used there before.
 * `late`: the lease had passed. `full`: there is no room. `unfit`: it takes no such task, or is unwell.
 */
type BackendRefusal = 'fenced' | 'spent' | 'late' | 'full' | 'unfit';
export type { BackendRefusal as default };
