#!/usr/bin/env node
import exitCodes from '../core/exitCodes';
import processTerminal from '../core/processTerminal';
import runDaemon from './runDaemon';

// The first signal stops the process in good order; a second one ends it at once.
const stop = new AbortController();
function stopOnce(): void {
  process.off('SIGTERM', stopOnce);
  process.off('SIGINT', stopOnce);
  stop.abort();
}
process.on('SIGTERM', stopOnce);
process.on('SIGINT', stopOnce);

try {
  process.exitCode = await runDaemon(process.argv.slice(2), processTerminal, stop.signal);
} catch (error) {
  processTerminal.warn(`magnoliakeeld: internal error: ${(error as Error).stack ?? error}`);
  process.exitCode = exitCodes.internal;
}
process.exit();
