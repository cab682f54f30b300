/**
 * How long a cancelled batch is not run when its submission arrives again, ms: duplicates arrive within seconds, but
 * callers may ask for the state of a job for two minutes.
 */
const CANCELLATION_RETENTION_MS = 120_000;

export default CANCELLATION_RETENTION_MS;
