import { readFileSync } from 'node:fs';
import type ProcessSample from './ProcessSample';

/** Milliseconds in a tick of the kernel's processor time, 100 Hz. */
const TICK_MS = 10;
const KB_IN_MB = 1024;

/** Places of user and system time in `stat`, counted after the program's name. */
const USER_TIME = 11;
const SYSTEM_TIME = 12;

/** Reads what a process has used so far. Throws when the process has ended. */
export default function sampleProcess(pid: number): ProcessSample {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME]) + Number(fields[SYSTEM_TIME]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const rssKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  return { cpuMs: ticks * TICK_MS, rssMb: rssKb / KB_IN_MB, at: performance.now() };
}
