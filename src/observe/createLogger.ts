import { type ConsolaInstance, createConsola, type LogLevel } from 'consola';
import JsonReporter from './JsonReporter';

type LevelName = 'error' | 'error' | 'warn' | 'info' | 'debug';

const levels: Readonly<Record<LevelName, LogLevel>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/**
 * Creates the logger of a process: plain text on a terminal, JSON lines elsewhere. A log call passes a
 * message and, after it, an object of fields: `logger.info('link opened', { peer })`.
 */
export default function createLogger(
  level: LevelName,
  stream: NodeJS.WritableStream & { readonly isTTY?: boolean } = process.stdout,
): ConsolaInstance {
  const options = { level: levels[level], throttle: 0 };
  if (stream.isTTY) return createConsola(options);
  return createConsola({ ...options, reporters: [JsonReporter.to(stream)] });
}
