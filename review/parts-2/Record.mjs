/* global performance */
import { writeFileSync } from 'node:fs';

/** What was sent, answered and run, in the order of the events; written to a file at the end. */
export default class Record {
  #lines = [];

  #startedAt = performance.now();

  constructor(file) {
    this.file = file;
  }

  /** Time since the start, ms. */
  get nowMs() {
    return Math.round(performance.now() - this.#startedAt);
  }

  add(text) {
    this.#lines.push(`${String(this.nowMs).padStart(6)} ms  ${text}`);
  }

  write() {
    writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
  }
}
