import { randomBytes } from 'node:crypto';

/** A unique name for one run of a process: its instance and a random suffix. */
export default function newIncarnation(instance: string): string {
  return `${instance}.${randomBytes(6).toString('hex')}`;
}
