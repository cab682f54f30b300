import type Terminal from './Terminal';

/** The standard streams of this process. */
const processTerminal: Terminal = {
  print: (text) => {
    process.stdout.write(`${text}\n`);
  },
  warn: (text) => {
    process.stderr.write(`${text}\n`);
  },
};

export default processTerminal;
