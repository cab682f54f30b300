import { type ConsolaInstance, createConsola } from 'consola/core';
import type TimerService from '../core/TimerService';
import JsonReporter from './JsonReporter';
import LineBuffer from './LineBuffer';

/** A logger, and a function that waits until its lines are written. */
interface LineLogger {
  readonly log: ConsolaInstance;
  /** Resolves when all lines are written, or after the limit in ms. */
  readonly drain: (limitMs: number) => Promise<void>;
}

/**
 * Creates the logger of a process whose standard output is collected. It writes JSON lines only, and
 * never blocks the process.
 */
export default function createLineLogger(timer: TimerService): LineLogger {
  const buffer = LineBuffer.to(STANDARD_OUTPUT, timer);
  process.on('exit', () => buffer.flushSync());
  const reporter = JsonReporter.with((line) => buffer.write(line));
  return {
    log: createConsola({ throttle: 0, reporters: [reporter] }),
    drain: (limitMs) => buffer.drain(limitMs),
  };
}

const STANDARD_OUTPUT = 1;
