/**
 * Delays between two dials of an entry, ms. All processes start within 300 ms of each other, in any
 * order, so the first delay is short. The longest bounds how late a link is re-established after a partition.
 */
const redialDelays = { firstMs: 50, limitMs: 500 } as const;

export default redialDelays;
