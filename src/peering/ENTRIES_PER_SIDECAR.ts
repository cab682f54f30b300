/**
 * Entries that each sidecar links to. Links and the heartbeats on them would grow with entries times
 * sidecars; so they grow with the sidecars only. With four, an entry of twelve has a third of all sidecars,
 * enough to find room whenever there is some, and an entry that fails is replaced by the next.
 */
const ENTRIES_PER_SIDECAR = 4;

export default ENTRIES_PER_SIDECAR;
