/**
 * Entries that each sidecar links to. Links and the heartbeats on them would grow with entries times
 * sidecars; so they grow with the sidecars only. With six, an entry of twelve has half of all sidecars,
 * enough to find room whenever there is some, and two entries may fail at once without any loss of it.
 */
const ENTRIES_PER_SIDECAR = 6;

export default ENTRIES_PER_SIDECAR;
