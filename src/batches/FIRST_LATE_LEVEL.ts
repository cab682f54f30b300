/** Levels of urgency from this one on are those of batches that are late. */
const FIRST_LATE_LEVEL = 1_000;

export default FIRST_LATE_LEVEL;
