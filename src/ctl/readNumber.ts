import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type CommandFailure from './CommandFailure';

/** Parses the value of an argument or option that has to be a non-negative whole number. */
export default function readNumber(name: string, value: unknown): Result<number, CommandFailure> {
  if (/^\d{1,15}$/.test(String(value))) return ok(Number(value));
  const lines = [`found ${JSON.stringify(value)} for ${name}, expected a whole number`];
  return err({ exitCode: exitCodes.usage, lines });
}
