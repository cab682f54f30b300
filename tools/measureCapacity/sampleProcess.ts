import { readFileSync } from 'node:fs';
import type ProcessSample from './ProcessSample';

/** Milliseconds per tick of the kernel's CPU time counters, which run at 100 Hz. */
const TICK_MS = 10;
const KB_IN_MB = 1024;

/** Indices of user and system time among the fields of `stat` after the program's name. */
const USER_TIME_INDEX = 11;
const SYSTEM_TIME_INDEX = 12;

/** Reads a process's resource use so far. Throws if the process has ended. */
export default function sampleProcess(pid: number): ProcessSample {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_INDEX]) + Number(fields[SYSTEM_TIME_INDEX]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const rssKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  return { cpuMs: ticks * TICK_MS, rssMb: rssKb / KB_IN_MB, at: performance.now() };
}
