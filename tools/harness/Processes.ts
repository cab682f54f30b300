import { type ChildProcess, spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import type ProcessWatch from './ProcessWatch';

/** The processes that a measuring program started. They are ended by id, and only these. */
export default class Processes {
  private readonly children = new Map<string, ChildProcess>();

  private readonly lines = new Map<string, string[]>();

  private readonly listeners = new Set<() => void>();

  private constructor(private readonly watch: ProcessWatch) {
    // Whatever ends this program, nothing that it started stays behind.
    process.once('exit', () => this.children.forEach((child) => child.kill('SIGKILL')));
  }

  /** Creates an empty set of processes. */
  static create(watch: ProcessWatch = {}): Processes {
    return new Processes(watch);
  }

  /** Names of the processes started and not ended. */
  get names(): string[] {
    return [...this.children.keys()];
  }

  /** Process id of a process that runs. */
  pid(name: string): number {
    const pid = this.children.get(name)?.pid;
    if (pid === undefined) throw new Error(`${name} does not run`);
    return pid;
  }

  /** Starts one of the built programs of `dist`. A name stands for one process at a time. */
  start(name: string, program: string, args: readonly string[]): void {
    this.spawn(name, [`dist/${program}.js`, ...args]);
  }

  /** Starts Node with these arguments, and with these variables besides the own ones. */
  spawn(name: string, args: readonly string[], env: Readonly<Record<string, string>> = {}): void {
    if (this.children.has(name)) throw new Error(`${name} runs already`);
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...env },
    });
    this.children.set(name, child);
    const lines: string[] = [];
    this.lines.set(name, lines);
    [child.stdout, child.stderr].forEach((stream) => {
      createInterface({ input: stream }).on('line', (line) => {
        lines.push(line);
        this.watch.printed?.(name, line);
        this.listeners.forEach((listener) => listener());
      });
    });
    child.on('exit', (code, signal) => {
      if (this.children.get(name) === child) this.children.delete(name);
      this.watch.exited?.(name, code, signal);
      this.listeners.forEach((listener) => listener());
    });
  }

  /** Everything that a process has printed. */
  output(name: string): readonly string[] {
    return this.lines.get(name) ?? [];
  }

  /** Prints all that the processes have printed, for finding a fault. */
  printAll(): void {
    this.lines.forEach((lines, name) => {
      lines.forEach((line) => process.stdout.write(`${name}: ${line}\n`));
    });
  }

  /** Waits for a printed line and returns the pattern's first group. */
  async waitFor(name: string, pattern: RegExp, limitMs = 15_000): Promise<string> {
    const started = performance.now();
    while (performance.now() - started < limitMs) {
      const match = this.output(name)
        .map((line) => pattern.exec(line))
        .find((found) => found !== null);
      if (match) return match[1] ?? match[0];
      if (!this.children.has(name)) break;
      await this.nextEvent(limitMs);
    }
    throw new Error(`${name} did not print ${pattern}:\n${this.output(name).join('\n')}`);
  }

  /** Sends a signal to a process. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.children.get(name)?.kill(signal);
  }

  /** Resolves with the exit code once a process has ended. */
  async ended(name: string): Promise<number | null> {
    const child = this.children.get(name);
    if (!child || child.exitCode !== null) return child?.exitCode ?? null;
    return new Promise((resolve) => {
      child.once('exit', (code) => resolve(code));
    });
  }

  /** Ends all processes, in good order if they stop by themselves within the limit. */
  async stopAll(limitMs = 5000): Promise<void> {
    const children = [...this.children.values()];
    children.forEach((child) => child.kill('SIGTERM'));
    const all = Promise.all([...this.children.keys()].map((name) => this.ended(name)));
    const timeout = setTimeout(() => children.forEach((child) => child.kill('SIGKILL')), limitMs);
    await all;
    clearTimeout(timeout);
  }

  private nextEvent(limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timeout = setTimeout(done, limitMs);
      const { listeners } = this;
      function done(): void {
        clearTimeout(timeout);
        listeners.delete(done);
        resolve();
      }
      listeners.add(done);
    });
  }
}
