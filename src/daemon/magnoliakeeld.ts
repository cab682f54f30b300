#!/usr/bin/env node
import exitCodes from '../core/exitCodes';
import processTerminal from '../core/processTerminal';
import Random from '../core/Random';
import SystemTimer from '../core/SystemTimer';
import createLogger from '../observe/createLogger';
import UncaughtErrorHandler from '../observe/UncaughtErrorHandler';
import randomSeed from './randomSeed';
import runDaemon from './runDaemon';
import stopReasons from './stopReasons';

// The first signal starts a graceful shutdown; a second one ends the process at once.
const stop = new AbortController();
function stopOnce(): void {
  process.off('SIGTERM', stopOnce);
  process.off('SIGINT', stopOnce);
  stop.abort(stopReasons.planned);
}
process.on('SIGTERM', stopOnce);
process.on('SIGINT', stopOnce);

const faults = UncaughtErrorHandler.create({
  timer: SystemTimer.create(),
  random: Random.fromSeed(randomSeed()),
  log: createLogger('error', process.stderr),
  exit: () => process.exit(exitCodes.internal),
  shutDown: () => stop.abort(stopReasons.faults),
});
process.on('uncaughtException', (error, origin) => faults.handleUncaught(error, origin));

try {
  process.exitCode = await runDaemon(process.argv.slice(2), processTerminal, stop.signal, faults);
} catch (error) {
  processTerminal.warn(`magnoliakeeld: internal error: ${(error as Error).stack ?? error}`);
  process.exitCode = exitCodes.internal;
}
process.exit();
