import { randomInt } from 'node:crypto';

const SEED_LIMIT = 2 ** 31;

/** A seed that differs between processes. */
export default function randomSeed(): number {
  return randomInt(SEED_LIMIT);
}
