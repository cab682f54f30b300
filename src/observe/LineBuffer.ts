import { write, writeSync } from 'node:fs';
import type TimerService from '../core/TimerService';

/**
 * A buffer of log lines for a file descriptor. They are written in batches a few times a second, and
 * a slow reader never blocks the process: lines beyond the limit are dropped, and their number is
 * written with the next batch.
 */
export default class LineBuffer {
  private lines: string[] = [];

  private bufferedChars = 0;

  private droppedLines = 0;

  private isWriting = false;

  private isFlushScheduled = false;

  private isClosed = false;

  private constructor(
    private readonly fd: number,
    private readonly timer: TimerService,
  ) {}

  /** Creates the buffer of a descriptor, such as that of standard output. */
  static to(fd: number, timer: TimerService): LineBuffer {
    return new LineBuffer(fd, timer);
  }

  /** Adds a line, given without its line break. */
  write(line: string): void {
    if (this.isClosed) return;
    if (this.bufferedChars > MAX_BUFFERED_CHARS) {
      this.droppedLines += 1;
      return;
    }
    this.lines.push(line);
    this.bufferedChars += line.length;
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    this.timer.after(FLUSH_DELAY_MS, () => this.flush());
  }

  /**
   * Accepts no more lines, writes the buffered ones and resolves when all are written, or after the limit,
   * since the reader may be slow. The line with the reason for the end of a process is thus the last one.
   */
  async drain(limitMs: number): Promise<void> {
    this.isClosed = true;
    const deadline = this.timer.now() + limitMs;
    this.flush();
    while (this.hasPending && this.timer.now() < deadline) await this.timer.sleep(DRAIN_CHECK_MS);
  }

  /**
   * Writes the buffered lines synchronously, for a process that exits without a drain. Does nothing while
   * an asynchronous write is pending, since it cannot be awaited here and the lines would be mixed.
   */
  flushSync(): void {
    if (this.isWriting) return;
    const text = this.takeText();
    if (text === '') return;
    try {
      writeSync(this.fd, text);
    } catch {
      // The reader of the log is gone or too slow, and there is no other place to report that.
    }
  }

  private get hasPending(): boolean {
    return this.isWriting || this.lines.length > 0;
  }

  private flush(): void {
    this.isFlushScheduled = false;
    if (this.isWriting) return;
    const text = this.takeText();
    if (text === '') return;
    this.isWriting = true;
    write(this.fd, text, () => {
      this.isWriting = false;
      if (this.lines.length > 0) this.flush();
    });
  }

  private takeText(): string {
    if (this.droppedLines > 0) {
      this.lines.push(
        JSON.stringify({ level: 'warn', message: LINES_DROPPED, lines: this.droppedLines }),
      );
    }
    const text = this.lines.map((line) => `${line}\n`).join('');
    this.lines = [];
    this.bufferedChars = 0;
    this.droppedLines = 0;
    return text;
  }
}

const LINES_DROPPED = 'log lines were dropped because the reader of the log was too slow';

/** Delay before buffered lines are written, ms: a reader does not notice it, and it saves a busy process most writes. */
const FLUSH_DELAY_MS = 250;

/** Interval at which a drain checks whether all lines are written, ms. */
const DRAIN_CHECK_MS = 5;

/** Limit of the buffered text, in characters: the output of a busy process in some seconds. */
const MAX_BUFFERED_CHARS = 512 * 1024;
