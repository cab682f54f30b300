import { write, writeSync } from 'node:fs';
import type TimerService from '../core/TimerService';

/**
 * Log lines on their way to a file descriptor. They are written together a few times a second and
 * never wait for the reader: what exceeds the limit is left out, and how many lines that were is
 * written with the next ones.
 */
export default class LineBuffer {
  private lines: string[] = [];

  private bytes = 0;

  private dropped = 0;

  private isWriting = false;

  private isDue = false;

  private isClosed = false;

  private constructor(
    private readonly fd: number,
    private readonly timer: TimerService,
  ) {}

  /** Creates the buffer of a descriptor, such as that of standard output. */
  static to(fd: number, timer: TimerService): LineBuffer {
    return new LineBuffer(fd, timer);
  }

  /** Takes a line without its end. */
  write(line: string): void {
    if (this.isClosed) return;
    if (this.bytes > MAX_BYTES) {
      this.dropped += 1;
      return;
    }
    this.lines.push(line);
    this.bytes += line.length;
    if (this.isDue) return;
    this.isDue = true;
    this.timer.after(FLUSH_MS, () => this.flush());
  }

  /**
   * Takes no more lines, writes what is left and resolves when all is written, or after the time: the
   * reader may be behind. The line that says why a process ends is so the last.
   */
  async drain(limitMs: number): Promise<void> {
    this.isClosed = true;
    const until = this.timer.now() + limitMs;
    this.flush();
    while (this.isBusy && this.timer.now() < until) await this.timer.sleep(DRAIN_POLL_MS);
  }

  /**
   * Writes what is left, for a process that ends without a drain. What is on its way already goes first
   * and cannot be waited for here: nothing is written through the middle of it.
   */
  end(): void {
    if (this.isWriting) return;
    const text = this.take();
    if (text === '') return;
    try {
      writeSync(this.fd, text);
    } catch {
      // There is nobody left to tell that the reader of the log is gone, or too far behind.
    }
  }

  private get isBusy(): boolean {
    return this.isWriting || this.lines.length > 0;
  }

  private flush(): void {
    this.isDue = false;
    if (this.isWriting) return;
    const text = this.take();
    if (text === '') return;
    this.isWriting = true;
    write(this.fd, text, () => {
      this.isWriting = false;
      if (this.lines.length > 0) this.flush();
    });
  }

  private take(): string {
    if (this.dropped > 0) {
      this.lines.push(JSON.stringify({ level: 'warn', message: TOO_MANY, lines: this.dropped }));
    }
    const text = this.lines.map((line) => `${line}\n`).join('');
    this.lines = [];
    this.bytes = 0;
    this.dropped = 0;
    return text;
  }
}

const TOO_MANY = 'log lines were left out because the reader was behind';

/** How long a line waits for others, ms: a reader notices no delay, and a busy process saves most writes. */
const FLUSH_MS = 250;

/** How often it is looked whether all is written, ms. */
const DRAIN_POLL_MS = 5;

/** Text that may wait, in characters: some seconds of a busy process. */
const MAX_BYTES = 512 * 1024;
