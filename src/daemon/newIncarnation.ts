import { randomBytes } from 'node:crypto';

/** A name for one run of a process: its instance and a random part. */
export default function newIncarnation(instance: string): string {
  return `${instance}.${randomBytes(6).toString('hex')}`;
}
