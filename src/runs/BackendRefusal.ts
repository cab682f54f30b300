/**
 * Why a backend server refused a start; nothing was started. `fenced`: it has seen a higher token. `spent`: the
 * attempt number is already used. `late`: the lease had expired. `full`: it has no free capacity. `unfit`: it
 * does not accept such tasks, or is unhealthy.
 */
type BackendRefusal = 'fenced' | 'spent' | 'late' | 'full' | 'unfit';
export type { BackendRefusal as default };
