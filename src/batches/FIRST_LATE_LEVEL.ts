/** Urgency levels from this one on are those of late batches. */
const FIRST_LATE_LEVEL = 1_000;

export default FIRST_LATE_LEVEL;
