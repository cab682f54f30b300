import type ExitCode from '../core/ExitCode';
import exitCodes from '../core/exitCodes';
import type Terminal from '../core/Terminal';
import groupFailures from './groupFailures';
import type Command from './Command';
import type CommandInput from './CommandInput';
import formatTable from './formatTable';
import readFiles from './readFiles';
import readLogFile from './readLogFile';

/** Counts requests without a result by time and reason, from the log lines of several processes. */
const causes: Command = {
  args: '<...files>',
  description: 'Count requests without a result by time and reason, from log lines in files',
  options: [],
  run,
};

export default causes;

async function run({ args, json }: CommandInput, terminal: Terminal): Promise<ExitCode> {
  const lines = await readFiles(args, readLogFile, terminal);
  if (!lines) return exitCodes.badFile;
  const groups = groupFailures(lines.flat());
  if (groups.length === 0) {
    terminal.warn('these files contain no request without a result');
    return exitCodes.notFound;
  }
  if (json) terminal.print(JSON.stringify(groups));
  else {
    const rows = groups.map(({ atMs, reason, requests, example }) => [
      `${(atMs / SECOND_MS).toFixed(0)} s`,
      requests,
      example,
      reason,
    ]);
    formatTable([['from', 'requests', 'one of them', 'reason'], ...rows]).forEach((line) =>
      terminal.print(line),
    );
  }
  return exitCodes.ok;
}

const SECOND_MS = 1_000;
