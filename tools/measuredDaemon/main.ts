import process from 'node:process';
import processTerminal from '../../src/core/processTerminal';
import runDaemon from '../../src/daemon/runDaemon';
import MessageCounts from '../../src/link/MessageCounts';

// Runs the unmodified daemon, and also prints its counters on SIGUSR2: "counts <number> <json>".
const stop = new AbortController();
['SIGTERM', 'SIGINT'].forEach((signal) => process.once(signal, () => stop.abort()));
let printed = 0;
process.on('SIGUSR2', () => {
  const { user, system } = process.cpuUsage();
  const cpuMs = (user + system) / 1000;
  const sent = MessageCounts.global.snapshot();
  const text = JSON.stringify({ sent, cpuMs, rssBytes: process.memoryUsage.rss() });
  printed += 1;
  process.stdout.write(`counts ${printed} ${text}\n`);
});
process.exit(await runDaemon(process.argv.slice(2), processTerminal, stop.signal));
