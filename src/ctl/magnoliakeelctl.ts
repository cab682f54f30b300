#!/usr/bin/env node
import exitCodes from '../core/exitCodes';
import processTerminal from '../core/processTerminal';
import runCtl from './runCtl';

try {
  process.exitCode = await runCtl(process.argv.slice(2), processTerminal);
} catch (error) {
  processTerminal.warn(`magnoliakeelctl: internal error: ${(error as Error).stack ?? error}`);
  process.exitCode = exitCodes.internal;
}
