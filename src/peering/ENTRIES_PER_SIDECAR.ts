/**
 * Number of entries that each sidecar links to. If all were linked, links and heartbeats would grow with
 * entries times sidecars; so they grow with the sidecars only. With four, each of twelve entries is linked to a
 * third of all sidecars, enough to find free capacity whenever there is some, and a failed entry is replaced by the
 * next.
 */
const ENTRIES_PER_SIDECAR = 4;

export default ENTRIES_PER_SIDECAR;
