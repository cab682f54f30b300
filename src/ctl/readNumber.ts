import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type Problem from './Problem';

/** Reads a whole number that an argument or an option must be. */
export default function readNumber(name: string, value: unknown): Result<number, Problem> {
  if (/^\d{1,15}$/.test(String(value))) return ok(Number(value));
  const lines = [`found ${JSON.stringify(value)} for ${name}, expected a whole number`];
  return err({ exitCode: exitCodes.usage, lines });
}
