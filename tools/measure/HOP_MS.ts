/** One-way delay between availability zones, put in by the stand-ins. */
const HOP_MS = 1;

export default HOP_MS;
