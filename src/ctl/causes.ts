import type ExitCode from '../core/ExitCode';
import exitCodes from '../core/exitCodes';
import type Terminal from '../core/Terminal';
import causesOf from './causesOf';
import type Command from './Command';
import type CommandInput from './CommandInput';
import formatTable from './formatTable';
import readFiles from './readFiles';
import readLogFile from './readLogFile';

/** Tells when and for what reasons requests got no result, from the log lines of several processes. */
const causes: Command = {
  args: '<...files>',
  description: 'Count requests without a result by moment and reason, from log lines in files',
  options: [],
  run,
};

export default causes;

async function run({ args, json }: CommandInput, terminal: Terminal): Promise<ExitCode> {
  const lines = await readFiles(args, readLogFile, terminal);
  if (!lines) return exitCodes.badFile;
  const found = causesOf(lines.flat());
  if (found.length === 0) {
    terminal.warn('no request without a result is in these files');
    return exitCodes.notFound;
  }
  if (json) terminal.print(JSON.stringify(found));
  else {
    const rows = found.map(({ atMs, reason, requests, example }) => [
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
