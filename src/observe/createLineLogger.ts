import { type ConsolaInstance, createConsola } from 'consola/core';
import type TimerService from '../core/TimerService';
import JsonReporter from './JsonReporter';
import LineBuffer from './LineBuffer';

/**
 * Creates the logger of a process whose standard output is collected: JSON lines only, which never
 * hold the process up.
 */
export default function createLineLogger(timer: TimerService): ConsolaInstance {
  const buffer = LineBuffer.to(STANDARD_OUTPUT, timer);
  process.on('exit', () => buffer.end());
  const reporter = JsonReporter.with((line) => buffer.write(line));
  return createConsola({ throttle: 0, reporters: [reporter] });
}

const STANDARD_OUTPUT = 1;
