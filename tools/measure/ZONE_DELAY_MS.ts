/** One-way delay between availability zones, in milliseconds; the stand-ins simulate it. */
const ZONE_DELAY_MS = 1;

export default ZONE_DELAY_MS;
