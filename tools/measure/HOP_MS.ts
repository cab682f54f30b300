/** One-way delay between availability zones, in milliseconds; the stand-ins simulate it. */
const HOP_MS = 1;

export default HOP_MS;
