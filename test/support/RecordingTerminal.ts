import type Terminal from '../../src/core/Terminal';

/** Keeps what a program prints, for a look at it afterwards. */
export default class RecordingTerminal implements Terminal {
  readonly lines: string[] = [];

  print(text: string): void {
    this.lines.push(`out: ${text}`);
  }

  warn(text: string): void {
    this.lines.push(`err: ${text}`);
  }
}
