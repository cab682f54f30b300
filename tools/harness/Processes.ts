import { type ChildProcess, spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import type ProcessWatch from './ProcessWatch';

/** Child processes of a test or measurement program. Signals go to these processes only, by process id. */
export default class Processes {
  private readonly children = new Map<string, ChildProcess>();

  private readonly lines = new Map<string, string[]>();

  private readonly listeners = new Set<() => void>();

  private constructor(private readonly watch: ProcessWatch) {
    // No child process may outlive this program.
    process.once('exit', () => this.children.forEach((child) => child.kill('SIGKILL')));
  }

  /** Creates an empty set of processes. */
  static create(watch: ProcessWatch = {}): Processes {
    return new Processes(watch);
  }

  /** Names of the running processes. */
  get names(): string[] {
    return [...this.children.keys()];
  }

  /** Process id of a running process; throws if it isn't running. */
  pid(name: string): number {
    const pid = this.children.get(name)?.pid;
    if (pid === undefined) throw new Error(`${name} does not run`);
    return pid;
  }

  /** Starts one of the built programs in `dist`. A name can be reused once its process has ended. */
  start(name: string, program: string, args: readonly string[]): void {
    this.spawn(name, [`dist/${program}.js`, ...args]);
  }

  /** Starts Node with these arguments, and with `env` added to this process's environment. */
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

  /** All lines that a process has printed. */
  output(name: string): readonly string[] {
    return this.lines.get(name) ?? [];
  }

  /** Prints the output of all processes, for debugging. */
  printAll(): void {
    this.lines.forEach((lines, name) => {
      lines.forEach((line) => process.stdout.write(`${name}: ${line}\n`));
    });
  }

  /**
   * Waits for a printed line that matches, and returns the pattern's first group, or the whole match if it has none.
   * Throws after `timeoutMs` milliseconds, or once the process has ended without such a line.
   */
  async waitFor(name: string, pattern: RegExp, timeoutMs = 15_000): Promise<string> {
    const started = performance.now();
    while (performance.now() - started < timeoutMs) {
      const match = this.output(name)
        .map((line) => pattern.exec(line))
        .find((found) => found !== null);
      if (match) return match[1] ?? match[0];
      if (!this.children.has(name)) break;
      await this.nextEvent(timeoutMs);
    }
    throw new Error(`${name} did not print ${pattern}:\n${this.output(name).join('\n')}`);
  }

  /** Sends a signal to a process. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.children.get(name)?.kill(signal);
  }

  /** Resolves with the exit code once a process has ended; null if a signal ended it or it isn't running. */
  async whenExited(name: string): Promise<number | null> {
    const child = this.children.get(name);
    if (!child || child.exitCode !== null) return child?.exitCode ?? null;
    return new Promise((resolve) => {
      child.once('exit', (code) => resolve(code));
    });
  }

  /** Sends SIGTERM to all processes, and SIGKILL to those still running after `timeoutMs` milliseconds. */
  async stopAll(timeoutMs = 5000): Promise<void> {
    const children = [...this.children.values()];
    children.forEach((child) => child.kill('SIGTERM'));
    const all = Promise.all([...this.children.keys()].map((name) => this.whenExited(name)));
    const timeout = setTimeout(() => children.forEach((child) => child.kill('SIGKILL')), timeoutMs);
    await all;
    clearTimeout(timeout);
  }

  private nextEvent(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timeout = setTimeout(done, timeoutMs);
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
