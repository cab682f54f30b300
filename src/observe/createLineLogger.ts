import { type ConsolaInstance, createConsola } from 'consola/core';
import JsonReporter from './JsonReporter';

/** Creates the logger of a process whose output nobody reads on a terminal: JSON lines only. */
export default function createLineLogger(
  stream: NodeJS.WritableStream = process.stdout,
): ConsolaInstance {
  return createConsola({ throttle: 0, reporters: [JsonReporter.to(stream)] });
}
