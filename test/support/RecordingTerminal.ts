import type Terminal from '../../src/core/Terminal';

/** Records the output of a program, so that a test can check it. */
export default class RecordingTerminal implements Terminal {
  readonly lines: string[] = [];

  print(text: string): void {
    this.lines.push(`out: ${text}`);
  }

  warn(text: string): void {
    this.lines.push(`err: ${text}`);
  }
}
