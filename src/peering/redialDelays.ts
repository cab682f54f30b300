/**
 * Pauses between two dials of an entry, ms. All processes start within 300 ms of each other, in any
 * order, so the first is short; the longest bounds how late a link comes back after a cut.
 */
const redialDelays = { firstMs: 50, limitMs: 500 } as const;

export default redialDelays;
